package retry

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func policy(tokens float64) *Policy {
	return &Policy{Budget: &Budget{tokens: tokens}, BackOff: BackOff{Random: func(int64) int64 { return 0 }}}
}

func TestDecide(t *testing.T) {
	read, write := service.Request{Kind: service.Read}, service.Request{Kind: service.Write}
	again := Decision{Kind: Retry, After: 5}
	refuse := func(e *refusal.Error) Decision { return Decision{Kind: Refuse, Refusal: e} }
	unknown := Decision{Kind: Unknown, Refusal: refusal.UnknownOutcome("")}
	tests := []struct {
		name   string
		a      Attempt
		f      Failure
		tokens float64
		want   Decision
	}{
		{"write without a target", Attempt{Request: write}, NoTarget, 0, again},
		{"waits up to the deadline", Attempt{Request: write, Deadline: 3}, NoTarget, 0, Decision{Kind: Retry, After: 3}},
		{"write not sent", Attempt{Request: write}, NoConnection, 1, again},
		{"write not sent, no budget", Attempt{Request: write}, NoConnection, 0, refuse(refusal.NoPrimary(""))},
		{"write to a replica", Attempt{Request: write, Stage: Sent}, ReadOnly, 1, again},
		{"write refused for room", Attempt{Request: write, Stage: Sent}, Full, 0, refuse(refusal.Overloaded(""))},
		{"write lost", Attempt{Request: write, Stage: Sent}, Lost, 1, unknown},
		{"write lost before it was sent", Attempt{Request: write}, Lost, 1, again},
		{"write unacknowledged", Attempt{Request: write}, Unacknowledged, 1, unknown},
		{"write late", Attempt{Request: write, Stage: Sent}, Late, 1, unknown},
		{"write late before it was sent", Attempt{Request: write}, Late, 1, refuse(refusal.Deadline(""))},
		{"write after rows", Attempt{Request: write, Stage: Forwarded}, Full, 1, unknown},
		{"unnamed", Attempt{Request: service.Unnamed("x"), Stage: Sent}, Lost, 1, unknown},
		{"write in a transaction", Attempt{Request: write, Pinned: true}, NoConnection, 1, refuse(refusal.NoPrimary(""))},
		{"read lost", Attempt{Request: read, Stage: Sent}, Lost, 1, again},
		{"read lost, no budget", Attempt{Request: read, Stage: Sent}, Lost, 0.9, refuse(refusal.Interrupted(""))},
		{"read lost too often", Attempt{Request: read, Stage: Sent, Tries: MaxTries}, Lost, 1, refuse(refusal.Interrupted(""))},
		{"read lost at its deadline", Attempt{Request: read, Stage: Sent, Deadline: 5}, Lost, 1, refuse(refusal.Interrupted(""))},
		{"read lost after rows", Attempt{Request: read, Stage: Forwarded}, Lost, 1, refuse(refusal.Interrupted(""))},
		{"read late", Attempt{Request: read, Stage: Sent}, Late, 1, refuse(refusal.ReadDeadline(""))},
		{"read in a transaction", Attempt{Request: read, Stage: Sent, Pinned: true}, Lost, 1, refuse(refusal.Interrupted(""))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := policy(tt.tokens).Decide(0, tt.a, tt.f)
			if got.Kind != tt.want.Kind || got.After != tt.want.After {
				t.Fatalf("got %v, want %v", got, tt.want)
			}
			if want := tt.want.Refusal; want != nil && (got.Refusal.Code != want.Code || got.Refusal.NotRun != want.NotRun) {
				t.Errorf("got %v, want %v", got.Refusal, want)
			}
		})
	}
}

type decide func(clock.Millis, Attempt, Failure) Decision

