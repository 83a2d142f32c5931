package entry

import (
	"context"
	"math/rand/v2"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/process/control"
	"github.com/cactusfork/cactusfork/internal/request/admission"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// pollView is how often a waiting request looks at the view although nothing has changed, in milliseconds.
const pollView clock.Millis = 50

// quest is one request on its way to a lease.
type quest struct {
	r        *router
	svc      *service.Service
	cell     *control.Cell
	need     route.Need
	patience clock.Millis
	// failed counts the targets that gave no connection.
	failed int
}

// run waits until a target may serve the request and has a slot and a connection free.
func (q *quest) run(ctx context.Context) (*caller.Lease, error) {
	for {
		view, changed := q.cell.Load()
		q.need.ReplicaOnly = q.r.clk.Now() < q.patience
		choice := route.Choose(view, q.r.clk.Now(), q.need, rand.IntN)
		lease, err := q.try(ctx, view, choice)
		if lease != nil || err != nil {
			return lease, err
		}
		if q.need.ReplicaOnly {
			q.cell.Watch().Kick()
		}
		if err := q.wait(ctx, changed, choice); err != nil {
			return nil, err
		}
	}
}

func (q *quest) wait(ctx context.Context, changed <-chan struct{}, choice route.Choice) error {
	most := pollView
	if left := q.patience - q.r.clk.Now(); left > 0 {
		most = min(most, left)
	}
	if choice.Target != "" && q.failed > 0 {
		changed = nil
		most = q.r.retries.BackOff.Pause(q.failed)
	}
	select {
	case <-changed:
	case <-q.r.clk.After(most):
	case <-ctx.Done():
		return refusal.NoPrimary("no target may serve the request before its deadline")
	}
	return nil
}

// try returns neither a lease nor an error when another target, or the same one later, is to be tried.
func (q *quest) try(ctx context.Context, v *route.View, choice route.Choice) (*caller.Lease, error) {
	t, ok := v.Record.Target(choice.Target)
	if !ok {
		return nil, nil
	}
	reign := q.cell.Reign()
	release, err := q.enter(ctx, reign, &t)
	if release == nil {
		return nil, err
	}
	// The wait may have outlived the proof that the choice rested on.
	if now := q.cell.View(); now != v && !route.Fits(now, q.r.clk.Now(), q.need, t.ID) {
		release()
		return nil, nil
	}
	conn := q.connect(ctx, &t)
	if conn == nil {
		q.failed++
		release()
		return nil, nil
	}
	return q.r.lease(context.WithoutCancel(ctx), &grant{
		svc: q.svc, term: v.Record.Term, reign: reign, target: &t, choice: choice, conn: conn, leave: release,
	}), nil
}

// enter returns neither a release nor an error when the primary that was waited for has been replaced.
func (q *quest) enter(ctx context.Context, reign control.Reign, t *group.Target) (func(), error) {
	within, cancel := context.WithCancel(ctx)
	defer cancel()
	defer reign.AfterEnd(cancel)()
	kind := admission.Read
	if q.need.Request.Kind == service.Write {
		kind = admission.Write
	}
	release, err := q.r.targets.desk(t).gate.Enter(within, admission.Ticket{
		Weight:   q.need.Request.Weight,
		Kind:     kind,
		Deadline: q.need.Deadline,
	})
	if err != nil && reign.Ended() && ctx.Err() == nil {
		return nil, nil
	}
	return release, err
}

// connect returns nil, and reports why, when the target gives no connection.
func (q *quest) connect(ctx context.Context, t *group.Target) *target.Conn {
	within, cancel := context.WithTimeout(ctx, q.r.targets.cfg.DialTimeout.Duration())
	defer cancel()
	conn, err := q.r.targets.pool(t, string(q.svc.Name)).Get(within)
	if err != nil {
		q.r.failed(ctx, q.svc.Group, t, err)
		return nil
	}
	return conn
}
