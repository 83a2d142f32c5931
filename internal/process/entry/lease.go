package entry

import (
	"context"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// slotsFullCode is how a target says that it has no slot or connection free.
const slotsFullCode = "53300"

// lease lends conn to one request and settles its slot, its connection and its counts at the end.
func (r *router) lease(ctx context.Context, svc *service.Service, v *route.View, t *group.Target, choice route.Choice, conn *target.Conn, leave func()) *caller.Lease {
	l := &caller.Lease{Conn: conn, Target: t.ID, Primary: choice.Kind == route.Primary}
	if l.Primary {
		l.Term = v.Record.Term
	}
	pool := r.targets.pool(t, string(svc.Name))
	term := l.Term
	l.Release = func(reuse bool, o caller.Outcome) {
		if !reuse {
			conn.Break()
		}
		pool.Put(conn)
		leave()
		r.settle(ctx, svc.Group, t, term, reuse, o)
	}
	return l
}

// settle learns from how a request at a target ended.
func (r *router) settle(ctx context.Context, id group.ID, t *group.Target, term position.Term, reuse bool, o caller.Outcome) {
	r.meter.sent(o)
	if o.Code == slotsFullCode {
		r.targets.desk(t).refused(r.clk.Now())
		return
	}
	if o.Result == caller.Acknowledged {
		r.targets.desk(t).served()
	}
	if o.Result == caller.Acknowledged && term > 0 && o.Kind == service.Write {
		r.meter.wrote(id, t.ID, term)
	}
	if !reuse && o.Result != caller.Lost {
		r.loop.Failed(ctx, id, t.ID, group.Reset)
	}
}
