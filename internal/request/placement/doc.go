// Package placement selects the target that serves a statement. It performs no I/O.
package placement
