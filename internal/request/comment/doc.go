// Package comment extracts the name of a request from the comment at the end of its SQL text.
package comment
