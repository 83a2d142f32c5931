// Package publish writes validated service files to the platform without overwriting the changes of other operators.
package publish
