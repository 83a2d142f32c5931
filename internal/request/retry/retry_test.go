package retry

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func newPolicy(tokens float64) *Policy {
	return &Policy{Budget: &Budget{tokens: tokens}, Backoff: Backoff{Random: func(int64) int64 { return 0 }}}
}

func TestDecide(t *testing.T) {
	read, write := service.Request{Kind: service.Read}, service.Request{Kind: service.Write}
	retryAfter5 := Decision{Kind: Retry, After: 5}
	refuse := func(e *refusal.Error) Decision { return Decision{Kind: Refuse, Refusal: e} }
	unknown := Decision{Kind: ReportUnknown, Refusal: refusal.UnknownOutcome("")}
	tests := []struct {
		name   string
		a      Attempt
		f      Failure
		tokens float64
		want   Decision
	}{
		{"write, no target", Attempt{Request: write}, NoTarget, 0, retryAfter5},
		{"write, no target, delay capped at the deadline", Attempt{Request: write, Deadline: 3}, NoTarget, 0, Decision{Kind: Retry, After: 3}},
		{"write not sent", Attempt{Request: write}, NoConnection, 1, retryAfter5},
		{"write not sent, no budget", Attempt{Request: write}, NoConnection, 0, refuse(refusal.NoPrimary(""))},
		{"write to a replica", Attempt{Request: write, Stage: Sent}, ReadOnly, 1, retryAfter5},
		{"write refused by a full target", Attempt{Request: write, Stage: Sent}, TargetFull, 0, refuse(refusal.Overloaded(""))},
		{"write, connection lost", Attempt{Request: write, Stage: Sent}, ConnectionLost, 1, unknown},
		{"write, connection lost before it was sent", Attempt{Request: write}, ConnectionLost, 1, retryAfter5},
		{"write unacknowledged", Attempt{Request: write}, Unacknowledged, 1, unknown},
		{"write, deadline passed", Attempt{Request: write, Stage: Sent}, DeadlinePassed, 1, unknown},
		{"write, deadline passed before it was sent", Attempt{Request: write}, DeadlinePassed, 1, refuse(refusal.Deadline(""))},
		{"write refused after forwarded rows", Attempt{Request: write, Stage: Forwarded}, TargetFull, 1, unknown},
		{"unnamed request, connection lost", Attempt{Request: service.Unnamed("x"), Stage: Sent}, ConnectionLost, 1, unknown},
		{"write in a transaction", Attempt{Request: write, Pinned: true}, NoConnection, 1, refuse(refusal.NoPrimary(""))},
		{"read, connection lost", Attempt{Request: read, Stage: Sent}, ConnectionLost, 1, retryAfter5},
		{"read, connection lost, no budget", Attempt{Request: read, Stage: Sent}, ConnectionLost, 0.9, refuse(refusal.Interrupted(""))},
		{"read, connection lost, MaxTries reached", Attempt{Request: read, Stage: Sent, Tries: MaxTries}, ConnectionLost, 1, refuse(refusal.Interrupted(""))},
		{"read, connection lost near the deadline", Attempt{Request: read, Stage: Sent, Deadline: 5}, ConnectionLost, 1, refuse(refusal.Interrupted(""))},
		{"read, connection lost after forwarded rows", Attempt{Request: read, Stage: Forwarded}, ConnectionLost, 1, refuse(refusal.Interrupted(""))},
		{"read, deadline passed", Attempt{Request: read, Stage: Sent}, DeadlinePassed, 1, refuse(refusal.ReadDeadline(""))},
		{"read in a transaction, connection lost", Attempt{Request: read, Stage: Sent, Pinned: true}, ConnectionLost, 1, refuse(refusal.Interrupted(""))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := newPolicy(tt.tokens).Decide(0, tt.a, tt.f)
			if got.Kind != tt.want.Kind || got.After != tt.want.After {
				t.Fatalf("got %v, want %v", got, tt.want)
			}
			if want := tt.want.Refusal; want != nil && (got.Refusal.Code != want.Code || got.Refusal.NotRun != want.NotRun) {
				t.Errorf("got %v, want %v", got.Refusal, want)
			}
		})
	}
}

type decideFunc func(clock.Millis, Attempt, Failure) Decision

