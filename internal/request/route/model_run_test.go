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
	stepsPerHistory = 400
	historyCount    = 800
)

func TestHistoriesReadTheirWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		seed := rapid.Uint64().Draw(t, "seed")
		m := newModel(size, rand.New(rand.NewPCG(seed, 0)).IntN)
		if violation, _ := m.run(stepsPerHistory); violation != "" {
			t.Fatal(violation)
		}
	})
}

// findViolation runs historyCount histories with fixed seeds until one violates a guarantee.
// It returns the violation, if any, and the number of reads served.
func findViolation(inject func(*model)) (violation string, readsServed int) {
	for seed := range uint64(historyCount) {
		m := newModel(3+2*int(seed%2), rand.New(rand.NewPCG(seed, 1)).IntN)
		inject(m)
		found, n := m.run(stepsPerHistory)
		readsServed += n
		if found != "" {
			return found, readsServed
		}
	}
	return "", readsServed
}

func TestModelServesReads(t *testing.T) {
	violation, readsServed := findViolation(func(*model) {})
	if violation != "" {
		t.Errorf("got violation %q, want none", violation)
	}
	if readsServed < historyCount {
		t.Errorf("got %d reads served, want at least one for each history", readsServed)
	}
}

// alteredNeed passes an altered need to Choose, while the model checks the read against the original one.
func alteredNeed(alter func(n *Need, now clock.Millis)) func(*model) {
	return func(m *model) {
		m.choose = func(v *View, now clock.Millis, n Need, pick func(int) int) Choice {
			alter(&n, now)
			return Choose(v, now, n, pick)
		}
	}
}

// alteredConfirm replaces the rule by which a status holds a point; a point is still confirmed once a majority of the statuses hold it.
func alteredConfirm(holds func(s group.Status, p position.Point) bool) func(*model) {
	return func(m *model) {
		m.confirm = func(v *View, p position.Point) bool {
			n := 0
			for i := range v.Targets {
				if holds(v.Targets[i].Status, p) {
					n++
				}
			}
			return n >= v.Record.Majority()
		}
	}
}

func TestModelCatchesBrokenDecisions(t *testing.T) {
	tests := map[string]func(*model){
		"floor ignored":                     alteredNeed(func(n *Need, _ clock.Millis) { n.Floor = position.Point{} }),
		"sample ignored":                    alteredNeed(func(n *Need, now clock.Millis) { n.Sample = Sample{RequestedAt: now} }),
		"sample older than the maximum age": alteredNeed(func(n *Need, _ clock.Millis) { n.Request.MaxAge *= 10 }),
		"positions compared without terms": alteredNeed(func(n *Need, _ clock.Millis) {
			n.Floor.Term, n.Sample.Point.Term = 1, 1
		}),
		"write acknowledged by the primary alone": alteredConfirm(func(group.Status, position.Point) bool { return true }),
		"write acknowledged by a replica in another term": alteredConfirm(func(s group.Status, p position.Point) bool {
			return s.Received.Position >= p.Position
		}),
		"write acknowledged by a replica after a later promise": alteredConfirm(func(s group.Status, p position.Point) bool {
			return s.Received.Term == p.Term && s.Received.Position >= p.Position
		}),
		"sample of one target": func(m *model) {
			m.sample = func(_ *group.Record, replies []StatusReply) (Sample, bool) {
				return Sample{replies[0].Status.Received, replies[0].RequestedAt}, true
			}
		},
	}
	for name, inject := range tests {
		if violation, _ := findViolation(inject); violation == "" {
			t.Errorf("got no violation for fault %q, want the model to detect it", name)
		}
	}
}
