// Package clock is the one source of time: milliseconds, with a manual clock for tests.
package clock
