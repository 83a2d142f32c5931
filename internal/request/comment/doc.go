// Package comment reads the name of a request from the comment at the end of its SQL.
package comment
