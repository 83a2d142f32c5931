// Package promotion decides when to replace the primary of a group and which target to promote. It does no I/O.
package promotion
