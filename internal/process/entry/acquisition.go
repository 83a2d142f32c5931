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

// viewPollInterval is the longest time between two reads of the group's view by a waiting request that sees no change, in milliseconds.
const viewPollInterval clock.Millis = 50

// acquisition is the state of one request that waits for a lease.
type acquisition struct {
	r          *router
	svc        *service.Service
	groupState *control.GroupState
	need       route.Need
	// replicaDeadline is the time until which only replicas may serve the request; 0 means not at all.
	replicaDeadline clock.Millis
	// failedDials counts the failed attempts to connect.
	failedDials int
}

// run waits until a target may serve the request and has a free slot and a connection.
func (a *acquisition) run(ctx context.Context) (*caller.Lease, error) {
	for {
		view, changed := a.groupState.WatchView()
		a.need.ReplicaOnly = a.r.clk.Now() < a.replicaDeadline
		choice := route.Choose(view, a.r.clk.Now(), a.need, rand.IntN)
		lease, err := a.tryTarget(ctx, view, choice)
		if lease != nil || err != nil {
			return lease, err
		}
		if a.need.ReplicaOnly {
			a.groupState.Prober().ProbeSoon()
		}
		if err := a.wait(ctx, changed, choice); err != nil {
			return nil, err
		}
	}
}

// wait blocks until the view changes or the next attempt is due. After a failed connection a change of the view does not
// shorten the backoff.
func (a *acquisition) wait(ctx context.Context, changed <-chan struct{}, choice route.Choice) error {
	delay := viewPollInterval
	if remaining := a.replicaDeadline - a.r.clk.Now(); remaining > 0 {
		delay = min(delay, remaining)
	}
	if choice.Target != "" && a.failedDials > 0 {
		changed = nil
		delay = a.r.retries.Backoff.Delay(a.failedDials)
	}
	select {
	case <-changed:
	case <-a.r.clk.After(delay):
	case <-ctx.Done():
		return refusal.NoPrimary("no target may serve the request before its deadline")
	}
	return nil
}

// tryTarget asks the chosen target for a lease. It returns nil and no error when the request has to try another target, or the same
// one later.
func (a *acquisition) tryTarget(ctx context.Context, v *route.View, choice route.Choice) (*caller.Lease, error) {
	t, ok := v.Record.Target(choice.Target)
	if !ok {
		return nil, nil
	}
	scope := a.groupState.TermScope()
	release, err := a.acquireSlot(ctx, scope, &t)
	if release == nil {
		return nil, err
	}
	// The samples that justified the choice may have expired during the wait for a slot.
	if now := a.groupState.View(); now != v && !route.CanServe(now, a.r.clk.Now(), a.need, t.ID) {
		release()
		return nil, nil
	}
	conn := a.connect(ctx, &t)
	if conn == nil {
		a.failedDials++
		release()
		return nil, nil
	}
	_, term, _ := route.PrimaryOf(v)
	return a.r.lease(context.WithoutCancel(ctx), &grant{
		svc: a.svc, term: term, scope: scope, target: &t, choice: choice, conn: conn, releaseSlot: release,
	}), nil
}

// acquireSlot waits for a slot of t. It returns nil and no error when a primary of a later term is known before the slot is granted.
func (a *acquisition) acquireSlot(ctx context.Context, scope control.TermScope, t *group.Target) (func(), error) {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer scope.AfterEnd(cancel)()
	kind := admission.Read
	if a.need.Request.Kind == service.Write {
		kind = admission.Write
	}
	release, err := a.r.targets.slotGate(t).gate.Acquire(waitCtx, admission.Request{
		Weight:   a.need.Request.Weight,
		Kind:     kind,
		Deadline: a.need.Deadline,
	})
	if err != nil && scope.Ended() && ctx.Err() == nil {
		return nil, nil
	}
	return release, err
}

// connect takes a connection to t from the pool. On failure it reports the cause to the router and returns nil.
func (a *acquisition) connect(ctx context.Context, t *group.Target) *target.Conn {
	dialCtx, cancel := context.WithTimeout(ctx, a.r.targets.cfg.DialTimeout.Duration())
	defer cancel()
	conn, err := a.r.targets.pool(t, string(a.svc.Name)).Get(dialCtx)
	if err != nil {
		a.r.connectFailed(ctx, a.svc.Group, t, err)
		return nil
	}
	return conn
}
