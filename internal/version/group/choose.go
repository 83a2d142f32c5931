package group

import "github.com/cactusfork/cactusfork/pkg/position"

// choose returns the fenced target that holds every acknowledged write; it returns false while too few targets are fenced to determine it.
//
// A fenced target that is still primary may have had writes of its term acknowledged by targets that are not fenced.
// It therefore counts towards the majority only if it is chosen itself, or if a received record of a later term proves that its term has ended.
func choose(rec Record, fenced map[TargetID]Status, leaving func(TargetID) bool) (Target, bool) {
	best, replicas := bestReplica(rec, fenced, leaving)
	if replicas >= rec.Majority() {
		return best, true
	}
	if len(fenced) < rec.Majority() {
		return Target{}, false
	}
	primary, primaryTerm := newestPrimary(rec, fenced)
	if replicas > 0 && fenced[best.ID].Received.Term > primaryTerm {
		return best, true
	}
	return primary, true
}

// bestReplica returns the fenced replica with the highest received point, and the number of fenced replicas.
// Between equal points it prefers a replica that is not leaving, then the lowest ID.
func bestReplica(rec Record, fenced map[TargetID]Status, leaving func(TargetID) bool) (Target, int) {
	var best Target
	n := 0
	for _, t := range rec.Targets {
		s, ok := fenced[t.ID]
		if !ok || s.Primary {
			continue
		}
		n++
		if n == 1 || better(t.ID, s, best.ID, fenced[best.ID], leaving) {
			best = t
		}
	}
	return best, n
}

func better(a TargetID, statusA Status, b TargetID, statusB Status, leaving func(TargetID) bool) bool {
	if statusA.Received != statusB.Received {
		return statusB.Received.Before(statusA.Received)
	}
	if leaving(a) != leaving(b) {
		return leaving(b)
	}
	return a < b
}

// newestPrimary returns the fenced primary with the highest write term, and that term.
func newestPrimary(rec Record, fenced map[TargetID]Status) (Target, position.Term) {
	var last Target
	var term position.Term
	for _, t := range rec.Targets {
		if w := fenced[t.ID].writeTerm(); w > term {
			last, term = t, w
		}
	}
	return last, term
}
