package relay

import (
	"context"
	"errors"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/connection/socket"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// restedLimit is how long a connection may have rested before a write is preceded by a question, so that a dead connection is met before the write is sent; in milliseconds.
	restedLimit clock.Millis = 100
	// busyPause is the wait before a target that had no slot is asked again, in milliseconds.
	busyPause clock.Millis = 8
	// maxRuns is on how many targets a read that ran and failed is tried.
	maxRuns = 3
	// ageMargin is how much younger a sample must be than the staleness allows, in milliseconds, for the rounding of times.
	ageMargin clock.Millis = 20
)

// run is one statement on its way to a target.
type run struct {
	s        *session
	st       *statement.Statement
	route    *topology.Route
	prepared *link.Prepared
	writes   bool
	// since is from when on acknowledged commits need not be seen: the first byte of the read or its transaction.
	since   clock.Millis
	until   clock.Millis
	work    Work
	outcome Outcome
	// ran counts the attempts that ran and failed.
	ran int
	// leaderBusy is true once the primary had no room for the statement since all targets were last to be tried.
	leaderBusy bool
	// freshSince is since when a sample must have been asked for, where older ones did not help.
	freshSince clock.Millis
	// slow is true once an attempt was left behind because its answer did not come.
	slow bool
}

// step says how a run goes on after an attempt.
type step int

const (
	// again tries another target, or the same one if no other fits.
	again step = iota
	// done means that the caller has its answer.
	done
)

func (s *session) newRun(r *topology.Route, st *statement.Statement) (*run, bool) {
	n := &run{s: s, st: st, route: r, writes: st.Writes, since: s.now()}
	if st.Verb == statement.Execute {
		p, ok := s.prepared[st.Name]
		if !ok {
			s.fail(statement.NoStatement, "no statement is prepared under that name")
			return nil, false
		}
		n.prepared, n.writes = p, p.Writes
	}
	n.until = n.since + r.Timeout
	n.outcome = Outcome{
		Session: s.id, ID: st.ID, Database: s.database, Route: r, Verb: st.Verb, Writes: n.writes, Arrived: n.since,
	}
	n.work = Work{Group: r.Group, Values: &s.values, Priority: r.Priority, Writes: n.writes, InTime: n.since + r.Objective, Until: n.until}
	return n, true
}

// runSingle runs a statement outside a transaction.
func (s *session) runSingle(ctx context.Context, r *topology.Route, st statement.Statement) {
	n, ok := s.newRun(r, &st)
	if !ok {
		return
	}
	n.work.Need.Leader = n.writes
	n.loop(ctx, n.attemptSingle)
}

// loop makes attempts until the caller has an answer.
func (n *run) loop(ctx context.Context, attempt func(ctx context.Context, l *Lease) step) {
	for {
		if !n.work.Need.Leader && !n.setFloor(ctx) {
			return
		}
		l, err := n.s.seams().Acquire(ctx, &n.work)
		if err != nil {
			if n.retryAfter(ctx, err) {
				continue
			}
			n.refuse(err)
			return
		}
		n.outcome.Attempts++
		n.outcome.Target, n.outcome.Leader = l.Target, l.Leader
		if attempt(ctx, l) == done {
			return
		}
	}
}

// retryAfter forgets the targets that were tried when all were, and reports whether the run goes on.
func (n *run) retryAfter(ctx context.Context, err error) bool {
	var refused *statement.Refusal
	if !errors.As(err, &refused) || len(n.work.Need.Tried) == 0 || n.ran >= maxRuns || n.s.now()+busyPause >= n.until {
		return false
	}
	n.work.Need.Tried = n.work.Need.Tried[:0]
	if !n.leaderBusy {
		// A floor of an earlier term may be held nowhere; a newer sample is of the present one, and waits for its primary.
		n.freshSince = n.s.now()
	}
	n.leaderBusy = false
	return n.s.seams().Clock.Sleep(ctx, busyPause) == nil
}

// setFloor gives the read its floor and reports false when it was refused instead.
func (n *run) setFloor(ctx context.Context) bool {
	since := n.since
	if n.route.Consistency != topology.Strong {
		since += ageMargin - n.route.Staleness
	}
	sample, err := n.s.seams().Sample(ctx, n.work.Group, max(since, n.freshSince), n.until)
	if err != nil {
		n.refuse(err)
		return false
	}
	floor := sample.Point
	if n.route.Consistency == topology.ReadYourWrites {
		floor = position.Max(floor, n.s.written[n.work.Group])
	}
	n.work.Need.Floor, n.outcome.Floor = floor, floor
	n.work.Need.PreferLeader = n.route.Consistency == topology.Strong
	return true
}

// refuse answers that the statement was not run.
func (n *run) refuse(err error) {
	var refused *statement.Refusal
	if !errors.As(err, &refused) {
		refused = &statement.Refusal{Code: statement.Busy, Text: err.Error()}
	}
	n.fail(refused.Code, refused.Text)
}

func (n *run) fail(code statement.Code, text string) {
	n.outcome.Code, n.outcome.Cause = code, text
	n.s.fail(code, text)
	n.report()
}

func (n *run) report() {
	n.outcome.Finished = n.s.now()
	n.s.seams().Report(&n.outcome)
}

// deliver gives the caller the target's answer.
func (n *run) deliver(r *link.Reply) {
	n.s.turnedAway = false
	n.s.wire.Body(r.Body)
	n.s.wire.Ready(n.s.state(), r.Point)
	n.report()
}

// command is the caller's statement as a target gets it.
func (n *run) command(floor position.Point) link.Command {
	if n.prepared != nil {
		return link.Command{Kind: link.Execute, ID: n.st.ID, Floor: floor, Name: n.prepared.Name(), Text: n.st.Arguments}
	}
	return link.Command{Kind: link.Forward, ID: n.st.ID, Floor: floor, Text: n.st.Text}
}

