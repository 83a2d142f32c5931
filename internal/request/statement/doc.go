// Package statement defines the statements of callers and their results, independently of the wire format.
package statement
