package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// outage sends one read a millisecond to a target that answers none for ten seconds, and returns the tries for each.
func outage(bounded bool) float64 {
	const length, patience = 10 * clock.Second, 2 * clock.Second
	p := &Policy{Budget: NewBudget(0), BackOff: BackOff{Random: rand.New(rand.NewPCG(1, 2)).Int64N}}
	due := make([][]Attempt, length+patience)
	fresh, tries := 0, 0
	for now := range clock.Millis(len(due)) {
		if now < length {
			fresh++
			p.Budget.Fresh()
			due[now] = append(due[now], Attempt{Request: service.Request{Kind: service.Read}, Stage: Sent, Deadline: now + patience})
		}
		for _, a := range due[now] {
			a.Tries++
			tries++
			if !bounded {
				p.Budget = NewBudget(now)
			}
			if d := p.Decide(now, a, Lost); d.Kind == Retry {
				due[now+d.After] = append(due[now+d.After], a)
			}
		}
	}
	return float64(tries) / float64(fresh)
}

func BenchmarkOutage(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		b.Run(fmt.Sprintf("budget=%v", bounded), func(b *testing.B) {
			var got float64
			for b.Loop() {
				got = outage(bounded)
			}
			b.ReportMetric(got, "tries/request")
		})
	}
}
