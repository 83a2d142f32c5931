package group

import (
	"flag"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that each run has the same verdict, unless another is asked for.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// faults are the moves of a walk; n picks what they hit.
var faults = map[string]func(s *sim, n int){
	"crash":  func(s *sim, n int) { s.targets[s.ids[n%len(s.ids)]].up = false },
	"start":  func(s *sim, n int) { s.targets[s.ids[n%len(s.ids)]].up = true },
	"pause":  func(s *sim, n int) { s.pause(s.ids[n%len(s.ids)]) },
	"wake":   func(s *sim, n int) { s.wake(s.ids[n%len(s.ids)]) },
	"lag":    func(s *sim, n int) { s.targets[s.ids[n%len(s.ids)]].lag = 5 * (n % 7) },
	"island": func(s *sim, n int) { s.isolate(s.ids[n%len(s.ids)]) },
	"cut":    func(s *sim, n int) { s.cut[[2]string{s.place(n), s.place(n / 8)}] = true },
	"mend":   func(s *sim, _ int) { s.cut = map[[2]string]bool{} },
	"kill":   func(s *sim, n int) { s.daemons[n%len(s.daemons)].up = false },
	"run":    func(s *sim, n int) { s.start(s.daemons[n%len(s.daemons)]) },
	"stop":   func(s *sim, n int) { s.daemons[n%len(s.daemons)].paused = true },
	"go":     func(s *sim, n int) { s.resume(s.daemons[n%len(s.daemons)]) },
	"dark":   func(s *sim, n int) { s.platformCut[s.daemons[n%len(s.daemons)].id] = n%3 > 0 },
	"leave": func(s *sim, n int) {
		for _, d := range s.daemons {
			s.step(d, Left{Target: s.ids[n%len(s.ids)], Leaving: n%2 == 0})
		}
	},
	"lose": func(s *sim, n int) {
		s.lose = func(int, Action) (bool, bool) { return s.rnd.IntN(100) < n%40, s.rnd.IntN(100) < n%30 }
	},
	"double": func(s *sim, n int) { s.double = float64(n%5) / 10 },
}

var names = slices.Sorted(maps.Keys(faults))

// place names a target or a daemon.
func (s *sim) place(n int) string {
	if n%2 == 0 {
		return string(s.ids[n/2%len(s.ids)])
	}
	return string(s.daemons[n/2%len(s.daemons)].id)
}

func TestWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.SampledFrom([]int{3, 3, 2, 5}).Draw(t, "targets")
		daemons := rapid.IntRange(1, 4).Draw(t, "daemons")
		s := newSim(rapid.Uint64().Draw(t, "seed"), targets, daemons)
		s.run(settle / 2)
		for range rapid.IntRange(1, 12).Draw(t, "moves") {
			name := rapid.SampledFrom(names).Draw(t, "move")
			faults[name](s, rapid.IntRange(0, 63).Draw(t, "n"))
			s.run(clock.Millis(rapid.IntRange(1, 120).Draw(t, "ticks")) * tickLength)
		}
		if got := s.finish(); got != "" {
			t.Fatal(got)
		}
	})
}

// TestChecksCatch breaks one rule at a time and expects the check that watches over it to say so.
func TestChecksCatch(t *testing.T) {
	crash := func(s *sim) { s.crash("t0") }
	behind := func(s *sim) {
		s.targets["t1"].lag = 30
		s.run(1000)
		s.crash("t0")
	}
	// A late order of the first term reaches t2, which holds what t1 has had acknowledged.
	late := func(s *sim) {
		s.pause("t0")
		s.run(2000)
		s.wake("t0")
		s.targets["t2"].order(s, Order{Kind: Follow, Term: 1, Holder: "start", Primary: Target{ID: "t0"}})
		s.run(50)
		s.crash("t1")
	}
	rows := []struct {
		name   string
		broken func(s *sim)
		fault  func(s *sim)
		want   string
	}{
		{"a second target promoted", func(s *sim) { s.tamperOrder(Promote, "t1", "t2") }, crash, "has the primaries"},
		{"the worst target promoted", func(s *sim) { s.tamperOrder(Promote, "t1") }, behind, "is 0 times"},
		{"promises not kept", func(s *sim) {
			for _, t := range s.targets {
				t.lawless = true
			}
		}, late, "is 0 times"},
		{"records doubled", func(s *sim) { s.doubleStream = true }, crash, "is 2 times"},
		{"a lower term recorded", func(s *sim) {
			s.tamper = func(a Action) Action {
				if p, ok := a.(PutRecord); ok {
					p.Record.Term = 0
					return p
				}
				return a
			}
		}, crash, "record term fell"},
		{"a version forgotten", func(*sim) {}, func(s *sim) { s.daemons[0].m.version-- }, "went from version"},
		{"a term forgotten", func(*sim) {}, func(s *sim) {
			d := s.daemons[0]
			d.m = New(d.id, Record{Targets: s.platform.rec.Targets}, Settings{}, s.rnd.Float64)
			d.m.version = s.platform.version
		}, "term 1 to version 7 term 0"},
		{"nobody told to follow", func(s *sim) { s.tamperOrder(Follow) }, crash, "not whole"},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSim(seed, 3, 3)
				r.broken(s)
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
