package route

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// TargetView is the last known state of one target.
type TargetView struct {
	group.Target
	Status group.Status
	// RequestedAt is when the status request was sent to which Status replies, by the local clock in milliseconds; 0 means that the target has not replied yet.
	RequestedAt clock.Millis
	// Down is true while the target does not reply.
	Down bool
	// Leaving is true while the target's VM is marked as leaving.
	Leaving bool
	// Outstanding is the number of requests of this daemon that run on the target or wait for one of its slots.
	Outstanding int
	// Writes is the number of writes among them.
	Writes int
}

// Sample is a point at or past every write that was acknowledged before the sample was requested.
// It is the highest received point over a majority of the group whose replies belong to status requests sent at that time or later.
type Sample struct {
	Point position.Point
	// RequestedAt is when the sample was requested, by the local clock in milliseconds.
	RequestedAt clock.Millis
}

// View is the immutable state of a group from which Choose selects targets.
type View struct {
	Record  group.Record
	Targets []TargetView
	// Samples are recent samples, oldest first.
	Samples []Sample
	// Changing is true from the time when the primary is considered failed until the next primary takes writes.
	Changing bool
}

// Need describes what a request requires of its target; all times are by the local clock in milliseconds.
type Need struct {
	Request service.Request
	// Floor is the point that the target must have applied for read-your-writes.
	Floor position.Point
	// DataCentre is the data centre of this daemon; targets in it are preferred.
	DataCentre group.DataCentre
	// Arrived is when the request arrived; a read without a maximum age needs a sample requested at or after it.
	Arrived clock.Millis
	// Sample is a sample requested for this read in addition to those of the view; the zero value means none.
	Sample Sample
	// ReplicaOnly excludes the primary, for a read that has time left to wait for a replica.
	ReplicaOnly bool
	// Deadline is when the caller gives up; 0 means no deadline.
	Deadline clock.Millis
}
