// Package link lends connections to targets, with the session values and prepared statements that are in force on each.
package link
