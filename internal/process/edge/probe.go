package edge

import (
	"context"
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
		wg.Go(func() { d.ask(ctx, g, t) })
	}
	wg.Wait()
	if d.clk.Sleep(ctx, probePause) == nil {
		d.control.send(ctx, probed{group: g.id})
	}
}

// ask puts the questions to one target and returns what it reports; false when it did not.
func (d *Daemon) ask(ctx context.Context, g *groupView, t *target) (link.Report, bool) {
	id := t.meta.Load().ID
	asked := d.clk.Now()
	until := asked + probeTimeout
	conn, err := t.pool.Get(ctx, &noValues, until)
	if err != nil {
		d.lost(g.id, id, err)
		return link.Report{}, false
	}
	defer t.pool.Put(conn)
	if err := conn.Send(until, link.Command{Kind: link.Begin}, link.Command{Kind: link.Rollback}, link.Command{Kind: link.Status}); err != nil {
		d.lost(g.id, id, err)
		return link.Report{}, false
	}
	var last link.Reply
	for i := range 3 {
		r, err := conn.Receive(until)
		if err != nil {
			conn.Break()
			d.lost(g.id, id, err)
			return link.Report{}, false
		}
		if i == 0 && r.Completed {
			d.proven(g.id, id, placement.Sample{Point: r.Point, AskedAt: asked})
		} else if i == 0 && r.Code == statement.ReadOnly && g.leader == id {
			d.control.tell(deposed{group: g.id, target: id})
		}
		t.took(&r, 0)
		last = r
	}
	if !last.Completed {
		return link.Report{}, false
	}
	report, err := platform.ParseStatus(last.Row)
	if err != nil {
		d.warn("status of a target", err)
		return link.Report{}, false
	}
	t.holds(report.Received)
	return report, true
}
