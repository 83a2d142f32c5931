package route

import (
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// StatusReply is the reply of one target to a status request.
type StatusReply struct {
	Target group.TargetID
	Status group.Status
	// RequestedAt is when the request was sent, by the local clock in milliseconds.
	RequestedAt clock.Millis
}

// MakeSample returns the newest sample that the replies give, and false if fewer than a majority of the targets in r have replied.
func MakeSample(r *group.Record, replies []StatusReply) (Sample, bool) {
	newest := slices.Clone(replies)
	slices.SortStableFunc(newest, func(a, b StatusReply) int { return int(b.RequestedAt - a.RequestedAt) })
	var s Sample
	used := make([]group.TargetID, 0, len(newest))
	for _, reply := range newest {
		if _, member := r.Target(reply.Target); !member || slices.Contains(used, reply.Target) {
			continue
		}
		used = append(used, reply.Target)
		s = Sample{Point: position.Max(s.Point, reply.Status.Received), RequestedAt: reply.RequestedAt}
		if len(used) == r.Majority() {
			return s, true
		}
	}
	return Sample{}, false
}

// Holds reports whether a target with status s holds p in the term in which p was written; the primary of that term counts because it reported p itself.
// Log that a replica received after it promised a later term does not count, because the daemon that fenced it may have read its received point before.
func Holds(s *group.Status, p position.Point) bool {
	if s.Received.Term != p.Term {
		return false
	}
	return s.Primary || s.Promise <= p.Term && s.Received.Reaches(p)
}
