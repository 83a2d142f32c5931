// Package probe keeps asking the targets of a group for their status, and answers what a majority of them holds.
package probe