// simulateRequest runs one request against a target that fails as chosen by intn, and describes a violation by the outcome.
func simulateRequest(intn func(int) int, d decideFunc) string {
	a := Attempt{Request: service.Request{Kind: service.Write, NonIdempotent: intn(2) == 0}, Deadline: clock.Millis(intn(400))}
	if intn(3) == 0 {
		a.Request = service.Request{Kind: service.Read}
	}
	write := a.Request.Kind == service.Write
	ran, rows := 0, 0
	for now := clock.Millis(0); ; {
		a.Tries, a.Stage = a.Tries+1, NotSent
		f := []Failure{NoTarget, NoConnection, TargetFull, ReadOnly, ConnectionLost, Unacknowledged, DeadlinePassed, 0}[intn(8)]
		if f == 0 || f == Unacknowledged || (f == ConnectionLost || f == DeadlinePassed) && intn(2) == 0 {
			ran, a.Stage = ran+1, Sent
		}
		if a.Stage == Sent && !write && intn(2) == 0 {
			a.Stage, rows = Forwarded, rows+1
		}
		if write && ran > 1 || rows > 1 {
			return "a write ran twice or rows were forwarded twice"
		}
		if f == 0 {
			return ""
		}
		switch decision := d(now, a, f); {
		case decision.Kind == Retry:
			now += decision.After
		case decision.Refusal.NotRun && write && ran > 0:
			return "a write ran but was refused as not run"
		case decision.Kind == ReportUnknown && ran == 0:
			return "nothing ran but the outcome is reported as unknown"
		default:
			return ""
		}
	}
}

func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intn := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		if fault := simulateRequest(intn, newPolicy(100).Decide); fault != "" {
			t.Fatal(fault)
		}
	})
}

func TestSimulationDetectsBrokenDecisions(t *testing.T) {
	broken := map[string]decideFunc{
		"writes are retried": func(now clock.Millis, a Attempt, f Failure) Decision {
			a.Request.Kind = service.Read
			return newPolicy(100).Decide(now, a, f)
		},
		"stage is ignored": func(now clock.Millis, a Attempt, f Failure) Decision {
			a.Stage = NotSent
			return newPolicy(100).Decide(now, a, f)
		},
		"every outcome is unknown": func(clock.Millis, Attempt, Failure) Decision {
			return Decision{Kind: ReportUnknown, Refusal: refusal.UnknownOutcome("")}
		},
	}
	for name, d := range broken {
		caught := false
		for seed := range uint64(500) {
			caught = caught || simulateRequest(rand.New(rand.NewPCG(seed, 0)).IntN, d) != ""
		}
		if !caught {
			t.Errorf("got no violation for %s, want one", name)
		}
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now, requests, taken := NewBudget(0), clock.Millis(0), 0, 0
		for _, step := range rapid.SliceOf(rapid.IntRange(-30, 30)).Draw(t, "steps") {
			if step > 0 {
				requests++
				b.RecordRequest()
				continue
			}
			now += clock.Millis(-step)
			if b.Take(now) {
				taken++
			}
		}
		limit := initialTokens + TokensPerRequest*float64(requests) + TokensPerSecond*float64(now)/float64(clock.Second)
		if float64(taken) > limit+1e-6 {
			t.Fatalf("got %d retries, want at most %v", taken, limit)
		}
	})
}

func TestBackoffDelay(t *testing.T) {
	low := Backoff{Random: func(int64) int64 { return 0 }}
	high := Backoff{Random: func(n int64) int64 { return n - 1 }}
	for tries, want := range map[int]clock.Millis{0: 10, 1: 10, 2: 20, 5: 160, 8: 1000, 60: 1000} {
		if got := high.Delay(tries); got != want {
			t.Errorf("got a delay of %d ms after %d tries, want %d", got, tries, want)
		}
		if got := low.Delay(tries); got != want/2 {
			t.Errorf("got a delay of %d ms after %d tries, want %d", got, tries, want/2)
		}
	}
}

func TestDeadlineAcrossClocks(t *testing.T) {
	tests := []struct{ now, deadline, remoteNow, want clock.Millis }{{100, 0, 7, 0}, {100, 350, 7, 257}, {100, 50, 7, 8}}
	for _, tt := range tests {
		if got := DeadlineAfter(tt.remoteNow, Remaining(tt.now, tt.deadline)); got != tt.want {
			t.Errorf("got remote deadline %d, want %d", got, tt.want)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	p := &Policy{Budget: NewBudget(0), Backoff: NewBackoff()}
	a := Attempt{Request: service.Request{Kind: service.Read}, Stage: Sent, Tries: 1}
	b.ReportAllocs()
	for b.Loop() {
		p.Budget.RecordRequest()
		p.Decide(0, a, ConnectionLost)
	}
}
