package trial

import (
	"context"
	"slices"
	"testing"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// BenchmarkFailoverGap reports the distribution of the failover gap over b.N seeds; it is meant to run with -benchtime 20x.
func BenchmarkFailoverGap(b *testing.B) {
	for _, f := range []Fault{PrimaryCrash, PrimaryCut, PrimaryPause} {
		b.Run(string(f), func(b *testing.B) {
			var gaps []clock.Millis
			var sum Parts
			runsWithLoss, changes := 0, 0
			for n := 0; b.Loop(); n++ {
				r, err := Run(context.Background(), &Config{Length: 2400, Seed: uint64(n + 1), Fault: f}, clock.System(), zap.NewNop())
				if err != nil {
					b.Fatal(err)
				}
				if r.FailoverGap == nil {
					b.Fatalf("seed %d: no write after the fault", n+1)
				}
				gaps = append(gaps, *r.FailoverGap)
				sum.Suspected += r.Parts.Suspected
				sum.Fenced += r.Parts.Fenced
				sum.Recorded += r.Parts.Recorded
				sum.Promoted += r.Parts.Promoted
				changes += r.Changes
				if r.Losses != (Losses{}) {
					runsWithLoss++
				}
			}
			slices.Sort(gaps)
			n := len(gaps)
			b.ReportMetric(float64(gaps[n/2]), "median-ms")
			b.ReportMetric(float64(gaps[n*95/100]), "p95-ms")
			b.ReportMetric(float64(gaps[n-1]), "worst-ms")
			b.ReportMetric(float64(sum.Suspected)/float64(n), "suspected-ms")
			b.ReportMetric(float64(sum.Fenced)/float64(n), "fenced-ms")
			b.ReportMetric(float64(sum.Recorded)/float64(n), "recorded-ms")
			b.ReportMetric(float64(sum.Promoted)/float64(n), "promoted-ms")
			b.ReportMetric(float64(changes)/float64(n), "changes/run")
			b.ReportMetric(float64(runsWithLoss), "runs-with-loss")
		})
	}
}
