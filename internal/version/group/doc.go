// Package group decides who is primary of a replicated database group, as a state machine without I/O.
package group
