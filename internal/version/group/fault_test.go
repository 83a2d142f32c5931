package group

import (
	"cmp"
	"fmt"
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// warmUpTime is how long a group runs before its fault, and faultTime how long it runs from the fault on.
const (
	warmUpTime = 1 * clock.Second
	faultTime  = 4 * clock.Second
)

type faultCase struct {
	name    string
	targets int
	daemons int
	fault   func(s *sim)
	// want is the primary at the end of faultTime; "*" stands for any target but t0, and empty means that it is not checked.
	want TargetID
	// maxGap is the maximum time from the fault to the next acknowledged write; 0 means that it is not checked.
	maxGap clock.Millis
}

var faultCases = []faultCase{
	{name: "no fault", want: "t0"},
	{name: "primary crash", want: "*", maxGap: 1 * clock.Second, fault: func(s *sim) { s.crashTarget("t0") }},
	{name: "primary crash, one daemon", daemons: 1, want: "*", maxGap: 700, fault: func(s *sim) { s.crashTarget("t0") }},
	{name: "primary crash, five targets", targets: 5, want: "*", maxGap: 1 * clock.Second, fault: func(s *sim) { s.crashTarget("t0") }},
	{name: "primary paused and resumed", want: "*", maxGap: 2 * clock.Second, fault: func(s *sim) {
		s.pauseTarget("t0")
		s.run(1500)
		s.resumeTarget("t0")
	}},
	{name: "short pause causes no change", want: "t0", fault: func(s *sim) {
		s.pauseTarget("t0")
		s.run(200)
		s.resumeTarget("t0")
	}},
	{name: "short pause of the primary while the daemons are paused", want: "t0", fault: func(s *sim) {
		s.pauseTarget("t0")
		s.run(180)
		for _, d := range s.daemons {
			d.paused = true
		}
		s.resumeTarget("t0")
		s.run(500)
		for _, d := range s.daemons {
			s.resumeDaemon(d)
		}
	}},
	{name: "data centre of a replica repeatedly disconnected and reconnected", want: "t0", fault: func(s *sim) {
		for n := range 20 {
			for _, other := range []string{"d1", "d2", "t0", "t2"} {
				s.disconnect("d0", other)
				s.disconnect("t1", other)
			}
			s.run(1200 + clock.Millis(37*n))
			clear(s.cutLinks)
			s.run(1000)
		}
	}},
	{name: "primary disconnected from one daemon only", want: "t0", fault: func(s *sim) { s.disconnect("d0", "t0") }},
	{name: "primary disconnected from all", want: "*", maxGap: 2 * clock.Second, fault: func(s *sim) { s.isolate("t0") }},
	{name: "primary disconnected from daemons but not from replicas", want: "*", maxGap: 2 * clock.Second, fault: func(s *sim) {
		for _, d := range s.daemons {
			s.disconnect(string(d.id), "t0")
		}
	}},
	{name: "two daemons do not reach the primary, one direction only", want: "*", fault: func(s *sim) {
		s.cutLinks[[2]string{"d0", "t0"}] = true
		s.cutLinks[[2]string{"d1", "t0"}] = true
	}},
	{name: "primary disconnected from replicas", want: "*", maxGap: 1 * clock.Second, fault: func(s *sim) {
		s.disconnect("t0", "t1")
		s.disconnect("t0", "t2")
	}},
	{name: "primary disconnected from replicas but not from one daemon", want: "*", maxGap: 2 * clock.Second, fault: func(s *sim) {
		s.isolate("t0")
		s.cutLinks[[2]string{"d0", "t0"}] = false
		s.cutLinks[[2]string{"t0", "d0"}] = false
	}},
	{name: "streams stalled for two seconds", want: "*", maxGap: 3 * clock.Second, fault: func(s *sim) {
		s.targets["t1"].lag, s.targets["t2"].lag = 1000, 1000
		s.run(2000)
		s.targets["t1"].lag, s.targets["t2"].lag = 0, 0
	}},
	{name: "replica far behind", want: "t2", fault: func(s *sim) {
		s.targets["t1"].lag = 30
		s.run(1000)
		s.crashTarget("t0")
	}},
	{name: "replica far behind and the other replica crashes", fault: func(s *sim) {
		s.targets["t1"].lag = 30
		s.run(1000)
		s.crashTarget("t0")
		s.run(20)
		s.crashTarget("t2")
	}},
	{name: "chosen target crashes before or after promotion", fault: func(s *sim) {
		s.crashTarget("t0")
		s.run(260)
		s.crashTarget("t1")
	}},
	{name: "chosen target crashes and the old primary returns", fault: func(s *sim) {
		s.crashTarget("t0")
		s.run(2000)
		s.crashTarget(s.platform.rec.Primary)
		s.run(1000)
		s.targets["t0"].up = true
	}},
	{name: "platform down", want: "*", maxGap: 2 * clock.Second, fault: func(s *sim) {
		for _, d := range s.daemons {
			s.platformCut[d.id] = true
		}
		s.crashTarget("t0")
	}},
	{name: "platform down for one daemon", want: "*", maxGap: 2 * clock.Second, fault: func(s *sim) {
		s.platformCut["d0"] = true
		s.crashTarget("t0")
	}},
	{name: "competing daemons", daemons: 9, want: "*", maxGap: 3 * clock.Second, fault: func(s *sim) { s.crashTarget("t0") }},
	{name: "duplicate and late events", want: "*", maxGap: 3 * clock.Second, fault: func(s *sim) {
		s.duplicateRate = 0.3
		s.crashTarget("t0")
	}},
	{name: "holder paused and resumed", fault: func(s *sim) {
		s.crashTarget("t0")
		s.run(200)
		for _, d := range s.daemons {
			d.paused = d.machine.change != nil
		}
		s.run(3000)
		for _, d := range s.daemons {
			s.resumeDaemon(d)
		}
	}},
	{name: "longer log of an older term", fault: func(s *sim) {
		s.isolate("t0")
		for range 500 {
			s.writeTo(s.targets["t0"])
		}
		s.run(2000)
		s.cutLinks = map[[2]string]bool{}
		s.disconnect("t0", "t1")
		s.disconnect("t0", "t2")
		s.run(1000)
		s.crashTarget(s.platform.rec.Primary)
	}},
	{name: "fenced primary still takes writes", fault: func(s *sim) {
		for _, d := range s.daemons {
			s.disconnect(string(d.id), "t2")
		}
		s.targets["t1"].handleOrder(s, Order{Kind: Fence, Term: 2, Holder: "gone"})
	}},
	{name: "primary disconnected from replicas and fences of one replica lost", want: "*", maxGap: 2 * clock.Second, fault: func(s *sim) {
		end := s.now + 1000
		s.loseCall = func(_ int, a Action) (bool, bool) {
			o, ok := a.(SendOrder)
			return ok && o.Target == "t2" && s.now < end, false
		}
		s.disconnect("t0", "t1")
		s.disconnect("t0", "t2")
	}},
	{name: "primary is leaving, one stream ends late", want: "*", fault: func(s *sim) {
		s.targets["t2"].streamStopDelay = 200
		for _, d := range s.daemons {
			s.step(d, LeavingUpdate{Target: "t0", Leaving: true})
		}
	}},
	{name: "primary is leaving", want: "*", fault: func(s *sim) {
		for _, d := range s.daemons {
			s.step(d, LeavingUpdate{Target: "t0", Leaving: true})
		}
	}},
}

// isolate disconnects a target from all daemons and targets.
func (s *sim) isolate(id TargetID) {
	for _, d := range s.daemons {
		s.disconnect(string(d.id), string(id))
	}
	for _, o := range s.targetIDs {
		s.disconnect(string(o), string(id))
	}
}

// simulate runs the case and returns the first violation, or "" if there is none.
func (r faultCase) simulate(s *sim) string {
	s.run(warmUpTime)
	faultAt := s.now
	if r.fault != nil {
		r.fault(s)
	}
	s.run(faultAt + faultTime - s.now)
	firstAckDelay := s.firstAckAfterChange() - faultAt
	if got := s.latestPrimary(); r.want == "*" && got == "t0" || r.want != "" && r.want != "*" && got != r.want {
		s.fail("primary is %s, want %s: %s", got, r.want, s.describe())
	}
	if r.maxGap > 0 && (firstAckDelay < 0 || firstAckDelay > r.maxGap) {
		s.fail("next write acknowledged after %d ms, want within %d ms", firstAckDelay, r.maxGap)
	}
	if r.want == "t0" && s.startedChanges > 0 {
		s.fail("%d changes started, want none", s.startedChanges)
	}
	return s.endFaultsAndCheck()
}

// firstAckAfterChange returns the time of the first acknowledged write of a term above 1, or 0 if there is none.
func (s *sim) firstAckAfterChange() clock.Millis {
	first := clock.Millis(0)
	for term, at := range s.firstAckAt {
		if term > 1 && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

// latestPrimary returns the primary of the highest term.
func (s *sim) latestPrimary() TargetID {
	id := TargetID("")
	for term, last := 1, 0; term < 1000; term++ {
		if p, ok := s.primaryByTerm[position.Term(term)]; ok && term > last {
			id, last = p, term
		}
	}
	return id
}

func TestFaults(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(8) {
				if got := tc.simulate(newSim(seed, tc.nTargets(), tc.nDaemons())); got != "" {
					t.Fatalf("seed %d: %s", seed, got)
				}
			}
		})
	}
}

