package route

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// firstTerm is that of a group which never changed its primary and needed no order for it.
const firstTerm position.Term = 1

// leader is the target that this view holds to be primary, as an index, and the term of its writes.
type leader struct {
	index int
	term  position.Term
}

// PrimaryOf returns the target that takes the writes and its term, or why there is none.
func PrimaryOf(v *View) (group.TargetID, position.Term, Reason) {
	l, why := findLeader(v)
	if l.index < 0 {
		return "", 0, why
	}
	return v.Targets[l.index].ID, l.term, ReasonWrite
}

func findLeader(v *View) (leader, Reason) {
	l := leader{index: -1}
	for i := range v.Targets {
		t := &v.Targets[i]
		if t.Down || t.AskedAt == 0 || !t.Status.Primary {
			continue
		}
		if term, ok := termOf(v, t); ok && term > l.term {
			l = leader{i, term}
		}
	}
	if l.index < 0 {
		return l, ReasonNoPrimary
	}
	if promisedAbove(v, l.term) >= v.Record.Majority() {
		return leader{index: -1}, ReasonFenced
	}
	return l, ReasonWrite
}

// termOf returns the term in which t is primary, if that is certain: a primary's log is in the term it was promoted at.
func termOf(v *View, t *TargetView) (position.Term, bool) {
	if term := t.Status.Received.Term; term > v.Record.Term && followed(v, t, term) >= v.Record.Majority() {
		return term, true
	}
	if t.ID != v.Record.Primary {
		return 0, false
	}
	return v.Record.Term, v.Record.Term <= firstTerm || t.Status.Received.Term >= v.Record.Term
}

// followed counts t and the targets that were ordered to follow it in the term.
// A majority of them proves t even while the record lags behind: a fenced target follows nobody,
// and only the holder that it promised can make it follow.
func followed(v *View, t *TargetView, term position.Term) int {
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

// joined reports whether a replica is known to have been ordered into the term or to hold log written in it; an older status may be of an earlier role.
func joined(t *TargetView, term position.Term) bool {
	return term <= firstTerm || t.Status.Promise >= term || t.Status.Received.Term >= term
}

func promisedAbove(v *View, term position.Term) int {
	n := 0
	for i := range v.Targets {
		if v.Targets[i].Status.Promise > term {
			n++
		}
	}
	return n
}

// highestPromise is the latest term that any target is known to have promised.
func highestPromise(v *View) position.Term {
	highest := v.Record.Term
	for i := range v.Targets {
		highest = max(highest, v.Targets[i].Status.Promise)
	}
	return highest
}
