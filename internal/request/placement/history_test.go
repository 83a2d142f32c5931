package placement

import (
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

func TestOldestReturnsLowestRecentFloor(t *testing.T) {
	var h History
	for i := range 100 {
		at := clock.Millis(1000 + 10*i)
		h.Add(Sample{Point: term1Point(uint64(i + 1)), RequestedAt: at})
	}
	// A delayed answer must not lower the confirmed point.
	h.Add(Sample{Point: term1Point(3), RequestedAt: 1985})
	tests := []struct {
		name  string
		since clock.Millis
		ok    bool
	}{
		{"every sample is recent enough", 0, true},
		{"half of the samples are recent enough", 1500, true},
		{"only the newest is recent enough", 1990, true},
		{"no sample is recent enough", 1991, false},
	}
	for _, tt := range tests {
		got, ok := h.Oldest(tt.since)
		if ok != tt.ok {
			t.Errorf("%s: got %t, want %t", tt.name, ok, tt.ok)
			continue
		}
		if ok && got.RequestedAt < tt.since {
			t.Errorf("%s: got a sample requested at %d, want none before %d", tt.name, got.RequestedAt, tt.since)
		}
		if ok && got.RequestedAt > max(tt.since, 1000)+minSampleInterval {
			t.Errorf("%s: got a sample requested at %d, want the oldest one", tt.name, got.RequestedAt)
		}
		// The sample requested at 1000+10*i has point i+1.
		if want := uint64(got.RequestedAt-1000)/10 + 1; ok && uint64(got.Point.Position) < want {
			t.Errorf("%s: got point %v of a sample requested at %d, want at least %d", tt.name, got.Point, got.RequestedAt, want)
		}
	}
	if n := len(h.samples); n > maxSamples {
		t.Errorf("got %d samples, want at most %d", n, maxSamples)
	}
}

func TestOutdatedPointIsIgnored(t *testing.T) {
	primary := Candidate{ID: "primary", DataCentre: "a", Slots: 4, Primary: true, Latency: 20}
	behind := Candidate{ID: "behind", DataCentre: "a", Slots: 4, Latency: 20, Point: term1Point(9), PointAt: 900}
	need := Need{DataCentre: "a", Floor: term1Point(50)}
	if i, _ := Choose([]Candidate{primary, behind}, 1000, need); i != 0 {
		t.Errorf("got %d, want the primary: the replica's recent point is below the floor", i)
	}
	if i, _ := Choose([]Candidate{primary, behind}, 900+pointMaxAge+1, need); i != 1 {
		t.Errorf("got %d, want the replica: its point is outdated", i)
	}
}

func TestNewTermDiscardsSamples(t *testing.T) {
	var h History
	for i := range 20 {
		h.Add(Sample{Point: term1Point(uint64(100 + i)), RequestedAt: clock.Millis(1000 + 100*i)})
	}
	// The primary of the next term has not received the last points of term 1.
	first := Sample{Point: position.Point{Term: 2, Position: 110}, RequestedAt: 3500}
	h.Add(first)
	h.Add(Sample{Point: position.Point{Term: 2, Position: 130}, RequestedAt: 3700})
	if got, ok := h.Oldest(1500); !ok || got != first {
		t.Errorf("got %v, %t, want the first sample of the new term, %v", got, ok, first)
	}
	// This is a delayed answer of the former primary.
	h.Add(Sample{Point: term1Point(125), RequestedAt: 3300})
	if got, ok := h.Oldest(1500); !ok || got != first {
		t.Errorf("got %v, %t after a delayed answer, want %v", got, ok, first)
	}
}

func TestExpectedLag(t *testing.T) {
	// The primary reached point n at 1000+10*n ms; now is 3000 ms.
	var h History
	for i := range 200 {
		h.Add(Sample{Point: term1Point(uint64(i)), RequestedAt: clock.Millis(1000 + 10*i)})
	}
	const now clock.Millis = 3000
	tests := []struct {
		name    string
		point   uint64
		pointAt clock.Millis
		floor   uint64
		want    clock.Millis
	}{
		{"at the floor", 100, now, 100, 0},
		{"1 s behind, point is current", 50, now, 150, 1000},
		{"1 s behind, point is 200 ms old", 50, now - 200, 150, 800},
		{"100 ms behind, point is 200 ms old", 140, now - 200, 150, 0},
		{"1 s behind, point is outdated", 50, now - pointMaxAge - 1, 150, 0},
		{"floor above every sample", 50, now, 900, 0},
		{"unknown point", 0, 0, 150, 0},
	}
	for _, tt := range tests {
		p := term1Point(tt.point)
		if tt.pointAt == 0 {
			p = position.Point{}
		}
		got := h.ExpectedLag(p, tt.pointAt, term1Point(tt.floor), now)
		if got < tt.want-minSampleInterval || got > tt.want+minSampleInterval || got > 0 != (tt.want > 0) {
			t.Errorf("%s: got %d ms, want about %d", tt.name, got, tt.want)
		}
	}
}
