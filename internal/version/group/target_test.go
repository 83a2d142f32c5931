package group

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// entry is one log record; payload 0 marks the start of a term.
type entry struct {
	term    position.Term
	payload int
}

// simTarget is a database server that keeps the promise rules.
type simTarget struct {
	id        TargetID
	up        bool
	paused    bool
	promise   position.Term
	holder    DaemonID
	primary   bool
	following TargetID
	log       []entry
	waiting   []func()
	lag       int // records that the stream stays behind
	lawless   bool
	slow      clock.Millis // how long a promotion takes; its answer is lost
	lockedTo  clock.Millis // when the promotion under way ends
	linger    clock.Millis // how long the stream goes on after a fence
	unlocked  bool         // takes orders during a promotion
	stubborn  bool         // ignores a promotion while it is primary
}

func (t *simTarget) received() position.Point {
	last := t.log[len(t.log)-1]
	return position.Point{Term: last.term, Position: position.Position(len(t.log))}
}

func (t *simTarget) status(s *sim) Status {
	st := Status{Promise: t.promise, Holder: t.holder, Primary: t.primary, Received: t.received(), Applied: t.received()}
	if s.streaming(t) {
		st.Following = t.following
	}
	return st
}

func (t *simTarget) order(s *sim, o Order) (Status, OrderOutcome) {
	outranked := o.Term < t.promise || o.Term == t.promise && o.Holder != t.holder
	if outranked && !t.lawless {
		return t.status(s), OrderOutranked
	}
	t.promise, t.holder = o.Term, o.Holder
	switch o.Kind {
	case Fence:
		if t.linger == 0 {
			t.following = ""
			break
		}
		s.after(t.linger, func() { t.following = "" })
	case Promote:
		t.lockedTo = s.now + t.slow
		if t.slow == 0 {
			t.become(s, o.Term)
			break
		}
		s.after(t.slow, func() { t.become(s, o.Term) })
	case Follow:
		t.primary = false
		t.following = o.Primary.ID
	}
	return t.status(s), OrderOK
}

// become ends a promotion.
func (t *simTarget) become(s *sim, term position.Term) {
	if !t.up || t.primary && (t.stubborn || t.received().Term == term) {
		return
	}
	t.primary = true
	t.following = ""
	t.log = append(t.log, entry{term: term})
	s.promoted(t, term)
}

// stream copies the log of the followed primary, dropping what it does not hold.
func (t *simTarget) stream(s *sim) {
	if !s.streaming(t) {
		return
	}
	from := s.targets[t.following].log
	last := len(t.log) - 1
	if len(from) == len(t.log) && from[last] == t.log[last] {
		return
	}
	same := 0
	for same < len(t.log) && same < len(from) && t.log[same] == from[same] {
		same++
	}
	end := max(same, min(len(from)-t.lag, same+20))
	t.log = append(t.log[:same], from[same:end]...)
	if s.doubleStream && end > same {
		t.log = append(t.log, from[end-1])
	}
}

// simPlatform holds the record under conditional updates.
type simPlatform struct {
	rec     Record
	version uint64
	lawless bool
}

func (p *simPlatform) put(s *sim, rec Record, ifVersion uint64) PutDone {
	if ifVersion != p.version && !p.lawless {
		return PutDone{Record: rec, Outcome: PutConflict}
	}
	if rec.Term < p.rec.Term {
		s.fail("record term fell from %d to %d", p.rec.Term, rec.Term)
	}
	p.rec = rec
	p.version++
	for _, d := range s.daemons {
		if !s.platformCut[d.id] {
			s.deliver(d, 20, Recorded{Record: rec, Version: p.version})
		}
	}
	return PutDone{Record: rec, Version: p.version, Outcome: PutOK}
}
