package route

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// firstTerm is the term of a group that has never changed its primary; targets enter it without an order.
const firstTerm position.Term = 1

// currentPrimary is the primary according to a view.
type currentPrimary struct {
	// index is the position in View.Targets; -1 means that no target is known to be primary.
	index int
	// term is the term in which the primary writes.
	term position.Term
}

// PrimaryOf returns the target that takes writes and its term; without one, it returns the reason, ReasonNoPrimary or ReasonFenced.
func PrimaryOf(v *View) (group.TargetID, position.Term, Reason) {
	p, reason := findPrimary(v)
	if p.index < 0 {
		return "", 0, reason
	}
	return v.Targets[p.index].ID, p.term, ReasonWrite
}

func findPrimary(v *View) (currentPrimary, Reason) {
	p := currentPrimary{index: -1}
	for i := range v.Targets {
		t := &v.Targets[i]
		if t.Down || t.RequestedAt == 0 || !t.Status.Primary {
			continue
		}
		if term, ok := provenTerm(v, t); ok && term > p.term {
			p = currentPrimary{i, term}
		}
	}
	if p.index < 0 {
		return p, ReasonNoPrimary
	}
	if countPromisesAbove(v, p.term) >= v.Record.Majority() {
		return currentPrimary{index: -1}, ReasonFenced
	}
	return p, ReasonWrite
}

// provenTerm returns the term in which t is primary, and false if the view does not prove one.
// A primary writes its log in the term of its promotion.
func provenTerm(v *View, t *TargetView) (position.Term, bool) {
	if term := t.Status.Received.Term; term > v.Record.Term && countFollowers(v, t, term) >= v.Record.Majority() {
		return term, true
	}
	if t.ID != v.Record.Primary {
		return 0, false
	}
	return v.Record.Term, v.Record.Term <= firstTerm || t.Status.Received.Term >= v.Record.Term
}

// countFollowers counts t itself and the targets that were ordered to follow t in the term.
// A majority of them proves t even if the record is out of date: a fenced target follows no primary,
// and only the holder to which it made its promise can order it to follow one.
func countFollowers(v *View, t *TargetView, term position.Term) int {
	n := 1
	for i := range v.Targets {
		r := &v.Targets[i]
		if r.ID == t.ID || r.Status.Following != t.ID || r.Status.Promise != term {
			continue
		}
		if t.Status.Promise != term || r.Status.Holder == t.Status.Holder {
			n++
		}
	}
	return n
}

// hasJoinedTerm reports whether a replica took an order of the term or a later one, or holds log written in it or later.
// Otherwise its status may date from an earlier role.
func hasJoinedTerm(t *TargetView, term position.Term) bool {
	return term <= firstTerm || t.Status.Promise >= term || t.Status.Received.Term >= term
}

func countPromisesAbove(v *View, term position.Term) int {
	n := 0
	for i := range v.Targets {
		if v.Targets[i].Status.Promise > term {
			n++
		}
	}
	return n
}

// highestPromise returns the highest term that a target is known to have promised, or the recorded term if that is higher.
func highestPromise(v *View) position.Term {
	highest := v.Record.Term
	for i := range v.Targets {
		highest = max(highest, v.Targets[i].Status.Promise)
	}
	return highest
}
