package placement

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Sample is a replication point with the time at which the primary of its term was asked for it.
// The point includes every commit acknowledged before that time.
type Sample struct {
	Point       position.Point
	RequestedAt clock.Millis
}

// Covers reports whether the sample covers every commit acknowledged before t.
func (s Sample) Covers(t clock.Millis) bool {
	return s.Point != (position.Point{}) && s.RequestedAt >= t
}

// Merge combines two samples: the later point and the later time.
func (s Sample) Merge(o Sample) Sample {
	return Sample{Point: position.Max(s.Point, o.Point), RequestedAt: max(s.RequestedAt, o.RequestedAt)}
}
