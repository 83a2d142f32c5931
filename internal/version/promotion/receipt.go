package promotion

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Receipt follows what a replica is known to have received; the zero value knows nothing.
type Receipt struct {
	// Point is the last one that is known to be received.
	Point position.Point
	// ReportedAt is when the last status was asked for; 0 before the first one.
	ReportedAt clock.Millis
	// After and SeenAt bound when the replica last received something.
	After, SeenAt clock.Millis
}

// Reported takes the point that a status asked for at that time says was received.
func (r *Receipt) Reported(p position.Point, askedAt, now clock.Millis) {
	r.advance(p, now)
	r.ReportedAt = askedAt
}

// Applied takes a point that the replica has applied, which shows that it was received, but not when: a replica may apply long after its primary has failed.
func (r *Receipt) Applied(p position.Point, now clock.Millis) { r.advance(p, now) }

// advance notes that more was received since the last status than that told.
func (r *Receipt) advance(p position.Point, now clock.Millis) {
	if !r.Point.Before(p) {
		return
	}
	r.Point = p
	if r.ReportedAt > 0 {
		r.After, r.SeenAt = r.ReportedAt, now
	}
}
