package group

import (
	"strings"
	"testing"

	"github.com/cactusfork/cactusfork/pkg/position"
)

func crashPrimary(s *sim) { s.crash("t0") }

func behind(s *sim) {
	s.targets["t1"].lag = 30
	s.run(1000)
	s.crash("t0")
}

// late sends an order of the first term to t2, which holds what t1 has had acknowledged.
func late(s *sim) {
	s.pause("t0")
	s.run(2000)
	s.wake("t0")
	s.targets["t2"].order(s, Order{Kind: Follow, Term: 1, Holder: "start", Primary: Target{ID: "t0"}})
	s.run(50)
	s.crash("t1")
}

// lateRecord sends an update that was conditional on the first version.
func lateRecord(s *sim) {
	old, version := s.platform.rec, s.platform.version
	s.crash("t0")
	s.run(1000)
	s.platform.put(s, old, version)
}

// parted lets the orders of each daemon reach one target only.
func parted(s *sim) {
	s.lose = func(_ int, a Action) (bool, bool) {
		o, ok := a.(SendOrder)
		return ok && o.Order.Holder[1] != o.Target[1], false
	}
	for _, d := range s.daemons {
		s.platformCut[d.id] = true
	}
	s.crash("t0")
}

// takeSilenceForPromise makes fences that got no answer count.
func takeSilenceForPromise(e Event) Event {
	o, ok := e.(Ordered)
	if !ok || o.Outcome != OrderUnknown || o.Order.Kind != Fence {
		return e
	}
	o.Outcome = OrderOK
	o.Status = Status{Promise: o.Order.Term, Holder: o.Order.Holder}
	return o
}

// slowPromotion has t1 fenced for a later term during its promotion, and t0 follow it in the earlier one.
func slowPromotion(s *sim) {
	t0, t1 := s.targets["t0"], s.targets["t1"]
	t1.slow = 1500
	s.crash("t0")
	for s.now < 3000 && t1.lockedTo == 0 {
		s.run(tickLength)
	}
	first := Order{Kind: Follow, Term: t1.promise, Holder: t1.holder, Primary: Target{ID: "t1"}}
	for _, d := range s.daemons {
		s.step(d, Left{Target: "t1", Leaving: true})
	}
	s.run(1490)
	s.pause("t2")
	t0.up = true
	t0.order(s, first)
	s.run(20)
	if t1.primary {
		s.writeTo(t1)
	}
	s.run(20)
	s.crash("t1")
	s.wake("t2")
}

// standStill leaves two primaries behind whose terms are far below all promises.
func standStill(s *sim) {
	for i, term := range []position.Term{1, 2, 3} {
		t := s.targets[s.ids[i]]
		if term > 1 {
			t.order(s, Order{Kind: Promote, Term: term, Holder: "gone"})
		}
		t.order(s, Order{Kind: Fence, Term: 100, Holder: "gone"})
	}
}

func each(set func(t *simTarget)) func(s *sim) {
	return func(s *sim) {
		for _, id := range s.ids {
			set(s.targets[id])
		}
	}
}

// TestChecksCatch breaks one rule at a time and expects the check that watches over it to say so.
func TestChecksCatch(t *testing.T) {
	rows := []struct {
		name   string
		broken func(s *sim)
		fault  func(s *sim)
		want   string
	}{
		{"a second target promoted", func(s *sim) { s.tamperOrder(Promote, "t1", "t2") }, crashPrimary, "has the primaries"},
		{"the worst target promoted", func(s *sim) { s.tamperOrder(Promote, "t1") }, behind, "is 0 times"},
		{"promises not kept", each(func(t *simTarget) { t.lawless = true }), late, "is 0 times"},
		{"a minority promoted", func(s *sim) { s.forge = takeSilenceForPromise }, parted, "has the primaries"},
		{"acknowledged by the primary alone", func(s *sim) { s.eager = true }, behind, "is 0 times"},
		{"a record without its condition", func(s *sim) { s.platform.lawless = true }, lateRecord, "record term fell"},
		{"fenced during a promotion", each(func(t *simTarget) { t.unlocked = true }), slowPromotion, "is 0 times"},
		{"a promotion ignored by a primary", each(func(t *simTarget) { t.stubborn = true }), standStill, "not whole"},
		{"records doubled", func(s *sim) { s.doubleStream = true }, crashPrimary, "is 2 times"},
		{"a lower term recorded", func(s *sim) {
			s.tamper = func(a Action) Action {
				if p, ok := a.(PutRecord); ok {
					p.Record.Term = 0
					return p
				}
				return a
			}
		}, crashPrimary, "record term fell"},
		{"a version forgotten", nil, func(s *sim) { s.daemons[0].m.version-- }, "went from version"},
		{"a term forgotten", nil, func(s *sim) {
			d := s.daemons[0]
			d.m = New(d.id, Record{Targets: s.platform.rec.Targets}, Settings{}, s.rnd.Float64)
			d.m.version = s.platform.version
		}, "term 1 to version 7 term 0"},
		{"nobody told to follow", func(s *sim) { s.tamperOrder(Follow) }, crashPrimary, "not whole"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			for seed := range uint64(20) {
				if got := (faultRow{fault: r.fault}).play(newSim(seed, 3, 3)); r.broken != nil && got != "" {
					t.Fatalf("seed %d with no rule broken: %s", seed, got)
				}
				s := newSim(seed, 3, 3)
				if r.broken != nil {
					r.broken(s)
				}
				got := faultRow{fault: r.fault}.play(s)
				if strings.Contains(got, r.want) {
					return
				}
			}
			t.Fatalf("no seed was caught with %q", r.want)
		})
	}
}

// tamperOrder sends orders of kind k to the given targets instead.
func (s *sim) tamperOrder(k OrderKind, to ...TargetID) {
	s.tamper = func(a Action) Action {
		o, ok := a.(SendOrder)
		if !ok || o.Order.Kind != k {
			return a
		}
		for _, id := range to {
			s.targets[id].order(s, o.Order)
		}
		return Report{}
	}
}
