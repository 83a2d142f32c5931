package route

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	historySteps = 400
	histories    = 800
)

func TestHistoriesReadTheirWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		seed := rapid.Uint64().Draw(t, "seed")
		w := newWorld(size, rand.New(rand.NewPCG(seed, 0)).IntN)
		if fault, _ := w.run(historySteps); fault != "" {
			t.Fatal(fault)
		}
	})
}

// search runs histories of fixed seeds until one shows a fault.
func search(breakIt func(*world)) (fault string, served int) {
	for seed := range uint64(histories) {
		w := newWorld(3+2*int(seed%2), rand.New(rand.NewPCG(seed, 1)).IntN)
		breakIt(w)
		f, n := w.run(historySteps)
		served += n
		if f != "" {
			return f, served
		}
	}
	return "", served
}

func TestModelServesReads(t *testing.T) {
	fault, served := search(func(*world) {})
	if fault != "" {
		t.Errorf("got %s, want no fault", fault)
	}
	if served < histories {
		t.Errorf("got %d reads served, want at least one for each history", served)
	}
}

func TestModelCatchesBrokenDecisions(t *testing.T) {
	tests := []struct {
		name    string
		breakIt func(*world)
	}{
		{"no floor", func(w *world) {
			w.choose = func(v *View, now clock.Millis, n Need, pick func(int) int) Choice {
				n.Floor = position.Point{}
				return Choose(v, now, n, pick)
			}
		}},
		{"no sample", func(w *world) {
			w.choose = func(v *View, now clock.Millis, n Need, pick func(int) int) Choice {
				n.Fresh = Sample{AskedAt: now}
				return Choose(v, now, n, pick)
			}
		}},
		{"old sample", func(w *world) {
			w.choose = func(v *View, now clock.Millis, n Need, pick func(int) int) Choice {
				n.Request.MaxAge *= 10
				return Choose(v, now, n, pick)
			}
		}},
		{"positions without terms", func(w *world) {
			w.choose = func(v *View, now clock.Millis, n Need, pick func(int) int) Choice {
				n.Floor.Term, n.Fresh.Point.Term = 1, 1
				return Choose(v, now, n, pick)
			}
		}},
		{"acknowledged by the primary alone", func(w *world) {
			w.confirm = func(*View, position.Point) bool { return true }
		}},
		{"acknowledged in another term", func(w *world) {
			w.confirm = confirmedByPosition
		}},
		{"acknowledged past the promise", func(w *world) {
			w.confirm = confirmedPastPromise
		}},
		{"sample of one", func(w *world) {
			w.sample = func(_ *group.Record, answers []Answer) (Sample, bool) {
				return Sample{answers[0].Status.Received, answers[0].AskedAt}, true
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if fault, _ := search(tt.breakIt); fault == "" {
				t.Error("got no fault, want the model to catch it")
			}
		})
	}
}

func confirmedByPosition(v *View, point position.Point) bool {
	n := 0
	for i := range v.Targets {
		if v.Targets[i].Status.Received.Position >= point.Position {
			n++
		}
	}
	return n >= v.Record.Majority()
}

func confirmedPastPromise(v *View, point position.Point) bool {
	n := 0
	for i := range v.Targets {
		s := v.Targets[i].Status
		if s.Received.Term == point.Term && s.Received.Position >= point.Position {
			n++
		}
	}
	return n >= v.Record.Majority()
}
