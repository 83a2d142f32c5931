package probe

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// fakeTargets replies to status requests from a table that a test can change.
type fakeTargets struct {
	mu     sync.Mutex
	status map[group.TargetID]group.Status
	// failing holds the errors of the targets that fail to reply.
	failing map[group.TargetID]error
}

func (f *fakeTargets) dial(_ context.Context, t group.Target) (Link, error) {
	return Link{
		Status: func(context.Context) (group.Status, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.status[t.ID], f.failing[t.ID]
		},
		Close: func() {},
	}, nil
}

func (f *fakeTargets) set(id group.TargetID, s group.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status[id] = s
}

func at(term position.Term, p position.Position) position.Point {
	return position.Point{Term: term, Position: p}
}

// startTestProber probes the three targets of a group in term 2 until the test ends.
func startTestProber(t *testing.T, f *fakeTargets) *GroupProber {
	t.Helper()
	rec := &group.Record{ID: "g", Term: 2, Primary: "a", Targets: []group.Target{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	set := Settings{Interval: 5, Timeout: clock.Second, Pause: 1}
	g := New(rec, set, clock.System(), Dependencies{Dial: f.dial, Report: func(group.Event) {}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return g
}

var errUnreachable = errors.New("target unreachable")

func TestConfirm(t *testing.T) {
	primary := group.Status{Primary: true, Received: at(2, 10)}
	tests := []struct {
		name    string
		b, c    group.Status
		failing []group.TargetID
		term    position.Term
		want    error
	}{
		{"primary and one replica hold the point", group.Status{Received: at(2, 10)}, group.Status{Received: at(2, 3)}, nil, 2, nil},
		{"primary and one replica hold the point, other replica fails", group.Status{Received: at(2, 11)}, group.Status{}, []group.TargetID{"c"}, 2, nil},
		{"no replica holds the point", group.Status{Received: at(2, 9)}, group.Status{Received: at(2, 3)}, nil, 2, context.DeadlineExceeded},
		{"replicas received log of an earlier term only", group.Status{Received: at(1, 99)}, group.Status{Received: at(1, 99)}, nil, 2, context.DeadlineExceeded},
		{"replicas received log of a later term only", group.Status{Received: at(3, 99)}, group.Status{Received: at(3, 99)}, nil, 2, context.DeadlineExceeded},
		{"replica promised a later term", group.Status{Promise: 3, Received: at(2, 10)}, group.Status{Received: at(2, 3)}, nil, 2, context.DeadlineExceeded},
		{"later term set", group.Status{Received: at(2, 9)}, group.Status{Received: at(3, 20)}, nil, 3, ErrReplaced},
		{"both replicas fail", group.Status{}, group.Status{}, []group.TargetID{"b", "c"}, 2, context.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeTargets{status: map[group.TargetID]group.Status{"a": primary, "b": tt.b, "c": tt.c}, failing: map[group.TargetID]error{}}
			for _, id := range tt.failing {
				f.failing[id] = errUnreachable
			}
			g := startTestProber(t, f)
			g.SetTerm(tt.term)
			ctx, cancel := context.WithCancel(context.Background())
			if errors.Is(tt.want, context.DeadlineExceeded) {
				ctx, cancel = context.WithTimeout(context.Background(), (50 * clock.Millis(1)).Duration())
			}
			defer cancel()
			if got := g.Confirm(ctx, at(2, 10)); !errors.Is(got, tt.want) {
				t.Errorf("got error %v, want %v", got, tt.want)
			}
		})
	}
}

func TestSampleRequestsStatusAfterCall(t *testing.T) {
	f := &fakeTargets{status: map[group.TargetID]group.Status{"a": {Received: at(2, 1)}}, failing: map[group.TargetID]error{"c": errUnreachable}}
	g := startTestProber(t, f)
	for n := position.Position(2); n < 40; n++ {
		f.set("a", group.Status{Primary: true, Received: at(2, n)})
		f.set("b", group.Status{Received: at(2, n)})
		s, err := g.Sample(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if got, want := s.Point, at(2, n); got != want {
			t.Fatalf("got sample point %v, want %v, which a majority held before the call", got, want)
		}
	}
}
