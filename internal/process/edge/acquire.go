package edge

import (
	"context"
	"errors"
	"fmt"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/connection/relay"
	"github.com/cactusfork/cactusfork/internal/connection/socket"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// choosePause is the wait before a target is chosen anew when none fits, in milliseconds.
	choosePause clock.Millis = 15
	// fullRest is how long a target that takes no further connection is left to others, in milliseconds.
	fullRest clock.Millis = 30
	// busyAnswer is how recent an answer shows that a target is busy rather than dead, in milliseconds.
	busyAnswer clock.Millis = 500
	// connectionWait bounds the wait for a connection before a target is chosen anew, in milliseconds.
	connectionWait clock.Millis = 150
)

// acquire waits for a target, a slot and a connection.
func (d *Daemon) acquire(ctx context.Context, w *relay.Work) (*relay.Lease, error) {
	for {
		g := d.view.Load().groups[w.Group]
		if g == nil {
			return nil, &statement.Refusal{Code: statement.Busy, Text: "group has no targets, come back in 500 ms"}
		}
		now := d.clk.Now()
		i, why := placement.Choose(d.samples.candidates(g, w.Need.Floor, now), now, w.Need)
		if why == placement.AllTried {
			return nil, &statement.Refusal{Code: statement.Lagging, Text: "no target serves the statement now, come back in 100 ms"}
		}
		if i < 0 {
			if now+choosePause >= w.Until || w.Need.Leader && placement.Hopeless(g.outageSince(), now) {
				return nil, &statement.Refusal{Code: statement.Busy, Text: string(why) + ", come back in 300 ms"}
			}
			if err := d.clk.Sleep(ctx, choosePause); err != nil {
				return nil, err
			}
			continue
		}
		l, err := d.lease(ctx, g, g.targets[i], w)
		if l != nil || err != nil {
			return l, err
		}
	}
}

// lease takes a slot and a connection at a target; it returns neither a lease nor an error when another target is to be chosen.
func (d *Daemon) lease(ctx context.Context, g *groupView, t *target, w *relay.Work) (*relay.Lease, error) {
	leave, err := t.enter(ctx, w)
	if err != nil {
		return nil, err
	}
	now := d.clk.Now()
	conn, err := t.pool.Get(ctx, w.Values, min(w.Until, now+connectionWait))
	id := t.meta.Load().ID
	switch {
	case err == nil && t.candidate(false).Left:
		// It has left while the statement waited.
		t.pool.Put(conn)
	case err == nil:
		return &relay.Lease{
			Conn: conn, Target: id, Leader: id == g.leader, Enter: t.enter, Leave: leave,
			Return: func() { t.pool.Put(conn) },
			Drain:  func() { t.pool.Drain(conn) },
		}, nil
	case ctx.Err() != nil:
		leave()
		return nil, fmt.Errorf("acquire: %w", err)
	case errors.Is(err, link.ErrFull):
		t.leaveAlone(fullRest)
	default:
		d.lost(w.Group, id, now, err)
	}
	leave()
	return nil, nil
}

// answered takes a target's answer to a session's statement.
func (d *Daemon) answered(g group.ID, id group.TargetID, r *link.Reply, took clock.Millis) {
	v := d.view.Load()
	t := v.findTarget(g, id)
	if t == nil {
		return
	}
	t.took(r, took)
	if r.Code == statement.ReadOnly && v.leads(g, id) {
		d.control.tell(deposed{group: g, target: id})
	}
	if r.Code == statement.Busy {
		t.leaveAlone(fullRest)
	}
}

// lost takes the failure of a connection to a target, by something sent at that time.
func (d *Daemon) lost(g group.ID, id group.TargetID, sent clock.Millis, err error) {
	v := d.view.Load()
	t := v.findTarget(g, id)
	if t == nil || errors.Is(err, link.ErrFull) || errors.Is(err, link.ErrClosed) {
		return
	}
	if errors.Is(err, link.ErrSlow) && t.answeredSince(d.clk.Now()-busyAnswer) {
		// It answers others, so the startup has only waited for a slot.
		t.leaveAlone(fullRest)
		return
	}
	news, fails := t.failed(sent, err)
	if news {
		d.warnTarget("target does not answer", g, id, err)
	}
	if !socket.IsTimeout(err) || fails || d.clk.Now()-sent >= leastSilence {
		// What has rested since before that may be dead as well.
		t.pool.Purge(sent)
	}
	if !fails {
		return
	}
	if v.leads(g, id) {
		d.control.tell(failed{group: g, target: id})
	}
}

// proven takes a point that a target has shown to lead at.
func (d *Daemon) proven(g group.ID, id group.TargetID, s placement.Sample) {
	d.samples.add(g, s)
	if v := d.view.Load(); !v.leads(g, id) {
		d.control.tell(ledBy{group: g, target: id, term: s.Point.Term})
	}
}
