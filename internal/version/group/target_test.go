package group

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// logEntry is one log record; payload 0 marks the start of a term.
type logEntry struct {
	term    position.Term
	payload int
}

// simTarget is a database server that follows the promise rules, unless a field turns one off.
type simTarget struct {
	id                    TargetID
	up                    bool
	paused                bool
	promise               position.Term
	holder                DaemonID
	primary               bool
	following             TargetID
	log                   []logEntry
	pausedCalls           []func()
	lag                   int // number of records by which the stream stays behind
	ignoresPromise        bool
	promotionTime         clock.Millis // duration of a promotion; if above 0, the reply to the order is lost
	promotionEnd          clock.Millis // end of the promotion in progress
	streamStopDelay       clock.Millis // time from a fence to the end of the stream
	ordersDuringPromotion bool         // accepts orders during a promotion
	ignoresPromotion      bool         // ignores a promotion while already primary
}

func (t *simTarget) received() position.Point {
	last := t.log[len(t.log)-1]
	return position.Point{Term: last.term, Position: position.Position(len(t.log))}
}

func (t *simTarget) status(s *sim) Status {
	st := Status{Promise: t.promise, Holder: t.holder, Primary: t.primary, Received: t.received(), Applied: t.received()}
	if s.isStreaming(t) {
		st.Following = t.following
	}
	return st
}

func (t *simTarget) handleOrder(s *sim, o Order) (Status, OrderOutcome) {
	outranked := o.Term < t.promise || o.Term == t.promise && o.Holder != t.holder
	if outranked && !t.ignoresPromise {
		return t.status(s), OrderRejected
	}
	t.promise, t.holder = o.Term, o.Holder
	switch o.Kind {
	case Fence:
		if t.streamStopDelay == 0 {
			t.following = ""
			break
		}
		s.schedule(t.streamStopDelay, func() { t.following = "" })
	case Promote:
		t.promotionEnd = s.now + t.promotionTime
		if t.promotionTime == 0 {
			t.finishPromotion(s, o.Term)
			break
		}
		s.schedule(t.promotionTime, func() { t.finishPromotion(s, o.Term) })
	case Follow:
		t.primary = false
		t.following = o.Primary.ID
	}
	return t.status(s), OrderOK
}

// finishPromotion makes the target primary at term, unless it is down or already primary of that term.
func (t *simTarget) finishPromotion(s *sim, term position.Term) {
	if !t.up || t.primary && (t.ignoresPromotion || t.received().Term == term) {
		return
	}
	t.primary = true
	t.following = ""
	t.log = append(t.log, logEntry{term: term})
	s.checkPromotion(t, term)
}

// copyLog copies the log of the followed primary and discards records that this primary does not hold.
func (t *simTarget) copyLog(s *sim) {
	if !s.isStreaming(t) {
		return
	}
	source := s.targets[t.following].log
	last := len(t.log) - 1
	if len(source) == len(t.log) && source[last] == t.log[last] {
		return
	}
	common := 0
	for common < len(t.log) && common < len(source) && t.log[common] == source[common] {
		common++
	}
	end := max(common, min(len(source)-t.lag, common+20))
	t.log = append(t.log[:common], source[common:end]...)
	if s.duplicateRecords && end > common {
		t.log = append(t.log, source[end-1])
	}
}

// simPlatform stores the record and accepts only updates conditional on its current version, unless ignoresVersion is set.
type simPlatform struct {
	rec            Record
	version        uint64
	ignoresVersion bool
}

func (p *simPlatform) putRecord(s *sim, rec Record, ifVersion uint64) PutResult {
	if ifVersion != p.version && !p.ignoresVersion {
		return PutResult{Record: rec, Outcome: PutConflict}
	}
	if rec.Term < p.rec.Term {
		s.fail("record term fell from %d to %d", p.rec.Term, rec.Term)
	}
	p.rec = rec
	p.version++
	for _, d := range s.daemons {
		if !s.platformCut[d.id] {
			s.deliver(d, 20, RecordUpdate{Record: rec, Version: p.version})
		}
	}
	return PutResult{Record: rec, Version: p.version, Outcome: PutOK}
}