// perform tries one request against a target that fails as intn says, and returns a fault of the outcome.
func perform(intn func(int) int, d decide) string {
	a := Attempt{Request: service.Request{Kind: service.Write, NonIdempotent: intn(2) == 0}, Deadline: clock.Millis(intn(400))}
	if intn(3) == 0 {
		a.Request = service.Request{Kind: service.Read}
	}
	write := a.Request.Kind == service.Write
	ran, rows := 0, 0
	for now := clock.Millis(0); ; {
		a.Tries, a.Stage = a.Tries+1, NotSent
		f := []Failure{NoTarget, NoConnection, Full, ReadOnly, Lost, Unacknowledged, Late, 0}[intn(8)]
		if f == 0 || f == Unacknowledged || (f == Lost || f == Late) && intn(2) == 0 {
			ran, a.Stage = ran+1, Sent
		}
		if a.Stage == Sent && !write && intn(2) == 0 {
			a.Stage, rows = Forwarded, rows+1
		}
		if write && ran > 1 || rows > 1 {
			return "ran or answered twice"
		}
		if f == 0 {
			return ""
		}
		switch out := d(now, a, f); {
		case out.Kind == Retry:
			now += out.After
		case out.Refusal.NotRun && write && ran > 0:
			return "ran, but was refused as not run"
		case out.Kind == Unknown && ran == 0:
			return "did not run, but is said to be unknown"
		default:
			return ""
		}
	}
}

func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intn := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		if fault := perform(intn, policy(100).Decide); fault != "" {
			t.Fatal(fault)
		}
	})
}

func TestCheckCatchesBrokenDecisions(t *testing.T) {
	broken := map[string]decide{
		"writes are repeated": func(now clock.Millis, a Attempt, f Failure) Decision {
			a.Request.Kind = service.Read
			return policy(100).Decide(now, a, f)
		},
		"nothing was sent": func(now clock.Millis, a Attempt, f Failure) Decision {
			a.Stage = NotSent
			return policy(100).Decide(now, a, f)
		},
		"all is unknown": func(clock.Millis, Attempt, Failure) Decision {
			return Decision{Kind: Unknown, Refusal: refusal.UnknownOutcome("")}
		},
	}
	for name, d := range broken {
		caught := false
		for seed := range uint64(500) {
			caught = caught || perform(rand.New(rand.NewPCG(seed, 0)).IntN, d) != ""
		}
		if !caught {
			t.Errorf("got no fault for %s, want one", name)
		}
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now, fresh, taken := NewBudget(0), clock.Millis(0), 0, 0
		for _, step := range rapid.SliceOf(rapid.IntRange(-30, 30)).Draw(t, "steps") {
			if step > 0 {
				fresh++
				b.Fresh()
				continue
			}
			now += clock.Millis(-step)
			if b.Take(now) {
				taken++
			}
		}
		most := startTokens + FreshShare*float64(fresh) + FloorPerSecond*float64(now)/float64(clock.Second)
		if float64(taken) > most+1e-6 {
			t.Fatalf("got %d retries, want at most %v", taken, most)
		}
	})
}

func TestPause(t *testing.T) {
	low := BackOff{Random: func(int64) int64 { return 0 }}
	high := BackOff{Random: func(n int64) int64 { return n - 1 }}
	for tries, want := range map[int]clock.Millis{0: 10, 1: 10, 2: 20, 5: 160, 8: 1000, 60: 1000} {
		if got := high.Pause(tries); got != want {
			t.Errorf("got %d ms after %d tries, want %d", got, tries, want)
		}
		if got := low.Pause(tries); got != want/2 {
			t.Errorf("got %d ms after %d tries, want %d", got, tries, want/2)
		}
	}
}

func TestDeadlineTravels(t *testing.T) {
	tests := []struct{ now, deadline, there, want clock.Millis }{{100, 0, 7, 0}, {100, 350, 7, 257}, {100, 50, 7, 8}}
	for _, tt := range tests {
		if got := Until(tt.there, Left(tt.now, tt.deadline)); got != tt.want {
			t.Errorf("got deadline %d there, want %d", got, tt.want)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	p := &Policy{Budget: NewBudget(0), BackOff: NewBackOff()}
	a := Attempt{Request: service.Request{Kind: service.Read}, Stage: Sent, Tries: 1}
	b.ReportAllocs()
	for b.Loop() {
		p.Budget.Fresh()
		p.Decide(0, a, Lost)
	}
}
