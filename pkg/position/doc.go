// Package position names places in the replicated log of a database group.
package position
