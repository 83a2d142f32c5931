package entry

import (
	"context"
	"errors"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/process/control"
	"github.com/cactusfork/cactusfork/internal/process/probe"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/request/retry"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// router obtains a target, a slot and a connection for each request.
type router struct {
	clk        *clock.Clock
	loop       *control.Loop
	targets    *targets
	policy     Policy
	dataCentre group.DataCentre
	meter      *meter
	// replicaWait is the longest time that a read waits for a replica.
	replicaWait clock.Millis
	retries     *retry.Policy
}

// service returns the published object of a service.
func (r *router) service(name service.Name) (*service.Service, bool) {
	s, ok := r.loop.Snapshot().Services[name]
	return s, ok
}

// groupState returns the state that holds the view of a group, or a refusal if the group is not published.
func (r *router) groupState(id group.ID) (*control.GroupState, error) {
	state, ok := r.loop.Snapshot().Groups[id]
	if !ok {
		return nil, refusal.NoPrimary("group " + string(id) + " is not published")
	}
	return state, nil
}

// floor returns a point, sampled from a majority, that covers every write acknowledged before the call.
func (r *router) floor(ctx context.Context, id group.ID) (position.Point, error) {
	state, err := r.groupState(id)
	if err != nil {
		return position.Point{}, err
	}
	s, err := state.Prober().Sample(ctx)
	if err != nil {
		return position.Point{}, refusal.NoPrimary("no majority of " + string(id) + " answers")
	}
	return s.Point, nil
}

// confirm waits until a majority holds p. The primary of p's term has reported p.
func (r *router) confirm(ctx context.Context, id group.ID, p position.Point) error {
	state, err := r.groupState(id)
	if err != nil {
		return err
	}
	return state.Prober().Confirm(ctx, p)
}

// acquire waits until a target may serve the request and has a free slot and a connection.
func (r *router) acquire(ctx context.Context, svc *service.Service, n route.Need, o caller.AcquireOptions) (*caller.Lease, error) {
	state, err := r.groupState(svc.Group)
	if err != nil {
		return nil, err
	}
	n = r.policy.apply(n)
	n.DataCentre = r.dataCentre
	if err := r.awaitRetry(ctx, n, o); err != nil {
		return nil, err
	}
	n.Arrived = r.clk.Now()
	if err := r.addFreshSample(ctx, state, &n); err != nil {
		return nil, err
	}
	a := &acquisition{r: r, svc: svc, groupState: state, need: n, replicaDeadline: r.replicaDeadline(state, n)}
	return a.run(ctx)
}

// awaitRetry delays an attempt after the first by the backoff, or returns a refusal if the retry budget or the deadline forbids it.
func (r *router) awaitRetry(ctx context.Context, n route.Need, o caller.AcquireOptions) error {
	if o.Attempt == 0 {
		r.retries.Budget.RecordRequest()
		return nil
	}
	// An overloaded target needs no backoff here: the limiter lowers its slots, and the request waits for a slot like any other.
	if o.Code == refusal.OverloadedCode {
		return nil
	}
	a := retry.Attempt{Request: n.Request, Tries: o.Attempt, Deadline: n.Deadline}
	d := r.retries.Decide(r.clk.Now(), a, retry.NoConnection)
	if d.Kind != retry.Retry {
		return d.Refusal
	}
	if err := r.clk.Sleep(ctx, d.After); err != nil {
		return refusal.Deadline("the deadline passed before a retry")
	}
	return nil
}

// replicaDeadline returns the time until which a read waits for a replica before the primary may serve it, or 0 if no replica is likely
// to catch up within replicaWait.
func (r *router) replicaDeadline(state *control.GroupState, n route.Need) clock.Millis {
	if n.Request.Kind != service.Read || r.replicaWait == 0 || !route.HasReplicaWithinLag(state.View(), r.replicaWait) {
		return 0
	}
	return r.clk.Now() + r.replicaWait
}

// addFreshSample adds a sample to a read without a maximum age. The sample is requested after the read arrived.
func (r *router) addFreshSample(ctx context.Context, state *control.GroupState, n *route.Need) error {
	if n.Request.Kind != service.Read || n.Request.MaxAge > 0 {
		return nil
	}
	s, err := state.Prober().Sample(ctx)
	if err != nil {
		return refusal.NoPrimary("no majority of the group answers")
	}
	n.Sample = s
	return nil
}

// connectFailed handles a failed attempt to connect. A target that refuses the connection as overloaded is up and loses only
// slots. A busy pool and the end of ctx say nothing about the target. All other errors count as a failure of the target.
func (r *router) connectFailed(ctx context.Context, id group.ID, t *group.Target, err error) {
	var serverErr *target.ServerError
	switch {
	case errors.As(err, &serverErr):
		if serverErr.Code == refusal.OverloadedCode {
			r.targets.slotGate(t).recordOverload(r.clk.Now())
		}
	case errors.Is(err, target.ErrPoolBusy), errors.Is(err, context.Canceled), ctx.Err() != nil:
	default:
		r.loop.ReportFailure(ctx, id, t.ID, probe.ClassifyError(err))
	}
}
