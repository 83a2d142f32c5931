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

// Holds reports whether a target that says s holds p in the term in which p was written; the primary of that term reported p itself.
// What a replica received after it promised a later term does not count: whoever fenced it may have read its log before.
func Holds(s *group.Status, p position.Point) bool {
	if s.Received.Term != p.Term {
		return false
	}
	return s.Primary || s.Promise <= p.Term && s.Received.Reaches(p)
}
