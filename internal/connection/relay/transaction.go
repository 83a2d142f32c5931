package relay

import (
	"context"
	"errors"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// runInside runs a statement, or the commit, of the open transaction.
func (s *session) runInside(ctx context.Context, st statement.Statement) {
	n, ok := s.newRun(s.tx.route, &st)
	if !ok {
		return
	}
	if s.tx.lease == nil {
		n.since = s.tx.arrived
		n.work.Need.Leader = s.tx.begin.Verb == statement.Begin
		n.loop(ctx, n.attemptBegin)
		return
	}
	leave, err := s.tx.lease.Enter(ctx, &n.work)
	if err != nil {
		n.refuse(err)
		return
	}
	n.runOn(ctx, s.tx.lease, leave)
}

// attemptBegin begins the transaction at one target and runs its first statement there.
func (n *run) attemptBegin(ctx context.Context, l *Lease) step {
	tx := n.s.tx
	asked := n.s.now()
	begin := link.Command{Kind: link.Forward, ID: tx.begin.ID, Text: tx.begin.Text}
	if !n.work.Need.Leader {
		begin.Floor = n.work.Need.Floor
	}
	reply, err := l.Conn.Run(min(n.until, asked+questionTimeout), l.Conn.Setup(&n.s.values, n.prepared), begin)
	if err != nil {
		// Nothing but the begin was sent.
		n.outcome.Cause = err.Error()
		l.Conn.Break()
		n.s.seams().Lost(n.work.Group, l.Target, l.Conn.Sent(), err)
		n.work.Need.Tried = append(n.work.Need.Tried, l.Target)
		n.endLease(l)
		if n.s.now() < n.until {
			return again
		}
		n.fail(statement.Rejected, "no target began the transaction in time")
		return done
	}
	n.s.seams().Answered(n.work.Group, l.Target, &reply, 0)
	if !reply.Completed {
		return n.refused(l, &reply)
	}
	if n.work.Need.Leader {
		n.s.seams().Proven(n.work.Group, l.Target, placement.Sample{Point: reply.Point, AskedAt: asked})
	}
	tx.lease = l
	n.runOn(ctx, l, l.Leave)
	return done
}

// runOn runs the statement on the connection that the transaction has; leave gives back the slot.
func (n *run) runOn(ctx context.Context, l *Lease, leave func()) {
	defer leave()
	n.outcome.Attempts = max(n.outcome.Attempts, 1)
	n.outcome.Target, n.outcome.Leader = l.Target, l.Leader
	for {
		asked := n.s.now()
		reply, err := l.Conn.Run(n.until, l.Conn.Setup(&n.s.values, n.prepared), n.command(position.Point{}))
		if err != nil {
			l.Conn.Break()
			n.s.seams().Lost(n.work.Group, l.Target, l.Conn.Sent(), err)
			n.lostInside(err)
			return
		}
		n.s.seams().Answered(n.work.Group, l.Target, &reply, n.s.now()-asked)
		if reply.Completed {
			n.completeInside(l, &reply)
			return
		}
		if reply.State == statement.Open && n.mayRepeat(&reply) && n.s.seams().Clock.Sleep(ctx, busyPause) == nil {
			n.outcome.Attempts++
			continue
		}
		n.refusedInside(&reply)
		return
	}
}

// mayRepeat reports whether a statement that was not run can be sent again on the same connection.
func (n *run) mayRepeat(r *link.Reply) bool {
	if n.s.now()+busyPause >= n.until {
		return false
	}
	if r.Code == statement.NoStatement {
		n.s.tx.lease.Conn.Forget(n.prepared)
		return true
	}
	return r.Code == statement.Busy
}

func (n *run) completeInside(l *Lease, r *link.Reply) {
	s := n.s
	if n.writes {
		s.tx.wrote = true
	}
	if n.st.Verb == statement.Commit {
		known := !s.tx.wrote || n.acknowledge(l, r)
		s.tx = nil
		if known {
			n.deliver(r)
		} else {
			n.fail(statement.Unknown, "primary was replaced as the commit ran")
		}
		if r.State != statement.Idle {
			l.Conn.Break()
		}
		l.Return()
		return
	}
	n.deliver(r)
}

// lostInside settles a statement of a transaction whose answer did not come; only a commit can have taken effect.
func (n *run) lostInside(err error) {
	n.outcome.Cause = err.Error()
	tx := n.s.tx
	committing := n.st.Verb == statement.Commit && tx.wrote && !errors.Is(err, link.ErrNotInForce)
	n.s.release()
	if n.st.Verb == statement.Commit {
		n.s.tx = nil
	}
	if committing {
		n.fail(statement.Unknown, "no answer to a commit that was sent")
	} else {
		n.fail(statement.Rejected, "target was lost before the commit, transaction is rolled back")
	}
}

// refusedInside settles a statement that the target answered with an error.
func (n *run) refusedInside(r *link.Reply) {
	tx := n.s.tx
	code, text := r.Code, r.Text
	switch {
	case n.st.Verb == statement.Commit && tx.wrote:
		// What ran and failed may be kept or not.
		if code == statement.Failed || code == statement.TimedOut {
			code, text = statement.Unknown, "commit ended with "+r.Code.String()
		}
	case code == statement.Failed, code == statement.TimedOut, code == statement.NoStatement:
		code, text = statement.Rejected, "statement ended with "+r.Code.String()+", transaction is rolled back"
	}
	n.s.release()
	if n.st.Verb == statement.Commit {
		n.s.tx = nil
	}
	n.fail(code, text)
}
