package trial

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// BenchmarkScarceSlots applies growing numbers of sessions to eight daemons and targets with two slots each, as in the deployment of
// Caltanissetta.
func BenchmarkScarceSlots(b *testing.B) {
	for _, sessions := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("sessions-%d", sessions), func(b *testing.B) {
			var sum Report
			runsWithLoss := 0
			for n := 0; b.Loop(); n++ {
				r, err := Run(context.Background(), &Config{
					Length: 3000, Seed: uint64(n + 1), Sessions: sessions, Daemons: 8, Slots: 2,
					StatementTime: 5, ConnectDelay: 30, ThinkTime: 2,
				}, clock.System(), zap.NewNop())
				if err != nil {
					b.Fatal(err)
				}
				b.Log(r.Errors)
				sum.add(r)
				if r.Losses != (Losses{}) {
					runsWithLoss++
				}
			}
			n := float64(b.N)
			b.ReportMetric(float64(sum.WritesAcked)/n/3, "writes/s")
			b.ReportMetric(float64(sum.Reads)/n/3, "reads/s")
			b.ReportMetric(float64(sum.WriteMedian)/n, "write-median-ms")
			b.ReportMetric(float64(sum.Write95)/n, "write-p95-ms")
			b.ReportMetric(float64(sum.Read95)/n, "read-p95-ms")
			b.ReportMetric(sum.ReplicaReadShare/n, "replica-share")
			b.ReportMetric(float64(sum.RequestsSent)/float64(sum.RequestsAsked), "sent/asked")
			b.ReportMetric(float64(sum.Refused+sum.Failed)/n, "refused")
			b.ReportMetric(float64(runsWithLoss), "runs-with-loss")
		})
	}
}

// add adds the figures of o that the benchmark reports.
func (r *Report) add(o *Report) {
	r.WritesAcked += o.WritesAcked
	r.Reads += o.Reads
	r.WriteMedian += o.WriteMedian
	r.Write95 += o.Write95
	r.Read95 += o.Read95
	r.ReplicaReadShare += o.ReplicaReadShare
	r.RequestsSent += o.RequestsSent
	r.RequestsAsked += o.RequestsAsked
	r.Refused += o.Refused
	r.Failed += o.Failed
}
