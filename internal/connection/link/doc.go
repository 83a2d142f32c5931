// Package link pools connections to targets and tracks which session values and prepared statements are in force on each
// connection.
package link
