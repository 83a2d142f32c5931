// Package probe requests the status of the targets of a group at regular intervals and computes what a majority of them holds.
package probe
