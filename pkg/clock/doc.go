// Package clock is the program's only source of time, in milliseconds. It has a manual clock for tests.
package clock
