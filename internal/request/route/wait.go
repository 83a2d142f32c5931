package route

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// HasReplicaWithinLag reports whether a replica lags behind the group's samples by maxLag or less, so that a read which waits for maxLag milliseconds may be served by it.
func HasReplicaWithinLag(v *View, maxLag clock.Millis) bool {
	s := newReadSelector(v, "", position.Point{})
	for i := range v.Targets {
		t := &v.Targets[i]
		if t.Down || t.Leaving || i == s.primary.index || !s.hasCurrentLog(t) {
			continue
		}
		if lag, ok := sampleLag(v, t); ok && lag <= maxLag {
			return true
		}
	}
	return false
}

// sampleLag returns the age, at the time of t's last status request, of the newest sample that t has applied; it returns false if t has applied none.
func sampleLag(v *View, t *TargetView) (clock.Millis, bool) {
	for i := len(v.Samples) - 1; i >= 0; i-- {
		s := v.Samples[i]
		if t.Status.Applied.Reaches(s.Point) {
			return max(t.RequestedAt-s.RequestedAt, 0), true
		}
	}
	return 0, false
}
