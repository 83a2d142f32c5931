// Package fleet collects the status and the events of running daemons from their admin addresses, and merges the statuses.
package fleet
