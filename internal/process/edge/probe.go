package edge

import (
	"context"
	"errors"
	"sync"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform"
)

const (
	// probeTimeout bounds the questions to one target, in milliseconds.
	probeTimeout clock.Millis = 300
	// probePause is the least time between two rounds of questions to a group, in milliseconds.
	probePause clock.Millis = 100
)

var noValues link.Values

// probe asks all targets of a group whether they lead and what they hold.
func (d *Daemon) probe(ctx context.Context, g *groupView) {
	var wg sync.WaitGroup
	for _, t := range g.targets {
		wg.Go(func() { d.ask(ctx, g, t, false) })
	}
	wg.Wait()
	if d.clk.Sleep(ctx, probePause) == nil {
		d.control.send(ctx, probed{group: g.id})
	}
}

// answer is what a target said to the questions.
type answer struct {
	// heard is true when the target's host answered at all.
	heard bool
	// leads is true when the target has just shown to lead.
	leads  bool
	report *link.Report
}

// ask puts the questions to one target, on a new connection where an old one may be dead.
func (d *Daemon) ask(ctx context.Context, g *groupView, t *target, anew bool) answer {
	id := t.meta.Load().ID
	asked := d.clk.Now()
	until := asked + probeTimeout
	get := func() (*link.Conn, error) { return t.pool.Get(ctx, &noValues, until) }
	if anew {
		get = func() (*link.Conn, error) { return t.pool.Open(ctx, until) }
	}
	conn, err := get()
	if err != nil {
		d.lost(g.id, id, asked, err)
		return answer{heard: errors.Is(err, link.ErrFull)}
	}
	defer t.pool.Put(conn)
	a := answer{heard: true}
	r, err := conn.ProveLead(until)
	if err != nil {
		d.lost(g.id, id, asked, err)
		return a
	}
	a.leads = r.Completed
	if a.leads {
		d.proven(g.id, id, placement.Sample{Point: r.Point, AskedAt: asked})
	} else if r.Code == statement.ReadOnly && g.leader == id {
		d.control.tell(deposed{group: g.id, target: id})
	}
	t.took(&r, 0)
	r, err = conn.Run(until, nil, link.Command{Kind: link.Status})
	if err != nil {
		conn.Break()
		d.lost(g.id, id, asked, err)
		return a
	}
	t.took(&r, 0)
	if !r.Completed {
		return a
	}
	report, err := platform.ParseStatus(r.Row)
	if err != nil {
		d.warn("status of a target", err)
		return a
	}
	t.reported(report.Received, asked)
	a.report = &report
	return a
}
