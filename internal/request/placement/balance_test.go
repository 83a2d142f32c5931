package placement

import (
	"fmt"
	"math"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// firstIndex makes ChooseEven take the first of several equal targets.
func firstIndex(int) int { return 0 }

// TestChooseEven checks each rule of the choice by a case whose result differs without the rule.
func TestChooseEven(t *testing.T) {
	const now clock.Millis = 100_000
	with := func(c Candidate, f func(*Candidate)) Candidate { f(&c); return c }
	one := Candidate{ID: "one", DataCentre: "a", Slots: 4, Latency: 20, Choosers: 6}
	two := with(one, func(c *Candidate) { c.ID = "two" })
	primary := with(one, func(c *Candidate) { c.ID, c.Primary = "primary", true })
	tests := []struct {
		name   string
		list   []Candidate
		need   Need
		want   group.TargetID
		reason Reason
	}{
		{"no candidates", nil, Need{}, "", NoTarget},
		{"write goes to the busy primary", []Candidate{one, with(primary, func(c *Candidate) { c.Load = 40 })}, Need{PrimaryOnly: true}, "primary", Chosen},
		{"own statements count", []Candidate{with(one, func(c *Candidate) { c.Load = 1 }), two}, Need{}, "two", Chosen},
		{"others are expected to have sent as much", []Candidate{with(one, func(c *Candidate) { c.MeanLoad = 0.5 }), two}, Need{}, "two", Chosen},
		{"mean load counts for all other choosers", []Candidate{with(one, func(c *Candidate) { c.MeanLoad = 1 }), with(two, func(c *Candidate) { c.Load = 1 })}, Need{}, "two", Chosen},
		{"mean load does not count without other choosers", []Candidate{with(one, func(c *Candidate) { c.MeanLoad, c.Choosers = 1, 1 }), with(two, func(c *Candidate) { c.Load, c.Choosers = 1, 1 })}, Need{}, "one", Chosen},
		{"unknown number of choosers is taken as one", []Candidate{with(one, func(c *Candidate) { c.Load, c.Choosers = 1, 0 }), with(two, func(c *Candidate) { c.Choosers = 0 })}, Need{}, "two", Chosen},
		{"more slots take more", []Candidate{with(one, func(c *Candidate) { c.Load = 1 }), with(two, func(c *Candidate) { c.Load, c.Slots = 1, 6 })}, Need{}, "two", Chosen},
		{"slow target is avoided", []Candidate{with(one, func(c *Candidate) { c.Latency = 100 }), with(two, func(c *Candidate) { c.MeanLoad = 0.1 })}, Need{}, "two", Chosen},
		{"small difference in latency does not count", []Candidate{with(one, func(c *Candidate) { c.Latency = 30 }), with(two, func(c *Candidate) { c.MeanLoad = 0.05 })}, Need{}, "one", Chosen},
		{"failing target does not make others look slow", []Candidate{with(one, func(c *Candidate) { c.Latency = 30 }), with(two, func(c *Candidate) { c.MeanLoad = 0.05 }), with(primary, func(c *Candidate) { c.Failing, c.Latency = true, 1 })}, Need{}, "one", Chosen},
		{"read avoids the primary", []Candidate{primary, one}, Need{}, "one", Chosen},
		{"read goes to an idle primary", []Candidate{with(one, func(c *Candidate) { c.Load = 1 }), primary}, Need{}, "primary", Chosen},
		{"read that prefers the primary", []Candidate{one, with(primary, func(c *Candidate) { c.MeanLoad = 0.1 })}, Need{PreferPrimary: true}, "primary", Chosen},
		{"own data centre is preferred", []Candidate{with(one, func(c *Candidate) { c.DataCentre = "b" }), two}, Need{DataCentre: "a"}, "two", Chosen},
		{"data centre costs less than a statement", []Candidate{with(one, func(c *Candidate) { c.DataCentre = "b" }), with(two, func(c *Candidate) { c.Load = 1 })}, Need{DataCentre: "a"}, "one", Chosen},
		{"target below the floor is avoided", []Candidate{with(one, func(c *Candidate) { c.Point, c.PointAt = term1Point(9), now }), with(two, func(c *Candidate) { c.Load, c.Point = 1, term1Point(60) })}, Need{Floor: term1Point(50)}, "two", Chosen},
		{"lagging target is avoided", []Candidate{with(one, func(c *Candidate) { c.ExpectedLag = 100 }), with(two, func(c *Candidate) { c.Load = 4 })}, Need{}, "two", Chosen},
		{"returned target is held back", []Candidate{with(one, func(c *Candidate) { c.SlowStart = SlowStart{now - 200, now + 1800} }), with(two, func(c *Candidate) { c.MeanLoad = 0.4 })}, Need{}, "two", Chosen},
		{"returned target is released in time", []Candidate{with(one, func(c *Candidate) { c.SlowStart = SlowStart{now - 2000, now} }), with(two, func(c *Candidate) { c.MeanLoad = 0.4 })}, Need{}, "one", Chosen},
		{"returned target serves if it is the only one", []Candidate{with(one, func(c *Candidate) { c.SlowStart = SlowStart{now, now + 2000} })}, Need{}, "one", Chosen},
		{"failing target is the last resort", []Candidate{with(one, func(c *Candidate) { c.Failing, c.Latency = true, 1 }), with(two, func(c *Candidate) { c.Load = 20 })}, Need{}, "two", Chosen},
		{"leaving target is the last resort", []Candidate{with(one, func(c *Candidate) { c.Leaving = true }), with(two, func(c *Candidate) { c.Load = 20 })}, Need{}, "two", Chosen},
		{"target past its time to leave is never chosen", []Candidate{with(one, func(c *Candidate) { c.Departed = true })}, Need{}, "", NoTarget},
		{"target in backoff is skipped", []Candidate{with(one, func(c *Candidate) { c.BackoffUntil = now + 1 }), with(two, func(c *Candidate) { c.Load = 20 })}, Need{}, "two", Chosen},
		{"tried target is skipped", []Candidate{one, with(two, func(c *Candidate) { c.Load = 20 })}, Need{Tried: []group.TargetID{"one"}}, "two", Chosen},
		{"every target tried", []Candidate{one}, Need{Tried: []group.TargetID{"one"}}, "", AllTried},
	}
	for _, tt := range tests {
		i, reason := ChooseEven(tt.list, now, tt.need, firstIndex)
		got := group.TargetID("")
		if i >= 0 {
			got = tt.list[i].ID
		}
		if got != tt.want || reason != tt.reason {
			t.Errorf("%s: got %q, %q, want %q, %q", tt.name, got, reason, tt.want, tt.reason)
		}
	}
}

// TestEqualTargetsAreDrawn guards against daemons with equal views that all choose the first target of the list.
func TestEqualTargetsAreDrawn(t *testing.T) {
	list := []Candidate{{ID: "one", Slots: 3, Latency: 20}, {ID: "two", Slots: 3, Latency: 20}, {ID: "three", Slots: 3, Latency: 20}}
	for want := range list {
		if got, _ := ChooseEven(list, 1, Need{}, func(int) int { return want }); got != want {
			t.Errorf("got target %d, want %d", got, want)
		}
	}
}

// TestUsage checks the mean against a load that is known: one statement that runs half of the time.
func TestUsage(t *testing.T) {
	var u Usage
	now := clock.Millis(1000)
	for range 500 {
		u.Start(now, true)
		u.End(now+10, true)
		now += 20
	}
	u.Start(now, false)
	u.End(now+10, false)
	all, movable := u.Mean(now + 20)
	if math.Abs(all-0.5) > 0.02 || math.Abs(all-movable-0.02) > 0.01 {
		t.Errorf("got mean loads %.3f and %.3f, want 0.5 and 0.02 less", all, movable)
	}
	if all, _ := u.Mean(now + 5000); all > 0.001 {
		t.Errorf("got mean load %.3f after 5 s without statements, want 0", all)
	}
}

func TestSlowStart(t *testing.T) {
	tests := []struct {
		outage, after clock.Millis
		want          float64
	}{{4000, 0, 0.1}, {4000, 1000, 0.5}, {4000, 2000, 1}, {100, 50, 0.5}, {100, 100, 1}, {0, 0, 1}}
	for _, tt := range tests {
		if got := NewSlowStart(1000, tt.outage).share(1000 + tt.after); math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("%d ms after an outage of %d ms: got share %.2f, want %.2f", tt.after, tt.outage, got, tt.want)
		}
	}
	if (SlowStart{}).Active(1) {
		t.Error("got a slow start for a target that never returned, want none")
	}
}

