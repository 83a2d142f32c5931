package event

import (
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Gap is the time without a primary that took writes, between a failure and the first write after it.
type Gap struct {
	Group string        `json:"group"`
	Term  position.Term `json:"term"` // of the new primary
	// Began is the earliest suspicion, or confirmation, of the failed primary.
	Began Stamp `json:"began"`
	// FirstWrite is the earliest write acknowledged at the higher term.
	FirstWrite Stamp `json:"first-write"`
	// Length is the difference of the stamps, never below 0.
	Length clock.Millis `json:"length-ms"`
}

// termKey names the primary of one term.
type termKey struct {
	group string
	term  position.Term
}

// doubt is what one daemon holds against the primary.
type doubt struct {
	daemon string
	target string
	term   position.Term
	at     Stamp
}

// gapFinder walks the events of one group.
type gapFinder struct {
	primaries map[termKey]string
	doubts    []doubt
	// changes are the daemons that began a change and have not left it.
	changes []string
	written position.Term
}

// Gaps returns the gap of each change of primary after a failure, in the order of their first writes.
//
// A change without a doubt before it, as when a target is drained, has none.
func Gaps(merged []Event) []Gap {
	known := primaries(merged)
	finders := make(map[string]*gapFinder)
	var out []Gap
	for i := range merged {
		e := &merged[i]
		if e.Kind == Started {
			for _, f := range finders {
				f.restarted(e.At.Daemon)
			}
		}
		if e.Group == "" {
			continue
		}
		f := finders[e.Group]
		if f == nil {
			f = &gapFinder{primaries: known}
			finders[e.Group] = f
		}
		if g := f.take(e); g != nil {
			out = append(out, *g)
		}
	}
	return out
}

// primaries finds who was the primary at each term.
func primaries(merged []Event) map[termKey]string {
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

// take returns the gap that e ends, if any.
func (f *gapFinder) take(e *Event) *Gap {
	switch e.Kind {
	case Suspected, Confirmed:
		if f.primaries[termKey{e.Group, e.Term}] == e.Target {
			f.doubts = append(f.doubts, doubt{daemon: e.At.Daemon, target: e.Target, term: e.Term, at: e.At})
		}
	case ChangeBegan:
		f.changes = append(f.changes, e.At.Daemon)
	case ChangeLeft:
		f.changes = slices.DeleteFunc(f.changes, func(d string) bool { return d == e.At.Daemon })
	case FalseAlarm:
		f.withdraw(e)
	case FirstWrite:
		return f.wrote(e)
	}
	return nil
}

// withdraw drops a daemon's doubts, unless a change goes on because of them.
func (f *gapFinder) withdraw(e *Event) {
	if len(f.changes) > 0 {
		return
	}
	f.doubts = slices.DeleteFunc(f.doubts, func(d doubt) bool {
		return d.daemon == e.At.Daemon && d.target == e.Target
	})
}

// restarted forgets what a daemon held before it began anew.
func (f *gapFinder) restarted(daemon string) {
	if len(f.changes) == 0 {
		f.doubts = slices.DeleteFunc(f.doubts, func(d doubt) bool { return d.daemon == daemon })
	}
}

func (f *gapFinder) wrote(e *Event) *Gap {
	if e.Term <= f.written {
		return nil
	}
	f.written = e.Term
	var g *Gap
	for _, d := range f.doubts {
		if d.term < e.Term {
			g = &Gap{Group: e.Group, Term: e.Term, Began: d.at, FirstWrite: e.At, Length: e.At.Millis - d.at.Millis}
			break
		}
	}
	f.doubts = slices.DeleteFunc(f.doubts, func(d doubt) bool { return d.term < e.Term })
	f.changes = nil
	return g
}
