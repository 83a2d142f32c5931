package placement

import (
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// term1Point returns a point of term 1.
func term1Point(number uint64) position.Point {
	return position.Point{Term: 1, Position: position.Position(number)}
}

func TestChoose(t *testing.T) {
	primary := Candidate{ID: "primary", DataCentre: "a", Slots: 4, Primary: true, Latency: 20, Point: term1Point(100)}
	near := Candidate{ID: "near", DataCentre: "a", Slots: 4, Latency: 20, Point: term1Point(100)}
	far := Candidate{ID: "far", DataCentre: "b", Slots: 4, Latency: 20, Point: term1Point(100)}
	with := func(c Candidate, f func(*Candidate)) Candidate { f(&c); return c }
	const now clock.Millis = 1000
	tests := []struct {
		name   string
		list   []Candidate
		need   Need
		want   group.TargetID
		reason Reason
	}{
		{"no candidates", nil, Need{}, "", NoTarget},
		{"write without a primary", []Candidate{near, far}, Need{PrimaryOnly: true}, "", NoPrimary},
		{"write goes to the primary", []Candidate{near, primary}, Need{PrimaryOnly: true, DataCentre: "a"}, "primary", Chosen},
		{"read avoids the primary", []Candidate{primary, far}, Need{DataCentre: "a"}, "far", Chosen},
		{"read prefers the own data centre", []Candidate{far, near}, Need{DataCentre: "a"}, "near", Chosen},
		{"loaded target is avoided", []Candidate{with(near, func(c *Candidate) { c.Load = 8 }), far}, Need{DataCentre: "a"}, "far", Chosen},
		{"slow target is avoided", []Candidate{with(near, func(c *Candidate) { c.Latency = 90 }), far}, Need{DataCentre: "a"}, "far", Chosen},
		{"target below the floor is avoided", []Candidate{with(near, func(c *Candidate) { c.Point, c.PointAt = term1Point(9), now }), far}, Need{DataCentre: "a", Floor: term1Point(50)}, "far", Chosen},
		{"busy primary costs less than a long lag", []Candidate{with(primary, func(c *Candidate) { c.Latency, c.Load = 90, 40 }), with(far, func(c *Candidate) { c.ExpectedLag = 4000 })}, Need{DataCentre: "a", Floor: term1Point(50)}, "primary", Chosen},
		{"short lag costs less than a busy primary", []Candidate{with(primary, func(c *Candidate) { c.Latency, c.Load = 90, 40 }), with(far, func(c *Candidate) { c.ExpectedLag = 30 })}, Need{DataCentre: "a", Floor: term1Point(50)}, "far", Chosen},
		{"read that prefers the primary", []Candidate{near, primary}, Need{DataCentre: "a", PreferPrimary: true}, "primary", Chosen},
		{"tried target is skipped", []Candidate{near, far}, Need{DataCentre: "a", Tried: []group.TargetID{"near"}}, "far", Chosen},
		{"every target tried", []Candidate{near}, Need{Tried: []group.TargetID{"near"}}, "", AllTried},
		{"failing target is the last resort", []Candidate{with(near, func(c *Candidate) { c.Failing = true }), far}, Need{DataCentre: "a"}, "far", Chosen},
		{"target in backoff is skipped", []Candidate{with(near, func(c *Candidate) { c.BackoffUntil = now + 1 }), far}, Need{DataCentre: "a"}, "far", Chosen},
		{"every target in backoff", []Candidate{with(near, func(c *Candidate) { c.BackoffUntil = now + 1 })}, Need{}, "", BackingOff},
		{"leaving target is the last resort", []Candidate{with(near, func(c *Candidate) { c.Leaving = true }), far}, Need{DataCentre: "a"}, "far", Chosen},
		{"leaving target serves if it is the only one", []Candidate{with(primary, func(c *Candidate) { c.Leaving = true })}, Need{PrimaryOnly: true}, "primary", Chosen},
		{"target past its time to leave is never chosen", []Candidate{with(near, func(c *Candidate) { c.Departed = true })}, Need{}, "", NoTarget},
		{"primary past its time to leave is never chosen", []Candidate{with(primary, func(c *Candidate) { c.Departed = true })}, Need{PrimaryOnly: true}, "", NoPrimary},
	}
	for _, tt := range tests {
		i, reason := Choose(tt.list, now, tt.need)
		got := group.TargetID("")
		if i >= 0 {
			got = tt.list[i].ID
		}
		if got != tt.want || reason != tt.reason {
			t.Errorf("%s: got %q, %q, want %q, %q", tt.name, got, reason, tt.want, tt.reason)
		}
	}
}

func TestSampleMergeAndCovers(t *testing.T) {
	s := Sample{}.Merge(Sample{Point: term1Point(5), RequestedAt: 100}).Merge(Sample{Point: term1Point(4), RequestedAt: 90})
	if want := (Sample{Point: term1Point(5), RequestedAt: 100}); s != want {
		t.Errorf("got %v, want %v", s, want)
	}
	if s.Covers(101) || !s.Covers(100) {
		t.Errorf("got Covers(101) %t and Covers(100) %t, want false and true", s.Covers(101), s.Covers(100))
	}
	if (Sample{RequestedAt: 100}).Covers(1) {
		t.Error("got true for a sample without a point, want false")
	}
}

func TestIsolated(t *testing.T) {
	tests := []struct {
		name  string
		since []clock.Millis
		// wasIsolated is true for a daemon that was isolated before.
		wasIsolated bool
		want        bool
	}{
		{"no groups", nil, false, false},
		{"every group has a primary", []clock.Millis{0, 0, 0}, false, false},
		{"one group has no primary", []clock.Millis{1_000, 0, 0}, false, false},
		{"most groups have no primary for long", []clock.Millis{1_000, 1_000, 0}, false, true},
		{"most groups lost their primary less than isolationDelay ago", []clock.Millis{9_500, 9_500, 0}, false, false},
		{"most groups lost their primary more than isolationDelay ago", []clock.Millis{9_300, 9_300, 0}, false, true},
		{"isolated daemon stays isolated while most groups have no primary", []clock.Millis{9_990, 9_300, 0}, true, true},
		{"most groups have a primary again", []clock.Millis{0, 9_300, 0}, true, false},
	}
	for _, tt := range tests {
		if got := Isolated(tt.since, 10_000, tt.wasIsolated); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}

func TestHopeless(t *testing.T) {
	tests := []struct {
		name                   string
		since, storeSince, now clock.Millis
		want                   bool
	}{
		{"no outage", 0, 1_000, 10_000, false},
		{"outage within the usual failover time", 9_000, 1_000, 10_000, false},
		{"outage longer than the usual failover time", 7_000, 1_000, 10_000, true},
		{"outage as long while the store is away", 7_000, 0, 10_000, true},
		{"store back for less than the usual failover time", 7_000, 9_000, 10_000, false},
		{"store back for longer", 2_000, 7_000, 10_000, true},
	}
	for _, tt := range tests {
		if got := ShouldFailFast(tt.since, tt.storeSince, tt.now); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}
