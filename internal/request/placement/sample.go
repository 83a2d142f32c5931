package placement

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Sample is a point that holds every commit acknowledged before AskedAt, proven by the primary of its term.
type Sample struct {
	Point   position.Point
	AskedAt clock.Millis
}

// Since reports whether the sample covers all that was acknowledged before t.
func (s Sample) Since(t clock.Millis) bool { return s.Point != (position.Point{}) && s.AskedAt >= t }

// Merge returns the knowledge of both samples: the later point and the later time.
func (s Sample) Merge(o Sample) Sample {
	return Sample{Point: position.Max(s.Point, o.Point), AskedAt: max(s.AskedAt, o.AskedAt)}
}
