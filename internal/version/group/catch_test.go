package group

import (
	"strings"
	"testing"

	"github.com/cactusfork/cactusfork/pkg/position"
)

func crashPrimary(s *sim) { s.crashTarget("t0") }

func crashWithLaggingReplica(s *sim) {
	s.targets["t1"].lag = 30
	s.run(1000)
	s.crashTarget("t0")
}

// lateOrder sends t2 a Follow order of term 1 after t2 has received writes that t1 acknowledged at a later term.
func lateOrder(s *sim) {
	s.pauseTarget("t0")
	s.run(2000)
	s.resumeTarget("t0")
	s.targets["t2"].handleOrder(s, Order{Kind: Follow, Term: 1, Holder: "start", Primary: Target{ID: "t0"}})
	s.run(50)
	s.crashTarget("t1")
}

// staleRecordUpdate sends a record update that is conditional on the first version, after a change has stored a later one.
func staleRecordUpdate(s *sim) {
	old, version := s.platform.rec, s.platform.version
	s.crashTarget("t0")
	s.run(1000)
	s.platform.putRecord(s, old, version)
}

// partitionDaemons lets the orders of each daemon reach one target only, and cuts the daemons off from the platform.
func partitionDaemons(s *sim) {
	s.loseCall = func(_ int, a Action) (bool, bool) {
		o, ok := a.(SendOrder)
		return ok && o.Order.Holder[1] != o.Target[1], false
	}
	for _, d := range s.daemons {
		s.platformCut[d.id] = true
	}
	s.crashTarget("t0")
}

// acceptFenceWithoutReply turns a Fence order without a reply into an accepted one.
func acceptFenceWithoutReply(e Event) Event {
	o, ok := e.(OrderResult)
	if !ok || o.Outcome != OrderUnknown || o.Order.Kind != Fence {
		return e
	}
	o.Outcome = OrderOK
	o.Status = Status{Promise: o.Order.Term, Holder: o.Order.Holder}
	return o
}

// slowPromotion fences t1 for a later term during its promotion, and has t0 follow it at the earlier term.
func slowPromotion(s *sim) {
	t0, t1 := s.targets["t0"], s.targets["t1"]
	t1.promotionTime = 1500
	s.crashTarget("t0")
	for s.now < 3000 && t1.promotionEnd == 0 {
		s.run(tickLength)
	}
	first := Order{Kind: Follow, Term: t1.promise, Holder: t1.holder, Primary: Target{ID: "t1"}}
	for _, d := range s.daemons {
		s.step(d, LeavingUpdate{Target: "t1", Leaving: true})
	}
	s.run(1490)
	s.pauseTarget("t2")
	t0.up = true
	t0.handleOrder(s, first)
	s.run(20)
	if t1.primary {
		s.writeTo(t1)
	}
	s.run(20)
	s.crashTarget("t1")
	s.resumeTarget("t2")
}

// primariesBelowPromise leaves two primaries whose terms are far below the term that all targets have promised.
func primariesBelowPromise(s *sim) {
	for i, term := range []position.Term{1, 2, 3} {
		t := s.targets[s.targetIDs[i]]
		if term > 1 {
			t.handleOrder(s, Order{Kind: Promote, Term: term, Holder: "gone"})
		}
		t.handleOrder(s, Order{Kind: Fence, Term: 100, Holder: "gone"})
	}
}

func eachTarget(set func(t *simTarget)) func(s *sim) {
	return func(s *sim) {
		for _, id := range s.targetIDs {
			set(s.targets[id])
		}
	}
}

// TestChecksCatch breaks one rule at a time and expects the check of that rule to report the violation.
func TestChecksCatch(t *testing.T) {
	tests := []struct {
		name      string
		breakRule func(s *sim)
		fault     func(s *sim)
		want      string
	}{
		{"two targets promoted", func(s *sim) { s.redirectOrder(Promote, "t1", "t2") }, crashPrimary, "has the primaries"},
		{"lagging replica promoted", func(s *sim) { s.redirectOrder(Promote, "t1") }, crashWithLaggingReplica, "is 0 times"},
		{"promises ignored", eachTarget(func(t *simTarget) { t.ignoresPromise = true }), lateOrder, "is 0 times"},
		{"promotion without a majority", func(s *sim) { s.replaceEvent = acceptFenceWithoutReply }, partitionDaemons, "has the primaries"},
		{"writes acknowledged by the primary alone", func(s *sim) { s.ackByPrimaryAlone = true }, crashWithLaggingReplica, "is 0 times"},
		{"unconditional record update", func(s *sim) { s.platform.ignoresVersion = true }, staleRecordUpdate, "record term fell"},
		{"fence accepted during a promotion", eachTarget(func(t *simTarget) { t.ordersDuringPromotion = true }), slowPromotion, "is 0 times"},
		{"promotion ignored by a primary", eachTarget(func(t *simTarget) { t.ignoresPromotion = true }), primariesBelowPromise, "not converged"},
		{"log records duplicated", func(s *sim) { s.duplicateRecords = true }, crashPrimary, "is 2 times"},
		{"lower term recorded", func(s *sim) {
			s.replaceAction = func(a Action) Action {
				if p, ok := a.(PutRecord); ok {
					p.Record.Term = 0
					return p
				}
				return a
			}
		}, crashPrimary, "record term fell"},
		{"record version decreased", nil, func(s *sim) { s.daemons[0].machine.version-- }, "went from version"},
		{"term decreased", nil, func(s *sim) {
			d := s.daemons[0]
			d.machine = New(d.id, Record{Targets: s.platform.rec.Targets}, Settings{}, s.rnd.Float64)
			d.machine.version = s.platform.version
		}, "term 1 to version 7 term 0"},
		{"follow orders dropped", func(s *sim) { s.redirectOrder(Follow) }, crashPrimary, "not converged"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				if got := (faultCase{fault: tt.fault}).simulate(newSim(seed, 3, 3)); tt.breakRule != nil && got != "" {
					t.Fatalf("seed %d with no rule broken: %s", seed, got)
				}
				s := newSim(seed, 3, 3)
				if tt.breakRule != nil {
					tt.breakRule(s)
				}
				got := faultCase{fault: tt.fault}.simulate(s)
				if strings.Contains(got, tt.want) {
					return
				}
			}
			t.Fatalf("no seed gave a violation with %q", tt.want)
		})
	}
}

// redirectOrder sends each order of kind k to the given targets instead of its own target; without targets it drops the order.
func (s *sim) redirectOrder(k OrderKind, to ...TargetID) {
	s.replaceAction = func(a Action) Action {
		o, ok := a.(SendOrder)
		if !ok || o.Order.Kind != k {
			return a
		}
		for _, id := range to {
			s.targets[id].handleOrder(s, o.Order)
		}
		return Report{}
	}
}
