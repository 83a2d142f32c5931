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
	// selectRetryPause is the wait before target selection is retried when no target fits, in milliseconds.
	selectRetryPause clock.Millis = 15
	// fullBackoff is how long a target that accepts no further connection gets no new work, in milliseconds.
	fullBackoff clock.Millis = 30
	// busyReplyAge is the maximum age of a target's last reply at which a startup time-out means that the target is busy rather than dead, in milliseconds.
	busyReplyAge clock.Millis = 500
	// connectionTimeout bounds the wait for a connection before another target is selected, in milliseconds.
	connectionTimeout clock.Millis = 150
)

// acquire waits for a target, a slot and a connection. Its error is a *statement.Refusal or that of ctx.
func (d *Daemon) acquire(ctx context.Context, req *relay.LeaseRequest) (*relay.Lease, error) {
	for {
		g := d.view.Load().groups[req.Group]
		if g == nil {
			return nil, &statement.Refusal{Code: statement.Busy, Text: "group has no targets, come back in 500 ms"}
		}
		now := d.clk.Now()
		i, reason := d.chooseTarget(g, req.Workspace, req.Need, now)
		if reason == placement.AllTried {
			return nil, &statement.Refusal{Code: statement.Lagging, Text: "no target serves the statement now, come back in 100 ms"}
		}
		if i < 0 {
			if now+selectRetryPause >= req.Deadline || req.Need.PrimaryOnly && placement.ShouldFailFast(g.outageSince(), d.failoverSince(), now) {
				return nil, &statement.Refusal{Code: statement.Busy, Text: string(reason) + ", come back in 300 ms"}
			}
			if err := d.clk.Sleep(ctx, selectRetryPause); err != nil {
				return nil, err
			}
			continue
		}
		l, err := d.lease(ctx, g, g.targets[i], req)
		if l != nil || err != nil {
			return l, err
		}
	}
}

// lease takes a slot and a connection at t. It returns neither a lease nor an error when another target has to be selected.
func (d *Daemon) lease(ctx context.Context, g *groupView, t *target, req *relay.LeaseRequest) (*relay.Lease, error) {
	release, err := t.acquireMeasuredSlot(ctx, req, !req.Need.PrimaryOnly)
	if err != nil {
		return nil, err
	}
	now := d.clk.Now()
	conn, err := t.pool.Get(ctx, req.Workspace, req.Values, min(req.Deadline, now+connectionTimeout))
	id := t.meta.Load().ID
	switch {
	case err == nil && t.candidate(false).Departed:
		// The target passed its drain limit while the statement waited.
		t.pool.Put(conn)
	case err == nil:
		return &relay.Lease{
			Conn: conn, Target: id, Primary: id == g.primary, AcquireSlot: t.acquireSlot, ReleaseSlot: release,
			Departed:    func() bool { return t.candidate(false).Departed },
			ReleaseConn: func() { t.pool.Put(conn) },
			Drain:       func() { t.pool.Drain(conn) },
		}, nil
	case ctx.Err() != nil:
		release()
		return nil, fmt.Errorf("acquire: %w", err)
	case errors.Is(err, link.ErrFull):
		t.backOff(fullBackoff)
	default:
		d.handleFailure(req.Group, id, now, err)
	}
	release()
	return nil, nil
}

// handleReply records a target's reply to a session's statement and how long it took.
func (d *Daemon) handleReply(g group.ID, id group.TargetID, r *link.Reply, took clock.Millis) {
	v := d.view.Load()
	t := v.findTarget(g, id)
	if t == nil {
		return
	}
	t.recordReply(r, took)
	if r.Code == statement.ReadOnly && v.isPrimary(g, id) {
		d.control.trySend(readOnlyReply{group: g, target: id})
	}
	if r.Code == statement.Busy {
		t.backOff(fullBackoff)
	}
}

// handleFailure handles the failure of a connection to a target. The message that failed was sent at sentAt.
func (d *Daemon) handleFailure(g group.ID, id group.TargetID, sentAt clock.Millis, err error) {
	v := d.view.Load()
	t := v.findTarget(g, id)
	if t == nil || errors.Is(err, link.ErrFull) || errors.Is(err, link.ErrClosed) {
		return
	}
	if errors.Is(err, link.ErrStartupTimeout) && t.repliedSince(d.clk.Now()-busyReplyAge) {
		// The target answers other connections, so the startup only waited for a slot.
		t.backOff(fullBackoff)
		return
	}
	first, failing := t.recordFailure(sentAt, err)
	if first {
		d.warnTarget("target does not answer", g, id, err)
	}
	if !socket.IsTimeout(err) || failing || d.clk.Now()-sentAt >= minSilence {
		// Connections that have been idle since before sentAt may be dead as well.
		t.pool.Purge(sentAt)
	}
	if !failing {
		return
	}
	if v.isPrimary(g, id) {
		d.control.trySend(targetFailure{group: g, target: id})
	}
}

// handlePrimaryProof records the position at which a target proved that it is the primary, and reports the target to the control loop if it is not the known primary.
func (d *Daemon) handlePrimaryProof(g group.ID, id group.TargetID, s placement.Sample) {
	d.samples.add(g, s)
	if v := d.view.Load(); !v.isPrimary(g, id) {
		d.control.trySend(primaryProof{group: g, target: id, term: s.Point.Term})
	}
}
