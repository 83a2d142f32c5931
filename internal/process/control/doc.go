// Package control is the one goroutine that owns a daemon's control state: groups, their machines and what traffic routes by.
package control
