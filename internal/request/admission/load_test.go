package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

func findsFault(pop func(*Queue, clock.Millis) (Item, []Item, bool)) bool {
	for seed := range uint64(200) {
		if checkAgainstModel(rand.New(rand.NewPCG(seed, 0)).IntN, pop) != "" {
			return true
		}
	}
	return false
}

const (
	simSlots       = 4
	simServiceTime = 10 * clock.Millis(1)
	simLength      = 60 * clock.Second
	simCapacity    = 64
	simDeadline    = 2 * clock.Second
	// simFilings is the percentage of requests that are filings.
	simFilings = 10
)

type outcome struct {
	waits   []clock.Millis
	refused int
}

func (o *outcome) percentile(p int) float64 {
	slices.Sort(o.waits)
	return float64(o.waits[(len(o.waits)-1)*p/100])
}

// simulate returns the outcomes of browse and filing requests at loadFactor times the capacity of the slots.
func simulate(loadFactor int, priorities bool) [2]outcome {
	rng := rand.New(rand.NewPCG(1, 2))
	q := NewQueue(simCapacity)
	var out [2]outcome
	arrived := map[ID]clock.Millis{}
	outcomeIndex := map[ID]int{}
	busyUntil := make([]clock.Millis, simSlots)
	refuse := func(items []Item) {
		for _, i := range items {
			out[outcomeIndex[i.ID]].refused++
		}
	}
	for now := clock.Millis(1); now < simLength; now++ {
		// Four draws with a tenth of the load each give 0 to 4 arrivals per millisecond.
		for range 4 {
			if rng.IntN(int(simServiceTime)) >= loadFactor {
				continue
			}
			i := Item{ID: ID(len(arrived)), Weight: 1, Deadline: now + simDeadline}
			arrived[i.ID] = now
			if rng.IntN(100) < simFilings {
				outcomeIndex[i.ID] = 1
				if priorities {
					i.Weight, i.Kind = 2, Write
				}
			}
			refuse(q.Push(now, i))
		}
		for s := range busyUntil {
			if busyUntil[s] > now {
				continue
			}
			i, expired, ok := q.Pop(now)
			refuse(expired)
			if ok {
				busyUntil[s] = now + simServiceTime
				out[outcomeIndex[i.ID]].waits = append(out[outcomeIndex[i.ID]].waits, busyUntil[s]-arrived[i.ID])
			}
		}
	}
	return out
}

func BenchmarkOverload(b *testing.B) {
	for _, loadFactor := range []int{1, 2, 4} {
		for _, priorities := range []bool{false, true} {
			b.Run(fmt.Sprintf("load=%dx/priorities=%v", loadFactor, priorities), func(b *testing.B) {
				var out [2]outcome
				for b.Loop() {
					out = simulate(loadFactor, priorities)
				}
				for i, name := range []string{"browse", "filing"} {
					o := &out[i]
					b.ReportMetric(o.percentile(50), name+"-p50-ms")
					b.ReportMetric(o.percentile(99), name+"-p99-ms")
					b.ReportMetric(100*float64(o.refused)/float64(o.refused+len(o.waits)), name+"-refused-%")
				}
			})
		}
	}
}

func BenchmarkAcquire(b *testing.B) {
	g := NewGate(clock.System(), 4, 64)
	b.ReportAllocs()
	for b.Loop() {
		release, err := g.Acquire(b.Context(), Request{Weight: 1, Deadline: 1 << 40})
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}
