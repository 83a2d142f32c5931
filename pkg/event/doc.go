// Package event is the time line: what each daemon saw and did, in one order over all processes.
package event
