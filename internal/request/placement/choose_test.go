package placement

import (
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// point is one of the first term.
func point(number uint64) position.Point {
	return position.Point{Term: 1, Position: position.Position(number)}
}

func TestChoose(t *testing.T) {
	leader := Candidate{ID: "leader", DataCentre: "a", Slots: 4, Leader: true, Latency: 20, Place: point(100)}
	near := Candidate{ID: "near", DataCentre: "a", Slots: 4, Latency: 20, Place: point(100)}
	far := Candidate{ID: "far", DataCentre: "b", Slots: 4, Latency: 20, Place: point(100)}
	with := func(c Candidate, f func(*Candidate)) Candidate { f(&c); return c }
	const now clock.Millis = 1000
	tests := []struct {
		name string
		list []Candidate
		need Need
		want group.TargetID
		why  Reason
	}{
		{"nothing", nil, Need{}, "", NoTarget},
		{"write without a leader", []Candidate{near, far}, Need{Leader: true}, "", NoLeader},
		{"write goes to the leader", []Candidate{near, leader}, Need{Leader: true, DataCentre: "a"}, "leader", Chosen},
		{"read spares the leader", []Candidate{leader, far}, Need{DataCentre: "a"}, "far", Chosen},
		{"read stays near", []Candidate{far, near}, Need{DataCentre: "a"}, "near", Chosen},
		{"loaded target gives way", []Candidate{with(near, func(c *Candidate) { c.Load = 8 }), far}, Need{DataCentre: "a"}, "far", Chosen},
		{"slow target gives way", []Candidate{with(near, func(c *Candidate) { c.Latency = 90 }), far}, Need{DataCentre: "a"}, "far", Chosen},
		{"target behind the floor gives way", []Candidate{with(near, func(c *Candidate) { c.Place, c.PlaceAt = point(9), now }), far}, Need{DataCentre: "a", Floor: point(50)}, "far", Chosen},
		{"busy leader before replicas that lag for longer", []Candidate{with(leader, func(c *Candidate) { c.Latency, c.Load = 90, 40 }), with(far, func(c *Candidate) { c.Behind = 4000 })}, Need{DataCentre: "a", Floor: point(50)}, "leader", Chosen},
		{"replica that lags for a moment before a leader that is busier", []Candidate{with(leader, func(c *Candidate) { c.Latency, c.Load = 90, 40 }), with(far, func(c *Candidate) { c.Behind = 30 })}, Need{DataCentre: "a", Floor: point(50)}, "far", Chosen},
		{"strong read prefers the leader", []Candidate{near, leader}, Need{DataCentre: "a", PreferLeader: true}, "leader", Chosen},
		{"tried target is passed over", []Candidate{near, far}, Need{DataCentre: "a", Tried: []group.TargetID{"near"}}, "far", Chosen},
		{"all tried", []Candidate{near}, Need{Tried: []group.TargetID{"near"}}, "", AllTried},
		{"failing target is the last choice", []Candidate{with(near, func(c *Candidate) { c.Failing = true }), far}, Need{DataCentre: "a"}, "far", Chosen},
		{"target at rest is passed over", []Candidate{with(near, func(c *Candidate) { c.RestUntil = now + 1 }), far}, Need{DataCentre: "a"}, "far", Chosen},
		{"all at rest", []Candidate{with(near, func(c *Candidate) { c.RestUntil = now + 1 })}, Need{}, "", Resting},
		{"leaving target is the last choice", []Candidate{with(near, func(c *Candidate) { c.Leaving = true }), far}, Need{DataCentre: "a"}, "far", Chosen},
		{"leaving target still serves where no other does", []Candidate{with(leader, func(c *Candidate) { c.Leaving = true })}, Need{Leader: true}, "leader", Chosen},
		{"target that has left is never chosen", []Candidate{with(near, func(c *Candidate) { c.Left = true })}, Need{}, "", NoTarget},
		{"primary that has left is never chosen", []Candidate{with(leader, func(c *Candidate) { c.Left = true })}, Need{Leader: true}, "", NoLeader},
	}
	for _, tt := range tests {
		i, why := Choose(tt.list, now, tt.need)
		got := group.TargetID("")
		if i >= 0 {
			got = tt.list[i].ID
		}
		if got != tt.want || why != tt.why {
			t.Errorf("%s: got %q, %q, want %q, %q", tt.name, got, why, tt.want, tt.why)
		}
	}
}

func TestSampleCoversOnlyWhatWasAcknowledgedBefore(t *testing.T) {
	s := Sample{}.Merge(Sample{Point: point(5), AskedAt: 100}).Merge(Sample{Point: point(4), AskedAt: 90})
	if want := (Sample{Point: point(5), AskedAt: 100}); s != want {
		t.Errorf("got %v, want %v", s, want)
	}
	if s.Since(101) || !s.Since(100) {
		t.Errorf("got %t at 101 and %t at 100, want false and true", s.Since(101), s.Since(100))
	}
	if (Sample{AskedAt: 100}).Since(1) {
		t.Error("got a sample without a point, want none")
	}
}

func TestIsolated(t *testing.T) {
	tests := []struct {
		name  string
		since []clock.Millis
		// already is true for a daemon that was isolated before.
		already bool
		want    bool
	}{
		{"no groups", nil, false, false},
		{"all have a primary", []clock.Millis{0, 0, 0}, false, false},
		{"one group has none", []clock.Millis{1_000, 0, 0}, false, false},
		{"most groups have none", []clock.Millis{1_000, 1_000, 0}, false, true},
		{"most groups have just lost theirs", []clock.Millis{9_500, 9_500, 0}, false, false},
		{"most groups have lost theirs for a while", []clock.Millis{9_300, 9_300, 0}, false, true},
		{"most groups lose theirs again for a moment", []clock.Millis{9_990, 9_300, 0}, true, true},
		{"most groups have theirs again", []clock.Millis{0, 9_300, 0}, true, false},
	}
	for _, tt := range tests {
		if got := Isolated(tt.since, 10_000, tt.already); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}

func TestHopeless(t *testing.T) {
	tests := []struct {
		name       string
		since, now clock.Millis
		want       bool
	}{
		{"no outage", 0, 10_000, false},
		{"a change of primary may be under way", 9_000, 10_000, false},
		{"an outage that lasts", 7_000, 10_000, true},
	}
	for _, tt := range tests {
		if got := Hopeless(tt.since, tt.now); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}
