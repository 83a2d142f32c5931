package group

import (
	"cmp"
	"fmt"
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// settle is how long a group runs before its fault, and outage how long after.
const (
	settle = 1 * clock.Second
	outage = 4 * clock.Second
)

type faultRow struct {
	name    string
	targets int
	daemons int
	fault   func(s *sim)
	// want is the primary by the end of the outage; "*" stands for any but t0, empty for not stated.
	want TargetID
	// within bounds the time from the fault to the next acknowledged write; 0: not stated.
	within clock.Millis
}

var faultRows = []faultRow{
	{name: "nothing", want: "t0"},
	{name: "primary crash", want: "*", within: 1 * clock.Second, fault: func(s *sim) { s.crash("t0") }},
	{name: "primary crash, one daemon", daemons: 1, want: "*", within: 700, fault: func(s *sim) { s.crash("t0") }},
	{name: "primary crash, five targets", targets: 5, want: "*", within: 1 * clock.Second, fault: func(s *sim) { s.crash("t0") }},
	{name: "primary pause and wake", want: "*", within: 2 * clock.Second, fault: func(s *sim) {
		s.pause("t0")
		s.run(1500)
		s.wake("t0")
	}},
	{name: "short pause is no change", want: "t0", fault: func(s *sim) {
		s.pause("t0")
		s.run(200)
		s.wake("t0")
	}},
	{name: "short pause, and the daemons stand still", want: "t0", fault: func(s *sim) {
		s.pause("t0")
		s.run(180)
		for _, d := range s.daemons {
			d.paused = true
		}
		s.wake("t0")
		s.run(500)
		for _, d := range s.daemons {
			s.resume(d)
		}
	}},
	{name: "a replica's data centre cut off and back, again and again", want: "t0", fault: func(s *sim) {
		for n := range 20 {
			for _, other := range []string{"d1", "d2", "t0", "t2"} {
				s.sever("d0", other)
				s.sever("t1", other)
			}
			s.run(1200 + clock.Millis(37*n))
			clear(s.cut)
			s.run(1000)
		}
	}},
	{name: "primary cut from one daemon only", want: "t0", fault: func(s *sim) { s.sever("d0", "t0") }},
	{name: "primary cut from all", want: "*", within: 2 * clock.Second, fault: func(s *sim) { s.isolate("t0") }},
	{name: "primary cut from daemons, not from replicas", want: "*", within: 2 * clock.Second, fault: func(s *sim) {
		for _, d := range s.daemons {
			s.sever(string(d.id), "t0")
		}
	}},
	{name: "answers of one way only", want: "*", fault: func(s *sim) {
		s.cut[[2]string{"d0", "t0"}] = true
		s.cut[[2]string{"d1", "t0"}] = true
	}},
	{name: "cut off from replicas", want: "*", within: 1 * clock.Second, fault: func(s *sim) {
		s.sever("t0", "t1")
		s.sever("t0", "t2")
	}},
	{name: "cut off from replicas, one daemon sees it alive", want: "*", within: 2 * clock.Second, fault: func(s *sim) {
		s.isolate("t0")
		s.cut[[2]string{"d0", "t0"}] = false
		s.cut[[2]string{"t0", "d0"}] = false
	}},
	{name: "streams stand still for a while", want: "*", within: 3 * clock.Second, fault: func(s *sim) {
		s.targets["t1"].lag, s.targets["t2"].lag = 1000, 1000
		s.run(2000)
		s.targets["t1"].lag, s.targets["t2"].lag = 0, 0
	}},
	{name: "replica far behind", want: "t2", fault: func(s *sim) {
		s.targets["t1"].lag = 30
		s.run(1000)
		s.crash("t0")
	}},
	{name: "far behind and the other replica fails too", fault: func(s *sim) {
		s.targets["t1"].lag = 30
		s.run(1000)
		s.crash("t0")
		s.run(20)
		s.crash("t2")
	}},
	{name: "chosen dies before or after promotion", fault: func(s *sim) {
		s.crash("t0")
		s.run(260)
		s.crash("t1")
	}},
	{name: "chosen dies and the old primary returns", fault: func(s *sim) {
		s.crash("t0")
		s.run(2000)
		s.crash(s.platform.rec.Primary)
		s.run(1000)
		s.targets["t0"].up = true
	}},
	{name: "platform down", want: "*", within: 2 * clock.Second, fault: func(s *sim) {
		for _, d := range s.daemons {
			s.platformCut[d.id] = true
		}
		s.crash("t0")
	}},
	{name: "platform down for one daemon", want: "*", within: 2 * clock.Second, fault: func(s *sim) {
		s.platformCut["d0"] = true
		s.crash("t0")
	}},
	{name: "competing daemons", daemons: 9, want: "*", within: 3 * clock.Second, fault: func(s *sim) { s.crash("t0") }},
	{name: "doubled and late events", want: "*", within: 3 * clock.Second, fault: func(s *sim) {
		s.double = 0.3
		s.crash("t0")
	}},
	{name: "holder paused and woken", fault: func(s *sim) {
		s.crash("t0")
		s.run(200)
		for _, d := range s.daemons {
			d.paused = d.m.change != nil
		}
		s.run(3000)
		for _, d := range s.daemons {
			s.resume(d)
		}
	}},
	{name: "longer log of an older term", fault: func(s *sim) {
		s.isolate("t0")
		for range 500 {
			s.writeTo(s.targets["t0"])
		}
		s.run(2000)
		s.cut = map[[2]string]bool{}
		s.sever("t0", "t1")
		s.sever("t0", "t2")
		s.run(1000)
		s.crash(s.platform.rec.Primary)
	}},
	{name: "a fenced primary still writes", fault: func(s *sim) {
		for _, d := range s.daemons {
			s.sever(string(d.id), "t2")
		}
		s.targets["t1"].order(s, Order{Kind: Fence, Term: 2, Holder: "gone"})
	}},
	{name: "cut off and fences of one replica lost", want: "*", within: 2 * clock.Second, fault: func(s *sim) {
		end := s.now + 1000
		s.lose = func(_ int, a Action) (bool, bool) {
			o, ok := a.(SendOrder)
			return ok && o.Target == "t2" && s.now < end, false
		}
		s.sever("t0", "t1")
		s.sever("t0", "t2")
	}},
	{name: "primary leaves, one stream ends late", want: "*", fault: func(s *sim) {
		s.targets["t2"].linger = 200
		for _, d := range s.daemons {
			s.step(d, Left{Target: "t0", Leaving: true})
		}
	}},
	{name: "primary leaves", want: "*", fault: func(s *sim) {
		for _, d := range s.daemons {
			s.step(d, Left{Target: "t0", Leaving: true})
		}
	}},
}

// isolate cuts a target from everything.
func (s *sim) isolate(id TargetID) {
	for _, d := range s.daemons {
		s.sever(string(d.id), string(id))
	}
	for _, o := range s.ids {
		s.sever(string(o), string(id))
	}
}

// play runs the row and returns what went wrong.
func (r faultRow) play(s *sim) string {
	s.run(settle)
	at := s.now
	if r.fault != nil {
		r.fault(s)
	}
	s.run(at + outage - s.now)
	next := s.nextAck() - at
	if got := s.primaryNow(); r.want == "*" && got == "t0" || r.want != "" && r.want != "*" && got != r.want {
		s.fail("primary is %s, want %s: %s", got, r.want, s.describe())
	}
	if r.within > 0 && (next < 0 || next > r.within) {
		s.fail("next write acknowledged after %d ms, want within %d ms", next, r.within)
	}
	if r.want == "t0" && s.changes > 0 {
		s.fail("%d changes begun, want none", s.changes)
	}
	return s.finish()
}

// nextAck is when the first write of another term than the first was acknowledged.
func (s *sim) nextAck() clock.Millis {
	first := clock.Millis(0)
	for term, at := range s.acks {
		if term > 1 && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

// primaryNow is the target that was promoted last.
func (s *sim) primaryNow() TargetID {
	id := TargetID("")
	for term, last := 1, 0; term < 1000; term++ {
		if p, ok := s.primaries[position.Term(term)]; ok && term > last {
			id, last = p, term
		}
	}
	return id
}

func TestFaults(t *testing.T) {
	for _, row := range faultRows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(8) {
				if got := row.play(newSim(seed, row.nTargets(), row.nDaemons())); got != "" {
					t.Fatalf("seed %d: %s", seed, got)
				}
			}
		})
	}
}

