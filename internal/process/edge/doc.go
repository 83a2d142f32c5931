// Package edge joins sessions, targets and the operator's platform into a daemon.
package edge
