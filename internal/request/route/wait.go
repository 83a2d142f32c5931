package route

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// WorthWaiting reports whether some replica is behind the group's samples by no more than most, so that a read which waits that long may be served by it.
func WorthWaiting(v *View, most clock.Millis) bool {
	r := newReader(v, "", position.Point{})
	for i := range v.Targets {
		t := &v.Targets[i]
		if t.Down || t.Leaving || i == r.leader.index || !r.current(t) {
			continue
		}
		if behind, ok := behind(v, t); ok && behind <= most {
			return true
		}
	}
	return false
}

// behind is the age, when t was asked, of the newest sample that t had applied; false when it had applied none.
func behind(v *View, t *TargetView) (clock.Millis, bool) {
	for i := len(v.Samples) - 1; i >= 0; i-- {
		s := v.Samples[i]
		if t.Status.Applied.Reaches(s.Point) {
			return max(t.AskedAt-s.AskedAt, 0), true
		}
	}
	return 0, false
}