func TestImbalance(t *testing.T) {
	tests := []struct {
		name          string
		list          []TargetLoad
		busiest, mean float64
	}{
		{"no targets", nil, 0, 0},
		{"no load", []TargetLoad{{Slots: 3}, {Slots: 3}}, 0, 0},
		{"even by slots", []TargetLoad{{2, 1, 1}, {4, 2, 2}}, 0.5, 0.5},
		{"one target has it all", []TargetLoad{{4, 4, 4}, {4, 0, 0}}, 1, 0.5},
		{"work for the primary only does not count", []TargetLoad{{4, 4, 0}, {4, 1, 1}, {4, 1, 1}}, 0.25, 0.25},
		{"only as much as could move counts", []TargetLoad{{4, 4, 1}, {4, 2, 2}, {4, 2, 2}}, 0.875, 0.625},
	}
	for _, tt := range tests {
		busiest, mean := Imbalance(tt.list)
		if math.Abs(busiest-tt.busiest) > 1e-9 || math.Abs(mean-tt.mean) > 1e-9 {
			t.Errorf("%s: got busiest %.3f, mean %.3f, want %.3f, %.3f", tt.name, busiest, mean, tt.busiest, tt.mean)
		}
	}
}

// The bounds of docs/design/hard-load.md.
const (
	maxBusiest  = 1.25
	maxIdlePart = 1.0 / 3
)

