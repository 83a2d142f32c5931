// Package topology defines the active configuration and the known targets, independently of the source they are read from.
package topology
