// Package statement names what callers ask for and what they are told, apart from any wire format.
package statement
