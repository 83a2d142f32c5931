package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// simulateOutage sends one read per millisecond for 10 s to a target that fails each, and returns the number of tries per request.
func simulateOutage(withBudget bool) float64 {
	const length, timeout = 10 * clock.Second, 2 * clock.Second
	p := &Policy{Budget: NewBudget(0), Backoff: Backoff{Random: rand.New(rand.NewPCG(1, 2)).Int64N}}
	due := make([][]Attempt, length+timeout)
	requests, tries := 0, 0
	for now := range clock.Millis(len(due)) {
		if now < length {
			requests++
			p.Budget.RecordRequest()
			due[now] = append(due[now], Attempt{Request: service.Request{Kind: service.Read}, Stage: Sent, Deadline: now + timeout})
		}
		for _, a := range due[now] {
			a.Tries++
			tries++
			if !withBudget {
				p.Budget = NewBudget(now)
			}
			if d := p.Decide(now, a, ConnectionLost); d.Kind == Retry {
				due[now+d.After] = append(due[now+d.After], a)
			}
		}
	}
	return float64(tries) / float64(requests)
}

func BenchmarkOutage(b *testing.B) {
	for _, withBudget := range []bool{false, true} {
		b.Run(fmt.Sprintf("budget=%v", withBudget), func(b *testing.B) {
			var got float64
			for b.Loop() {
				got = simulateOutage(withBudget)
			}
			b.ReportMetric(got, "tries/request")
		})
	}
}
