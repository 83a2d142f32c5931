// Package limit divides the slots of a target among the daemons without a coordinator.
package limit
