package placement

import (
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
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