// TestKilledAfterEachStep kills the daemons that act, each after its nth call.
func TestKilledAfterEachStep(t *testing.T) {
	row := faultRow{fault: func(s *sim) { s.crash("t0") }, want: "*"}
	for n := 1; n <= 14; n++ {
		for seed := range uint64(4) {
			s := newSim(seed, 3, 4)
			for _, d := range s.daemons[:3] {
				d.killAfter = n
			}
			if got := row.play(s); got != "" {
				t.Fatalf("killed after %d, seed %d: %s", n, seed, got)
			}
		}
	}
}

// TestContention bounds the changes that nine daemons begin, and the primaries that they make, for one fault.
func TestContention(t *testing.T) {
	for _, row := range faultRows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s := newSim(seed, 3, 9)
				s.run(settle)
				if row.fault != nil {
					row.fault(s)
				}
				s.run(outage)
				if made := len(s.primaries) - 1; s.changes > 18 || made > 2 {
					t.Fatalf("seed %d: %d changes begun, %d primaries made, want at most 18 and 2", seed, s.changes, made)
				}
			}
		})
	}
}

// TestLostAtEachCall loses the request or the answer of the nth order or platform call, alone or with all that follow for a while.
func TestLostAtEachCall(t *testing.T) {
	row := faultRow{fault: func(s *sim) { s.crash("t0") }, want: "*"}
	for n := 1; n <= 14; n++ {
		for _, burst := range []int{1, 4} {
			for _, answer := range []bool{false, true} {
				t.Run(fmt.Sprint(n, burst, answer), func(t *testing.T) {
					s := newSim(uint64(n), 3, 3)
					s.lose = func(call int, _ Action) (bool, bool) {
						hit := call >= n && call < n+burst
						return hit && !answer, hit && answer
					}
					if got := row.play(s); got != "" {
						t.Fatal(got)
					}
				})
			}
		}
	}
}

func (r faultRow) nTargets() int { return cmp.Or(r.targets, 3) }

func (r faultRow) nDaemons() int { return cmp.Or(r.daemons, 3) }
