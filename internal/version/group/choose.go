package group

import "github.com/cactusfork/cactusfork/pkg/position"

// choose returns the fenced target that holds every acknowledged write, and false while too few are fenced to tell.
//
// A fenced target that is still primary may have writes acknowledged at its own term by targets that are not fenced.
// It counts only if it is itself chosen, or if its term has ended, which a record of a later term proves.
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

// bestReplica returns the replica with the highest received point and the number of replicas; of equals, one that stays, then the one with the lowest id.
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

// newestPrimary returns the fenced primary that writes at the highest term.
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
