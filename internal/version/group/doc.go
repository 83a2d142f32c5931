// Package group decides which target is the primary of a replicated database group. It is a state machine that does no I/O.
package group
