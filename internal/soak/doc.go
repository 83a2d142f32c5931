// Package soak runs daemons against stand-ins of the platform under a seeded series of faults that overlap, and checks what callers see.
package soak
