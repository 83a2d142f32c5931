// Package workspace defines the workspaces of a configuration, their keys and their limits. It performs no I/O.
package workspace
