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

// skipConfirm acknowledges writes before a majority holds them.
func skipConfirm(deps *caller.Dependencies) {
	deps.Confirm = func(context.Context, group.ID, position.Point) error { return nil }
}

// confirmWithError reports an unknown outcome for every write that a majority holds.
func confirmWithError(deps *caller.Dependencies) {
	confirm := deps.Confirm
	deps.Confirm = func(ctx context.Context, id group.ID, p position.Point) error {
		if err := confirm(ctx, id, p); err != nil {
			return err
		}
		return errors.New("test error: write confirmed but reported as unknown")
	}
}

// noFloor drops the floor of sessions without a token, so that they read from any replica.
func noFloor(deps *caller.Dependencies) {
	deps.Floor = func(context.Context, group.ID) (position.Point, error) { return position.Point{}, nil }
}

// acceptAnyAge raises the maximum age of every read to one hour.
func acceptAnyAge(deps *caller.Dependencies) {
	acquire := deps.Acquire
	deps.Acquire = func(ctx context.Context, svc *service.Service, n route.Need, o caller.AcquireOptions) (*caller.Lease, error) {
		n.Request.MaxAge = 3600 * clock.Second
		return acquire(ctx, svc, n, o)
	}
}

// retryUnknown repeats a write whose outcome is unknown.
func retryUnknown(d *Driver) {
	run := d.Run
	d.Run = func(ctx context.Context, c *pgconn.PgConn, s Statement) Reply {
		reply := run(ctx, c, s)
		if reply.Outcome == Unknown {
			return run(ctx, c, s)
		}
		return reply
	}
}

// reportUnknownAsNotRun reports a write whose outcome is unknown as not run.
func reportUnknownAsNotRun(d *Driver) {
	run := d.Run
	d.Run = func(ctx context.Context, c *pgconn.PgConn, s Statement) Reply {
		reply := run(ctx, c, s)
		if reply.Outcome == Unknown {
			reply.Outcome = NotRun
		}
		return reply
	}
}

// shiftRows gives each request the rows of the request before it.
func shiftRows(d *Driver) {
	run := d.Run
	var mu sync.Mutex
	var last Reply
	d.Run = func(ctx context.Context, c *pgconn.PgConn, s Statement) Reply {
		reply := run(ctx, c, s)
		mu.Lock()
		defer mu.Unlock()
		reply.Rows, last.Rows = last.Rows, reply.Rows
		return reply
	}
}

const (
	// minRequests is the number of requests that expose a broken guarantee in every run. On a busy machine a trial may complete only
	// a few requests, which expose nothing; it is then repeated with twice the length.
	minRequests = 150
	// maxTrialLength is the length, in milliseconds, above which a trial without a counted violation fails.
	maxTrialLength = 4 * trialLength
)

// TestBrokenPoliciesAreCounted breaks one guarantee at a time and expects the trial to count violations of it.
func TestBrokenPoliciesAreCounted(t *testing.T) {
	tests := []struct {
		name        string
		fault       Fault
		alter       func(*caller.Dependencies)
		breakDriver func(*Driver)
		count       func(l *Losses) int
	}{
		{"writes lost", PrimaryCut, skipConfirm, nil, func(l *Losses) int { return l.WritesLost }},
		{"writes doubled", NoFault, confirmWithError, retryUnknown, func(l *Losses) int { return l.WritesDoubled }},
		{"stale session reads", NoFault, noFloor, nil, func(l *Losses) int { return l.StaleSessionReads }},
		{"refused yet run", NoFault, confirmWithError, reportUnknownAsNotRun, func(l *Losses) int { return l.RefusedYetRun }},
		{"mixed answers", NoFault, nil, shiftRows, func(l *Losses) int { return l.MixedAnswers }},
		{"over-age reads", NoFault, acceptAnyAge, nil, func(l *Losses) int { return l.OverAgeReads }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for length := trialLength; ; length *= 2 {
				r := runTrial(t, &Config{Length: length, Seed: 3, Lag: 800, Fault: tt.fault, Alter: tt.alter, Driver: tt.breakDriver})
				if tt.count(&r.Losses) > 0 {
					return
				}
				if requests := r.Reads + r.WritesAcked; requests >= minRequests || length > maxTrialLength {
					t.Fatalf("got no violation of this kind in %+v after %d requests, want some", r.Losses, requests)
				}
			}
		})
	}
}
