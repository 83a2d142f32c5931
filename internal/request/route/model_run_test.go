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

// changed lets Choose see another need than the one that is checked.
func changed(change func(n *Need, now clock.Millis)) func(*world) {
	return func(w *world) {
		w.choose = func(v *View, now clock.Millis, n Need, pick func(int) int) Choice {
			change(&n, now)
			return Choose(v, now, n, pick)
		}
	}
}

// counted confirms a point by a majority of the statuses that count says hold it.
func counted(count func(s group.Status, p position.Point) bool) func(*world) {
	return func(w *world) {
		w.confirm = func(v *View, p position.Point) bool {
			n := 0
			for i := range v.Targets {
				if count(v.Targets[i].Status, p) {
					n++
				}
			}
			return n >= v.Record.Majority()
		}
	}
}

func TestModelCatchesBrokenDecisions(t *testing.T) {
	tests := map[string]func(*world){
		"no floor":   changed(func(n *Need, _ clock.Millis) { n.Floor = position.Point{} }),
		"no sample":  changed(func(n *Need, now clock.Millis) { n.Fresh = Sample{AskedAt: now} }),
		"old sample": changed(func(n *Need, _ clock.Millis) { n.Request.MaxAge *= 10 }),
		"positions without terms": changed(func(n *Need, _ clock.Millis) {
			n.Floor.Term, n.Fresh.Point.Term = 1, 1
		}),
		"acknowledged by the primary alone": counted(func(group.Status, position.Point) bool { return true }),
		"acknowledged in another term": counted(func(s group.Status, p position.Point) bool {
			return s.Received.Position >= p.Position
		}),
		"acknowledged past the promise": counted(func(s group.Status, p position.Point) bool {
			return s.Received.Term == p.Term && s.Received.Position >= p.Position
		}),
		"sample of one": func(w *world) {
			w.sample = func(_ *group.Record, answers []Answer) (Sample, bool) {
				return Sample{answers[0].Status.Received, answers[0].AskedAt}, true
			}
		},
	}
	for name, breakIt := range tests {
		if fault, _ := search(breakIt); fault == "" {
			t.Errorf("got no fault for %s, want the model to catch it", name)
		}
	}
}
