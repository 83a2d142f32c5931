// Package control runs the goroutine that owns the control state of a daemon: its groups, their state machines and the views from which requests are routed.
package control
