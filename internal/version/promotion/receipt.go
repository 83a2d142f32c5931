package promotion

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Receipt tracks what a replica is known to have received; the zero value means that nothing is known.
type Receipt struct {
	// Point is the highest log point that the replica is known to have received.
	Point position.Point
	// ReportedAt is when the last answered status request was sent; 0 before the first one.
	ReportedAt clock.Millis
	// After and SeenAt bound the time at which the replica last received new log; both are 0 until that is observed.
	After, SeenAt clock.Millis
}

// ObserveStatus records the received point from the reply to a status request sent at requestedAt.
func (r *Receipt) ObserveStatus(p position.Point, requestedAt, now clock.Millis) {
	r.advance(p, now)
	r.ReportedAt = requestedAt
}

// ObserveApplied records a point that the replica has applied and therefore received.
// It leaves ReportedAt unchanged, as a replica may apply log long after its primary has failed.
func (r *Receipt) ObserveApplied(p position.Point, now clock.Millis) { r.advance(p, now) }

// advance raises Point; a point beyond the last status shows that log has arrived since that status was requested.
func (r *Receipt) advance(p position.Point, now clock.Millis) {
	if !r.Point.Before(p) {
		return
	}
	r.Point = p
	if r.ReportedAt > 0 {
		r.After, r.SeenAt = r.ReportedAt, now
	}
}
