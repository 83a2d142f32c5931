// Package trial runs daemons against embedded stand-ins of the targets and the platform. It applies a load of sessions that move
// between the daemons, injects faults, and checks the outcome of every request against the final state of the group.
package trial