// TestDaemonsKilledAfterEachCall kills three of four daemons, each after its nth order or platform call.
func TestDaemonsKilledAfterEachCall(t *testing.T) {
	tc := faultCase{fault: func(s *sim) { s.crashTarget("t0") }, want: "*"}
	for n := 1; n <= 14; n++ {
		for seed := range uint64(4) {
			s := newSim(seed, 3, 4)
			for _, d := range s.daemons[:3] {
				d.killAfter = n
			}
			if got := tc.simulate(s); got != "" {
				t.Fatalf("daemons killed after %d calls, seed %d: %s", n, seed, got)
			}
		}
	}
}

// TestContention checks that nine daemons start at most 18 changes and promote at most two targets for one fault.
func TestContention(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s := newSim(seed, 3, 9)
				s.run(warmUpTime)
				if tc.fault != nil {
					tc.fault(s)
				}
				s.run(faultTime)
				if promoted := len(s.primaryByTerm) - 1; s.startedChanges > 18 || promoted > 2 {
					t.Fatalf("seed %d: %d changes started, %d targets promoted, want at most 18 and 2", seed, s.startedChanges, promoted)
				}
			}
		})
	}
}

// TestLossAtEachCall loses the request or the reply of the nth order or platform call, alone or together with the next three.
func TestLossAtEachCall(t *testing.T) {
	tc := faultCase{fault: func(s *sim) { s.crashTarget("t0") }, want: "*"}
	for n := 1; n <= 14; n++ {
		for _, burst := range []int{1, 4} {
			for _, loseReply := range []bool{false, true} {
				t.Run(fmt.Sprint(n, burst, loseReply), func(t *testing.T) {
					s := newSim(uint64(n), 3, 3)
					s.loseCall = func(call int, _ Action) (bool, bool) {
						lost := call >= n && call < n+burst
						return lost && !loseReply, lost && loseReply
					}
					if got := tc.simulate(s); got != "" {
						t.Fatal(got)
					}
				})
			}
		}
	}
}

func (r faultCase) nTargets() int { return cmp.Or(r.targets, 3) }

func (r faultCase) nDaemons() int { return cmp.Or(r.daemons, 3) }
