// Package trial runs the daemons on embedded stand-ins, loads them with roaming sessions and checks what became of every request.
package trial
