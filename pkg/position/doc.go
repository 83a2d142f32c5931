// Package position defines terms and positions in the replicated log of a database group.
package position
