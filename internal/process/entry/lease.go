package entry

import (
	"context"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/process/control"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// grant holds what was obtained for a lease: the connection to a target and the slot that releaseSlot gives back.
type grant struct {
	svc         *service.Service
	term        position.Term
	scope       control.TermScope
	target      *group.Target
	choice      route.Choice
	conn        *target.Conn
	releaseSlot func()
}

// lease hands a connection to one request. The lease's Release returns the connection and the slot and counts the outcome.
func (r *router) lease(ctx context.Context, g *grant) *caller.Lease {
	l := &caller.Lease{Conn: g.conn, Target: g.target.ID, Primary: g.choice.Kind == route.Primary}
	cancelClose := func() bool { return true }
	if l.Primary {
		l.Term = g.term
		// The connection closes once a later term is known, so that no reply of a replaced primary is acknowledged.
		cancelClose = g.scope.AfterEnd(g.conn.Close)
	}
	pool := r.targets.pool(g.target, string(g.svc.Name))
	l.Release = func(reuse bool, o caller.Outcome) {
		if !cancelClose() || !reuse {
			g.conn.MarkBroken()
		}
		pool.Put(g.conn)
		g.releaseSlot()
		r.recordResult(ctx, g, reuse, o)
	}
	return l
}

// recordResult counts how a request ended at its target and adjusts the target's slots. It reports a broken connection as a failure of
// the target, unless the caller was lost or the term has ended.
func (r *router) recordResult(ctx context.Context, g *grant, reuse bool, o caller.Outcome) {
	r.meter.recordSent(o)
	gate := r.targets.slotGate(g.target)
	if o.Code == refusal.OverloadedCode {
		gate.recordOverload(r.clk.Now())
		return
	}
	if o.Result == caller.Acknowledged {
		gate.recordServed()
	}
	isWrite := g.choice.Kind == route.Primary && o.Kind == service.Write
	if o.Result == caller.Acknowledged && isWrite {
		r.meter.recordWrite(g.svc.Group, g.target.ID, g.term)
	}
	if !reuse && o.Result != caller.Disconnected && !g.scope.Ended() {
		r.loop.ReportFailure(ctx, g.svc.Group, g.target.ID, group.Reset)
	}
}
