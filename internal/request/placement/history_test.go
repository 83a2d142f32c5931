package placement

import (
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

func TestHistoryGivesTheLowestFloorThatIsYoungEnough(t *testing.T) {
	var h History
	for i := range 100 {
		at := clock.Millis(1000 + 10*i)
		h.Add(Sample{Point: point(uint64(i + 1)), AskedAt: at})
	}
	// An answer that came late must not lower what was proven.
	h.Add(Sample{Point: point(3), AskedAt: 1985})
	tests := []struct {
		name  string
		since clock.Millis
		ok    bool
	}{
		{"all is young enough", 0, true},
		{"half is", 1500, true},
		{"the newest is", 1990, true},
		{"none is", 1991, false},
	}
	for _, tt := range tests {
		got, ok := h.Oldest(tt.since)
		if ok != tt.ok {
			t.Errorf("%s: got %t, want %t", tt.name, ok, tt.ok)
			continue
		}
		if ok && got.AskedAt < tt.since {
			t.Errorf("%s: got a sample asked at %d, want none before %d", tt.name, got.AskedAt, tt.since)
		}
		if ok && got.AskedAt > max(tt.since, 1000)+historyStep {
			t.Errorf("%s: got a sample asked at %d, want the oldest", tt.name, got.AskedAt)
		}
		// The sample asked at 1000+10*i is point i+1.
		if want := uint64(got.AskedAt-1000)/10 + 1; ok && uint64(got.Point.Position) < want {
			t.Errorf("%s: got point %v of a sample asked at %d, want at least %d", tt.name, got.Point, got.AskedAt, want)
		}
	}
	if n := len(h.list); n > historyLength {
		t.Errorf("got %d samples, want at most %d", n, historyLength)
	}
}

func TestPlaceCountsOnlyWhileItIsRecent(t *testing.T) {
	leader := Candidate{ID: "leader", DataCentre: "a", Slots: 4, Leader: true, Latency: 20}
	behind := Candidate{ID: "behind", DataCentre: "a", Slots: 4, Latency: 20, Place: point(9), PlaceAt: 900}
	need := Need{DataCentre: "a", Floor: point(50)}
	if i, _ := Choose([]Candidate{leader, behind}, 1000, need); i != 0 {
		t.Errorf("got %d, want the leader while the replica was just seen behind", i)
	}
	if i, _ := Choose([]Candidate{leader, behind}, 900+placeLife+1, need); i != 1 {
		t.Errorf("got %d, want the replica once it may have caught up", i)
	}
}

func TestFloorsAreOfTheLatestTerm(t *testing.T) {
	var h History
	for i := range 20 {
		h.Add(Sample{Point: point(uint64(100 + i)), AskedAt: clock.Millis(1000 + 100*i)})
	}
	// The primary of the next term never received the last points.
	first := Sample{Point: position.Point{Term: 2, Position: 110}, AskedAt: 3500}
	h.Add(first)
	h.Add(Sample{Point: position.Point{Term: 2, Position: 130}, AskedAt: 3700})
	if got, ok := h.Oldest(1500); !ok || got != first {
		t.Errorf("got %v, %t, want the first of the term, %v", got, ok, first)
	}
	// An answer of the replaced primary that came late.
	h.Add(Sample{Point: point(125), AskedAt: 3300})
	if got, ok := h.Oldest(1500); !ok || got != first {
		t.Errorf("got %v, %t behind a late answer, want %v", got, ok, first)
	}
}

func TestHowLongAReplicaIsBehind(t *testing.T) {
	// The primary was at point n at 1000+10*n ms; it is 3000 ms now.
	var h History
	for i := range 200 {
		h.Add(Sample{Point: point(uint64(i)), AskedAt: clock.Millis(1000 + 10*i)})
	}
	const now clock.Millis = 3000
	tests := []struct {
		name    string
		place   uint64
		placeAt clock.Millis
		floor   uint64
		want    clock.Millis
	}{
		{"holds the floor", 100, now, 100, 0},
		{"one second behind, just seen", 50, now, 150, 1000},
		{"one second behind, seen a moment ago", 50, now - 200, 150, 800},
		{"was a moment behind and has caught up", 140, now - 200, 150, 0},
		{"one second behind and not seen for a while", 50, now - placeLife - 1, 150, 0},
		{"floor that no sample tells", 50, now, 900, 0},
		{"never seen", 0, 0, 150, 0},
	}
	for _, tt := range tests {
		p := point(tt.place)
		if tt.placeAt == 0 {
			p = position.Point{}
		}
		got := h.Behind(p, tt.placeAt, point(tt.floor), now)
		if got < tt.want-historyStep || got > tt.want+historyStep || got > 0 != (tt.want > 0) {
			t.Errorf("%s: got %d ms, want about %d", tt.name, got, tt.want)
		}
	}
}
