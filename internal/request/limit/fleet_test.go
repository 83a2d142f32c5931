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
	// fleetLag is how much later each further daemon learns of a change than the one before.
	fleetLag clock.Millis = 200
)

// fleet changes the number of busy daemons at 0 and returns how many slots were refused within 20 s, and when the slots were first and for good nearly all in use.
func fleet(before, after int) (refused int, settled clock.Millis) {
	const length = 20 * clock.Second
	rnd := rand.New(rand.NewPCG(1, 2))
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
			if now >= clock.Millis(i)*fleetLag {
				l.SetShare(now, shareOf(i, after))
			}
			held[i] = min(held[i], l.Slots(now))
			used += held[i]
		}
		for _, i := range rnd.Perm(after) {
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
			settled = now
		}
	}
	return refused, settled
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
			var settled clock.Millis
			for b.Loop() {
				refused, settled = fleet(size[0], size[1])
			}
			b.ReportMetric(float64(refused), "refused")
			b.ReportMetric(float64(settled), "settled-ms")
		})
	}
}
