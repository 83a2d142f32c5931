// Package promotion decides when the primary of a group is to be replaced and by which target, without input or output.
package promotion