// attemptSingle runs the statement at one target.
func (n *run) attemptSingle(_ context.Context, l *Lease) step {
	if n.writes && l.Conn.Rested() > restedLimit {
		if !n.provesLead(l) {
			return n.endLease(l)
		}
	}
	floor := n.work.Need.Floor
	if n.writes {
		floor = position.Point{}
	}
	asked := n.s.now()
	n.s.server.hedges.Fresh()
	reply, err := l.Conn.Run(n.patience(), l.Conn.Setup(&n.s.values, n.prepared), n.command(floor))
	if n.mayWait(err) && !n.s.server.hedges.Take(n.s.now()) {
		// A second attempt would add to the load that makes the first one slow.
		reply, err = l.Conn.ReceiveLast(n.until)
	}
	if err != nil {
		return n.lost(l, err)
	}
	n.s.seams().Answered(n.work.Group, l.Target, &reply, n.s.now()-asked)
	if !reply.Completed {
		return n.refused(l, &reply)
	}
	if n.writes && !n.acknowledge(l, &reply) {
		n.fail(statement.Unknown, "primary was replaced as the write ran")
		return n.finish(l)
	}
	n.deliver(&reply)
	return n.finish(l)
}

// acknowledge reports whether a commit that succeeded may be acknowledged: only while the target still leads, as one that ran while it was replaced is in no log from then on.
func (n *run) acknowledge(l *Lease, r *link.Reply) bool {
	// The body is only valid until the next answer.
	r.Body = append([]byte(nil), r.Body...)
	if !n.provesLead(l) {
		return false
	}
	n.s.note(n.work.Group, r.Point)
	return true
}

// note keeps the point of a commit of the session.
func (s *session) note(g group.ID, p position.Point) {
	if s.written == nil {
		s.written = make(map[group.ID]position.Point)
	}
	s.written[g] = position.Max(s.written[g], p)
}

// provesLead reports whether the target proves that it leads now.
func (n *run) provesLead(l *Lease) bool {
	asked := n.s.now()
	r, err := l.Conn.ProveLead(min(n.until, asked+questionTimeout))
	if err != nil {
		n.s.seams().Lost(n.work.Group, l.Target, l.Conn.Sent(), err)
		return false
	}
	if r.Completed {
		n.s.seams().Proven(n.work.Group, l.Target, placement.Sample{Point: r.Point, AskedAt: asked})
		return true
	}
	n.s.seams().Answered(n.work.Group, l.Target, &r, n.s.now()-asked)
	n.outcome.Cause = r.Code.String()
	return false
}

// questionTimeout bounds a question that takes no slot, in milliseconds.
const questionTimeout clock.Millis = 400

// patience is until when the answer is waited for: a first attempt of a read leaves time for another target.
func (n *run) patience() clock.Millis {
	now := n.s.now()
	if n.writes || n.slow {
		return n.until
	}
	return min(n.until, now+n.route.Objective/2+slowMargin)
}

// slowMargin is added to half of the objective before a read is tried elsewhere, in milliseconds.
const slowMargin clock.Millis = 100

// mayWait reports whether an answer that has not come yet can still be waited for.
func (n *run) mayWait(err error) bool {
	return socket.IsTimeout(err) && !n.writes && n.s.now() < n.until
}

// lost settles an attempt whose answer did not come.
func (n *run) lost(l *Lease, err error) step {
	n.outcome.Cause = err.Error()
	if !socket.IsTimeout(err) || n.writes || n.s.now() >= n.until {
		l.Conn.Break()
	}
	n.s.seams().Lost(n.work.Group, l.Target, l.Conn.Sent(), err)
	l.Leave()
	if l.Conn.Broken() {
		l.Return()
	} else {
		// The answer may still come; the target is not asked to stop.
		n.slow = true
		l.Drain()
	}
	n.work.Need.Tried = append(n.work.Need.Tried, l.Target)
	switch {
	case n.writes && !errors.Is(err, link.ErrNotInForce):
		n.fail(statement.Unknown, "no answer to a write that was sent")
		return done
	case n.s.now() >= n.until:
		n.fail(statement.TimedOut, "no answer in time")
		return done
	}
	return again
}

// refused settles an attempt that the target answered with an error.
func (n *run) refused(l *Lease, r *link.Reply) step {
	n.outcome.Cause = r.Code.String()
	code, text := r.Code, r.Text
	if r.State != statement.Idle {
		// An error may leave the connection in a failed transaction of its own.
		l.Conn.Break()
	}
	switch code {
	case statement.NoStatement:
		l.Conn.Forget(n.prepared)
		n.endLease(l)
		return again
	case statement.Busy, statement.Lagging, statement.ReadOnly, statement.WrongTarget, statement.TooManyConnections:
		n.leaderBusy = n.leaderBusy || l.Leader && code == statement.Busy
		n.work.Need.Tried = append(n.work.Need.Tried, l.Target)
		n.endLease(l)
		if n.s.now() < n.until {
			return again
		}
	case statement.Failed, statement.TimedOut:
		n.ran++
		n.work.Need.Tried = append(n.work.Need.Tried, l.Target)
		n.endLease(l)
		if !n.writes && n.ran < maxRuns && n.s.now() < n.until {
			return again
		}
	default:
		n.endLease(l)
	}
	n.fail(code, text)
	return done
}

// finish gives the lease back after an answer.
func (n *run) finish(l *Lease) step {
	n.endLease(l)
	return done
}

func (n *run) endLease(l *Lease) step {
	l.Leave()
	l.Return()
	return again
}
