package route

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// TargetView is what this daemon last learnt of one target.
type TargetView struct {
	group.Target
	Status group.Status
	// AskedAt is when the question was sent that Status answers, by the local clock; 0 when there was no answer yet.
	AskedAt clock.Millis
	// Down is true while the target does not answer.
	Down bool
	// Leaving is true once the platform or the target itself says that it goes.
	Leaving bool
	// Busy is the number of statements that this daemon has at work there.
	Busy int
	// Writes is the number of writes that this daemon has at work or waiting there.
	Writes int
}

// Sample is a point at or past every write acknowledged before AskedAt: the highest received point over a majority of the group that answered a question asked at AskedAt or later.
type Sample struct {
	Point   position.Point
	AskedAt clock.Millis
}

// View is the immutable state of a group that traffic routes by.
type View struct {
	Record  group.Record
	Targets []TargetView
	// Samples are recent samples, oldest first.
	Samples []Sample
	// Changing is true from the moment the primary is held to have failed until the next one takes writes.
	Changing bool
}

// Need is what one request asks of a target.
type Need struct {
	Request service.Request
	// Floor is the point that the target must have applied for read-your-writes.
	Floor position.Point
	// DataCentre is where this daemon runs; targets there are preferred.
	DataCentre group.DataCentre
	// Arrived is when the request came in; a read with no stated age needs a sample asked at or after it.
	Arrived clock.Millis
	// Fresh is a sample fetched for this read beside those of the view; the zero value is none.
	Fresh Sample
	// ReplicaOnly leaves the primary out, for a read that may still wait for a replica.
	ReplicaOnly bool
	// Deadline is when the caller gives up; 0 means never.
	Deadline clock.Millis
}