// TestChooseIsUneven shows that the replay contains the load that ChooseEven answers: with Choose, the bound on the busiest target is exceeded
// where the data centre or short statements make one target look best to all, and statements queue beside idle targets.
func TestChooseIsUneven(t *testing.T) {
	for _, cs := range []replayCase{replayCases[3], replayCases[4]} {
		if f := measure(cs, "Choose"); f.busiest <= maxBusiest || f.idle < 0.02 {
			t.Errorf("%s: got busiest over mean %.3f and %.2f %% of the time with a queue beside an idle target, want more than %.2f and 2 %%", cs.name, f.busiest, 100*f.idle, maxBusiest)
		}
	}
}

// TestEvenLoad replays the load of many daemons that choose at the same moment. It guards against targets that are overloaded in turns while
// others idle, and against queries to targets beyond those of Choose.
func TestEvenLoad(t *testing.T) {
	for _, cs := range replayCases {
		before, after := measure(cs, "Choose"), measure(cs, "ChooseEven")
		t.Run("busiest/"+cs.name, func(t *testing.T) {
			if after.busiest >= maxBusiest {
				t.Errorf("got busiest over mean %.3f, want less than %.2f; with Choose it is %.3f", after.busiest, maxBusiest, before.busiest)
			}
		})
		t.Run("idle/"+cs.name, func(t *testing.T) {
			if after.idle > maxIdlePart*before.idle {
				t.Errorf("got %.2f %% of the time with a queue beside an idle target, want at most a third of the %.2f %% of Choose", 100*after.idle, 100*before.idle)
			}
		})
		// The stopped target fails at other moments for each chooser, so that their probes end up to 100 ms apart.
		if limit := before.queries + replaySeeds*cs.choosers; after.queries > limit {
			t.Errorf("%s: got %d queries, want at most %d", cs.name, after.queries, limit)
		}
		if after.expired > 0 {
			t.Errorf("%s: got %d expired statements, want 0", cs.name, after.expired)
		}
	}
}

// TestWrongNumberOfChoosers guards against a method that is worse than Choose while the list of daemons is missing or out of date.
func TestWrongNumberOfChoosers(t *testing.T) {
	cs := replayCases[4]
	before := measure(cs, "Choose")
	for _, known := range []int{1, 2, 60} {
		cs.knownChoosers = known
		if after := measure(cs, "ChooseEven"); after.busiest >= maxBusiest || after.idle > maxIdlePart*before.idle {
			t.Errorf("%d choosers assumed: got busiest over mean %.3f and %.2f %% of the time with a queue beside an idle target, want less than %.2f and at most a third of %.2f %%",
				known, after.busiest, 100*after.idle, maxBusiest, 100*before.idle)
		}
	}
}

// TestUnevenDemand guards against a method that is worse than Choose where homes have unequal demand, although it expects the others to have as
// much as this daemon: one home has the load of a workspace that sends 7.5 times its usual one.
func TestUnevenDemand(t *testing.T) {
	cs := replayCase{name: "6 homes, one hot", slots: [3]int{6, 6, 6}, choosers: 6, service: 20, hot: 11}
	before, after := measure(cs, "Choose"), measure(cs, "ChooseEven")
	if after.busiest >= maxBusiest || after.idle > before.idle || after.free > before.free || after.wait99 > before.wait99 {
		t.Errorf("got %v, want busiest over mean less than %.2f and nothing more than with Choose: %v", after, maxBusiest, before)
	}
}

// TestSlowStartPreventsHerd guards against all daemons sending their next statements to a target that has just returned.
func TestSlowStartPreventsHerd(t *testing.T) {
	cs := replayCases[7]
	with, without := measure(cs, "ChooseEven"), meanFigures(cs, pickEvenWithoutSlowStart)
	if with.herd > 1.5 || without.herd < 2 {
		t.Errorf("got at most %.1f statements per slot after the return, and %.1f without a slow start, want at most 1.5 and at least 2", with.herd, without.herd)
	}
}

func BenchmarkChooseEven(b *testing.B) {
	list := make([]Candidate, 3)
	for i := range list {
		list[i] = Candidate{ID: group.TargetID(fmt.Sprint(i)), Slots: 4, Latency: 20, Load: i, Choosers: 6, MeanLoad: 0.5}
	}
	for b.Loop() {
		ChooseEven(list, 1, Need{}, firstIndex)
	}
}
