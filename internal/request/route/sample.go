package route

import (
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Answer is what one target said to a question sent at AskedAt.
type Answer struct {
	Target  group.TargetID
	Status  group.Status
	AskedAt clock.Millis
}

// MakeSample returns the newest sample that answers give, and false without answers of a majority of r.
func MakeSample(r *group.Record, answers []Answer) (Sample, bool) {
	newest := slices.Clone(answers)
	slices.SortStableFunc(newest, func(a, b Answer) int { return int(b.AskedAt - a.AskedAt) })
	var s Sample
	used := make([]group.TargetID, 0, len(newest))
	for _, a := range newest {
		if _, member := r.Target(a.Target); !member || slices.Contains(used, a.Target) {
			continue
		}
		used = append(used, a.Target)
		s = Sample{Point: position.Max(s.Point, a.Status.Received), AskedAt: a.AskedAt}
		if len(used) == r.Majority() {
			return s, true
		}
	}
	return Sample{}, false
}

// Confirmed reports whether a majority of the group is known to hold point in the term in which it was written.
func Confirmed(v *View, point position.Point) bool {
	n := 0
	for i := range v.Targets {
		t := &v.Targets[i]
		if _, member := v.Record.Target(t.ID); member && holds(v, t, point) {
			n++
		}
	}
	return n >= v.Record.Majority()
}

// holds does not count what a replica received after it promised a later term:
// whoever fenced it may have read its log before.
func holds(v *View, t *TargetView, point position.Point) bool {
	if t.ID == v.Record.Primary && v.Record.Term == point.Term {
		return true
	}
	s := &t.Status
	if t.AskedAt == 0 || s.Received.Term != point.Term || s.Received.Position < point.Position {
		return false
	}
	return s.Primary || s.Promise <= point.Term
}
