// Package route selects the target of a request from an immutable view of the group.
package route
