package edge

import (
	"context"
	"errors"
	"sync"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
	"github.com/cactusfork/cactusfork/platform"
)

const (
	// probeTimeout bounds a probe of one target, in milliseconds.
	probeTimeout clock.Millis = 300
	// probeInterval is the minimum time between two probes of a group, in milliseconds.
	probeInterval clock.Millis = 100
)

// probeGroup asks all targets of a group whether they are the primary and which position they hold.
func (d *Daemon) probeGroup(ctx context.Context, g *groupView) {
	var wg sync.WaitGroup
	for _, t := range g.targets {
		wg.Go(func() { d.probeTarget(ctx, g, t, false) })
	}
	wg.Wait()
	if d.clk.Sleep(ctx, probeInterval) == nil {
		d.control.send(ctx, probeEnd{group: g.id})
	}
}

// probeResult is what a probe of one target found.
type probeResult struct {
	// reachable is true when the target's host answered at all.
	reachable bool
	// provedPrimary is true when the target has just proved that it is the primary.
	provedPrimary bool
	// term is the term of that proof.
	term   position.Term
	report *link.Report
}

// probeTarget probes one target. With newConn set it opens a connection, because an existing one may be dead.
func (d *Daemon) probeTarget(ctx context.Context, g *groupView, t *target, newConn bool) probeResult {
	id := t.meta.Load().ID
	sentAt := d.clk.Now()
	deadline := sentAt + probeTimeout
	get := func() (*link.Conn, error) { return t.pool.GetAny(ctx, deadline) }
	if newConn {
		get = func() (*link.Conn, error) { return t.pool.Open(ctx, deadline) }
	}
	conn, err := get()
	if err != nil {
		d.handleFailure(g.id, id, sentAt, err)
		return probeResult{reachable: errors.Is(err, link.ErrFull)}
	}
	defer t.pool.Put(conn)
	result := probeResult{reachable: true}
	r, err := conn.ProvePrimary(deadline)
	if err != nil {
		d.handleFailure(g.id, id, sentAt, err)
		return result
	}
	result.provedPrimary, result.term = r.Completed, r.Point.Term
	if result.provedPrimary {
		d.handlePrimaryProof(g.id, id, placement.Sample{Point: r.Point, RequestedAt: sentAt})
	} else if r.Code == statement.ReadOnly && g.primary == id {
		d.control.trySend(readOnlyReply{group: g.id, target: id})
	}
	t.recordReply(&r, 0)
	r, err = conn.Run(deadline, link.Command{Kind: link.Status})
	if err != nil {
		conn.Break()
		d.handleFailure(g.id, id, sentAt, err)
		return result
	}
	t.recordReply(&r, 0)
	if !r.Completed {
		return result
	}
	report, err := platform.ParseStatus(r.Row)
	if err != nil {
		d.warn("target status is malformed", err)
		return result
	}
	t.recordReceived(report.Received, sentAt)
	result.report = &report
	return result
}
