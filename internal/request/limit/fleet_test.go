package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	fleetSlots = 100
	// changeDelay is the additional delay after which each further daemon learns of a change.
	changeDelay clock.Millis = 200
)

// simulateFleet changes the number of busy daemons at time 0 and simulates 20 s. It returns the number of refused slots
// and the last time at which less than 95 % of the slots were in use.
func simulateFleet(before, after int) (refused int, settledAt clock.Millis) {
	const length = 20 * clock.Second
	rng := rand.New(rand.NewPCG(1, 2))
	limiters := make([]*Limiter, after)
	held := make([]int, after)
	for i := range limiters {
		start := 0
		if i < before {
			start = shareOf(i, before)
		}
		limiters[i] = NewLimiter(0, start)
		held[i] = start
	}
	for now := clock.Millis(1); now < length; now += 10 {
		used := 0
		for i, l := range limiters {
			if now >= clock.Millis(i)*changeDelay {
				l.SetShare(now, shareOf(i, after))
			}
			held[i] = min(held[i], l.Slots(now))
			used += held[i]
		}
		for _, i := range rng.Perm(after) {
			for held[i] < limiters[i].Slots(now) {
				if used == fleetSlots {
					refused++
					limiters[i].Refused(now)
					break
				}
				held[i]++
				used++
			}
		}
		if used < fleetSlots*95/100 {
			settledAt = now
		}
	}
	return refused, settledAt
}

func shareOf(self, daemons int) int {
	wants := make([]int, daemons)
	for i := range wants {
		wants[i] = 30
	}
	return Pool{Target: "t", Total: fleetSlots}.Share(group.DaemonID(fmt.Sprint("d", self)), demands(wants))
}

func BenchmarkFleet(b *testing.B) {
	for _, size := range [][2]int{{4, 3}, {3, 4}, {2, 6}} {
		b.Run(fmt.Sprintf("daemons=%d-%d", size[0], size[1]), func(b *testing.B) {
			var refused int
			var settledAt clock.Millis
			for b.Loop() {
				refused, settledAt = simulateFleet(size[0], size[1])
			}
			b.ReportMetric(float64(refused), "refused")
			b.ReportMetric(float64(settledAt), "settled-ms")
		})
	}
}
