package event

import (
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Gap is the time without a primary that acknowledges writes, from the suspicion of a failure to the first write at a higher term.
type Gap struct {
	Group string        `json:"group"`
	Term  position.Term `json:"term"` // of the new primary
	// Began is the stamp of the earliest suspicion, or confirmation, that the primary has failed.
	Began Stamp `json:"began"`
	// FirstWrite is the stamp of the earliest write acknowledged at the higher term.
	FirstWrite Stamp `json:"first-write"`
	// Length is the difference of the two stamps, at least 0.
	Length clock.Millis `json:"length-ms"`
}

// termKey identifies a term of a group.
type termKey struct {
	group string
	term  position.Term
}

// suspicion is a daemon's suspicion or confirmation that the primary of a term has failed.
type suspicion struct {
	daemon string
	target string
	term   position.Term
	at     Stamp
}

// gapFinder finds the gaps of one group from its events in order.
type gapFinder struct {
	primariesByTerm map[termKey]string
	suspicions      []suspicion
	// changes holds the daemons that began a change of primary and have not abandoned it.
	changes []string
	// writtenTerm is the highest term with an acknowledged write.
	writtenTerm position.Term
}

// Gaps returns the gap of each change of primary after a failure, in the order of their first writes.
//
// A change that no suspicion precedes, such as that of a drained target, has no gap.
func Gaps(merged []Event) []Gap {
	primaries := primariesByTerm(merged)
	finders := make(map[string]*gapFinder)
	var out []Gap
	for i := range merged {
		e := &merged[i]
		if e.Kind == Started {
			for _, f := range finders {
				f.daemonStarted(e.At.Daemon)
			}
		}
		if e.Group == "" {
			continue
		}
		f := finders[e.Group]
		if f == nil {
			f = &gapFinder{primariesByTerm: primaries}
			finders[e.Group] = f
		}
		if g := f.process(e); g != nil {
			out = append(out, *g)
		}
	}
	return out
}

// primariesByTerm returns the target that was the primary at each term.
func primariesByTerm(merged []Event) map[termKey]string {
	out := make(map[termKey]string)
	for i := range merged {
		e := &merged[i]
		switch e.Kind {
		case Confirmed, Promoted, FirstWrite:
			out[termKey{e.Group, e.Term}] = e.Target
		}
	}
	return out
}

// process updates the state of f by e, and returns the gap that e ends, or nil.
func (f *gapFinder) process(e *Event) *Gap {
	switch e.Kind {
	case Suspected, Confirmed:
		if f.primariesByTerm[termKey{e.Group, e.Term}] == e.Target {
			f.suspicions = append(f.suspicions, suspicion{daemon: e.At.Daemon, target: e.Target, term: e.Term, at: e.At})
		}
	case ChangeBegan:
		f.changes = append(f.changes, e.At.Daemon)
	case ChangeAbandoned:
		f.changes = slices.DeleteFunc(f.changes, func(d string) bool { return d == e.At.Daemon })
	case FalseAlarm:
		f.withdrawSuspicions(e)
	case FirstWrite:
		return f.firstWrite(e)
	}
	return nil
}

// withdrawSuspicions removes the suspicions that a daemon has reported as a false alarm, unless a change of primary is in progress.
func (f *gapFinder) withdrawSuspicions(e *Event) {
	if len(f.changes) > 0 {
		return
	}
	f.suspicions = slices.DeleteFunc(f.suspicions, func(s suspicion) bool {
		return s.daemon == e.At.Daemon && s.target == e.Target
	})
}

// daemonStarted removes the suspicions that a daemon had before it restarted, unless a change of primary is in progress.
func (f *gapFinder) daemonStarted(daemon string) {
	if len(f.changes) == 0 {
		f.suspicions = slices.DeleteFunc(f.suspicions, func(s suspicion) bool { return s.daemon == daemon })
	}
}

// firstWrite returns the gap that the first write at a term ends, or nil, and removes the suspicions of earlier terms.
func (f *gapFinder) firstWrite(e *Event) *Gap {
	if e.Term <= f.writtenTerm {
		return nil
	}
	f.writtenTerm = e.Term
	var g *Gap
	for _, s := range f.suspicions {
		if s.term < e.Term {
			g = &Gap{Group: e.Group, Term: e.Term, Began: s.at, FirstWrite: e.At, Length: e.At.Millis - s.at.Millis}
			break
		}
	}
	f.suspicions = slices.DeleteFunc(f.suspicions, func(s suspicion) bool { return s.term < e.Term })
	f.changes = nil
	return g
}
