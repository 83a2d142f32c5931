// Package placement decides which target serves a statement, without input or output.
package placement
