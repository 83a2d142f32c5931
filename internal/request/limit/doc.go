// Package limit divides a target's slots among the daemons without a coordinator.
package limit
