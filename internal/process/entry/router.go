package entry

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/process/control"
	"github.com/cactusfork/cactusfork/internal/process/probe"
	"github.com/cactusfork/cactusfork/internal/request/admission"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// pollView is how often a waiting request looks at the view although nothing has changed, in milliseconds.
const pollView clock.Millis = 50

// router finds a target, a slot and a connection for each request.
type router struct {
	clk     *clock.Clock
	loop    *control.Loop
	targets *targets
	policy  Policy
	place   group.DataCentre
	meter   *meter
	// replicaWait bounds how long a read waits for a replica.
	replicaWait clock.Millis
}

// service returns what is published of a service.
func (r *router) service(name service.Name) (*service.Service, bool) {
	s, ok := r.loop.Snapshot().Services[name]
	return s, ok
}

// cell returns the group's view, or a refusal when no such group is published.
func (r *router) cell(id group.ID) (*control.Cell, error) {
	c, ok := r.loop.Snapshot().Groups[id]
	if !ok {
		return nil, refusal.NoPrimary("group " + string(id) + " is not published")
	}
	return c, nil
}

// floor asks a majority for a point at or past every write acknowledged before the call.
func (r *router) floor(ctx context.Context, id group.ID) (position.Point, error) {
	c, err := r.cell(id)
	if err != nil {
		return position.Point{}, err
	}
	s, err := c.Watch().Sample(ctx)
	if err != nil {
		return position.Point{}, refusal.NoPrimary("no majority of " + string(id) + " answers")
	}
	return s.Point, nil
}

// confirm waits until a majority holds p, which the primary of its term reported.
func (r *router) confirm(ctx context.Context, id group.ID, p position.Point) error {
	c, err := r.cell(id)
	if err != nil {
		return err
	}
	return c.Watch().Confirm(ctx, p)
}

// acquire waits until a target may serve the request and has a slot and a connection free.
func (r *router) acquire(ctx context.Context, svc *service.Service, n route.Need, o caller.AcquireOptions) (*caller.Lease, error) {
	c, err := r.cell(svc.Group)
	if err != nil {
		return nil, err
	}
	n = r.policy.apply(n)
	n.DataCentre = r.place
	n.Arrived = r.clk.Now()
	if err := r.freshen(ctx, c, &n); err != nil {
		return nil, err
	}
	patience := r.patience(c, n)
	for {
		view, changed := c.Load()
		n.ReplicaOnly = r.clk.Now() < patience
		choice := route.Choose(view, r.clk.Now(), n, rand.IntN)
		lease, err := r.try(ctx, svc, view, n, choice)
		if lease != nil || err != nil {
			return lease, err
		}
		if n.ReplicaOnly {
			c.Watch().Kick()
		}
		if err := r.wait(ctx, changed, patience); err != nil {
			return nil, err
		}
	}
}

// patience is until when a read waits for a replica before it turns to the primary; 0 when that is not worth while.
func (r *router) patience(c *control.Cell, n route.Need) clock.Millis {
	if n.Request.Kind != service.Read || r.replicaWait == 0 || !route.WorthWaiting(c.View(), r.replicaWait) {
		return 0
	}
	return r.clk.Now() + r.replicaWait
}

// freshen gives a read that states no age a sample asked after it arrived.
func (r *router) freshen(ctx context.Context, c *control.Cell, n *route.Need) error {
	if n.Request.Kind != service.Read || n.Request.MaxAge > 0 {
		return nil
	}
	s, err := c.Watch().Sample(ctx)
	if err != nil {
		return refusal.NoPrimary("no majority of the group answers")
	}
	n.Fresh = s
	return nil
}

func (r *router) wait(ctx context.Context, changed <-chan struct{}, patience clock.Millis) error {
	most := pollView
	if left := patience - r.clk.Now(); left > 0 {
		most = min(most, left)
	}
	select {
	case <-changed:
	case <-r.clk.After(most):
	case <-ctx.Done():
		return refusal.NoPrimary("no target may serve the request before its deadline")
	}
	return nil
}

// try returns neither a lease nor an error when another target, or the same one later, is to be tried.
func (r *router) try(ctx context.Context, svc *service.Service, v *route.View, n route.Need, choice route.Choice) (*caller.Lease, error) {
	if choice.Kind == route.Wait || choice.Kind == route.Refuse {
		return nil, nil
	}
	t, ok := v.Record.Target(choice.Target)
	if !ok {
		return nil, nil
	}
	release, err := r.enter(ctx, &t, n)
	if err != nil {
		return nil, err
	}
	conn := r.connect(ctx, svc, &t)
	if conn == nil {
		release()
		return nil, nil
	}
	return r.lease(context.WithoutCancel(ctx), svc, v, &t, choice, conn, release), nil
}

func (r *router) enter(ctx context.Context, t *group.Target, n route.Need) (func(), error) {
	kind := admission.Read
	if n.Request.Kind == service.Write {
		kind = admission.Write
	}
	return r.targets.desk(t).gate.Enter(ctx, admission.Ticket{
		Weight:   n.Request.Weight,
		Kind:     kind,
		Deadline: n.Deadline,
	})
}

// connect returns nil, and reports why, when the target gives no connection.
func (r *router) connect(ctx context.Context, svc *service.Service, t *group.Target) *target.Conn {
	within, cancel := context.WithTimeout(ctx, r.targets.cfg.DialTimeout.Duration())
	defer cancel()
	conn, err := r.targets.pool(t, string(svc.Name)).Get(within)
	if err != nil {
		r.failed(ctx, svc.Group, t.ID, err)
		return nil
	}
	return conn
}

// failed tells the control loop what traffic met at a target, unless the target merely refused.
func (r *router) failed(ctx context.Context, id group.ID, t group.TargetID, err error) {
	var said *target.ServerError
	if errors.As(err, &said) || errors.Is(err, context.Canceled) {
		return
	}
	r.loop.Failed(ctx, id, t, probe.CauseOf(err))
}
