// Package event is the time line: the observations and actions of all daemons, in one order over all processes.
package event
