package trial

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// confirmNothing acknowledges writes although no majority holds them.
func confirmNothing(s *caller.Seams) {
	s.Confirm = func(context.Context, group.ID, position.Point) error { return nil }
}

// doubtAll calls every outcome unknown although the write is held.
func doubtAll(s *caller.Seams) {
	confirm := s.Confirm
	s.Confirm = func(ctx context.Context, id group.ID, p position.Point) error {
		if err := confirm(ctx, id, p); err != nil {
			return err
		}
		return errors.New("held, but not said so")
	}
}

// noFloor lets a session that carries nothing read from any replica.
func noFloor(s *caller.Seams) {
	s.Floor = func(context.Context, group.ID) (position.Point, error) { return position.Point{}, nil }
}

// anyAge treats every read as one that accepts old data.
func anyAge(s *caller.Seams) {
	acquire := s.Acquire
	s.Acquire = func(ctx context.Context, svc *service.Service, n route.Need, o caller.AcquireOptions) (*caller.Lease, error) {
		n.Request.MaxAge = 3600 * clock.Second
		return acquire(ctx, svc, n, o)
	}
}

// repeatUnknown sends a write again whose outcome is unknown.
func repeatUnknown(d *Driver) {
	run := d.Run
	d.Run = func(ctx context.Context, c *pgconn.PgConn, s Statement) Answer {
		a := run(ctx, c, s)
		if a.Fate == Unknown {
			return run(ctx, c, s)
		}
		return a
	}
}

// denyUnknown says that a write whose outcome is unknown was not run.
func denyUnknown(d *Driver) {
	run := d.Run
	d.Run = func(ctx context.Context, c *pgconn.PgConn, s Statement) Answer {
		a := run(ctx, c, s)
		if a.Fate == Unknown {
			a.Fate = NotRun
		}
		return a
	}
}

// lateAnswers hands each request the answer of the one before it.
func lateAnswers(d *Driver) {
	run := d.Run
	var mu sync.Mutex
	var last Answer
	d.Run = func(ctx context.Context, c *pgconn.PgConn, s Statement) Answer {
		a := run(ctx, c, s)
		mu.Lock()
		defer mu.Unlock()
		a.Rows, last.Rows = last.Rows, a.Rows
		return a
	}
}

const (
	// enoughWork is how many requests show a broken policy in every run; a busy machine may give a trial only a handful, which show nothing.
	enoughWork = 150
	// longestTrial bounds the doubling of a trial's length, in milliseconds.
	longestTrial = 4 * trialLength
)

func TestBrokenPoliciesAreCounted(t *testing.T) {
	tests := []struct {
		name   string
		fault  Fault
		alter  func(*caller.Seams)
		driver func(*Driver)
		count  func(l *Losses) int
	}{
		{"writes lost", PrimaryCut, confirmNothing, nil, func(l *Losses) int { return l.WritesLost }},
		{"writes doubled", NoFault, doubtAll, repeatUnknown, func(l *Losses) int { return l.WritesDoubled }},
		{"stale session reads", NoFault, noFloor, nil, func(l *Losses) int { return l.StaleSessionReads }},
		{"refused yet run", NoFault, doubtAll, denyUnknown, func(l *Losses) int { return l.RefusedYetRun }},
		{"mixed answers", NoFault, nil, lateAnswers, func(l *Losses) int { return l.MixedAnswers }},
		{"over-age reads", NoFault, anyAge, nil, func(l *Losses) int { return l.OverAgeReads }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for length := trialLength; ; length *= 2 {
				r := runTrial(t, &Config{Length: length, Seed: 3, Lag: 800, Fault: tt.fault, Alter: tt.alter, Driver: tt.driver})
				if tt.count(&r.Losses) > 0 {
					return
				}
				if work := r.Reads + r.WritesAcked; work >= enoughWork || length > longestTrial {
					t.Fatalf("got 0 of them in %+v among %d requests, want some", r.Losses, work)
				}
			}
		})
	}
}
