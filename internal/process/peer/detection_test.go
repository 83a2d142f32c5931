package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

// chooserCase is a Chooser with a fanout to compare.
type chooserCase struct {
	name   string
	fanout int
	choose func(*rand.Rand) Chooser
}

func chooserCases() []chooserCase {
	ring := func(*rand.Rand) Chooser { return Ring }
	both := func(r *rand.Rand) Chooser {
		robin := RoundRobin(r)
		return func(self group.DaemonID, neighbours []group.DaemonID, n int) []group.DaemonID {
			return append(Ring(self, neighbours, n), robin(self, neighbours, n)...)
		}
	}
	return []chooserCase{
		{"round-robin-1", 1, RoundRobin},
		{"round-robin-2", 2, RoundRobin},
		{"ring-1", 1, ring},
		{"ring-2", 2, ring},
		{"ring-3", 3, ring},
		{"ring-1-and-round-robin-1", 1, both},
	}
}

// BenchmarkDetection reports the periods until every running member considers the failed ones dead, and the messages per member and
// period in that time.
func BenchmarkDetection(b *testing.B) {
	for _, n := range []int{8, 60, 240} {
		for _, fault := range []string{"one", "three-adjacent", "cut"} {
			for _, c := range chooserCases() {
				b.Run(fmt.Sprintf("members=%d/%s/%s", n, fault, c.name), func(b *testing.B) {
					benchmarkDetection(b, n, fault, c)
				})
			}
		}
	}
}

// maxDetection is the largest number of periods that one run lasts.
const maxDetection = 300

func benchmarkDetection(b *testing.B, n int, fault string, c chooserCase) {
	var periods, worst, messages int
	for i := range b.N {
		f := newCluster(n, 1, uint64(i), func(s *Settings) {
			s.Fanout = c.fanout
			s.Choose = c.choose(s.Random)
		})
		f.until(5, func(*Table) bool { return false })
		f.messages = 0
		took := f.until(maxDetection, inject(f, n, fault))
		periods += took
		worst = max(worst, took)
		messages += f.messages / max(1, took)
	}
	b.ReportMetric(float64(periods)/float64(b.N), "periods")
	b.ReportMetric(float64(worst), "worst-periods")
	b.ReportMetric(float64(messages)/float64(b.N)/float64(n), "messages/member/period")
}

// inject causes the fault and returns a function that reports whether a table has detected it.
func inject(f *cluster, n int, fault string) func(*Table) bool {
	half := f.ids[n/2]
	switch fault {
	case "cut":
		f.lost = func(from, to group.DaemonID) bool { return (from < half) != (to < half) }
		return func(t *Table) bool {
			if t.self.ID < half {
				return noneLive(t, f.ids[n/2:]...)
			}
			return noneLive(t, f.ids[:n/2]...)
		}
	case "one":
		f.stop(half)
		return func(t *Table) bool { return noneLive(t, half) }
	}
	failed := f.ids[n/2 : n/2+3]
	f.stop(failed...)
	return func(t *Table) bool { return noneLive(t, failed...) }
}
