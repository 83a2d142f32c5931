// Package admission schedules the requests that wait for a slot of a target: it selects the next one to run and the ones to refuse.
package admission
