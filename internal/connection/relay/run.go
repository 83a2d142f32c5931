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
	// maxUnverifiedIdle is how long a connection may be idle, in milliseconds, before a write on it is preceded by a check of
	// the primary. The check detects a dead connection before the write is sent.
	maxUnverifiedIdle clock.Millis = 100
	// retryDelay is the wait before a target that refused a statement, for example for lack of a slot, is tried again, in
	// milliseconds.
	retryDelay clock.Millis = 8
	// maxFailedRuns is the number of targets on which a read that ran and failed is tried.
	maxFailedRuns = 3
	// stalenessMargin is how much younger than the allowed staleness a sample must be, in milliseconds. It covers the rounding
	// of times.
	stalenessMargin clock.Millis = 20
)

// execution is one statement on its way to a target or to the home daemon.
type execution struct {
	s        *session
	st       *statement.Statement
	route    *topology.Route
	prepared *link.Prepared
	writes   bool
	// asOf is when the session began to process the statement, or the BEGIN of its transaction. A read need not see commits
	// that are acknowledged later.
	asOf     clock.Millis
	deadline clock.Millis
	req      LeaseRequest
	outcome  Outcome
	// failedRuns counts the attempts that a target ran and that failed.
	failedRuns int
	// primaryBusy is true if the primary was busy since req.Need.Tried was last cleared.
	primaryBusy bool
	// minSampleTime is the earliest request time of a usable sample. It is set when the floors of older samples did not help.
	minSampleTime clock.Millis
	// hedged is true once an attempt was abandoned because its reply did not arrive in time.
	hedged bool
	// mayHaveRun is true once a target has run the statement, or may have.
	mayHaveRun bool
}

// attemptResult says how an execution continues after an attempt.
type attemptResult int

const (
	// attemptRetry tries another target, or the same one if no other is suitable.
	attemptRetry attemptResult = iota
	// attemptDone means that the caller has a reply.
	attemptDone
)

// newExecution returns the execution of a statement. It returns false after it has told the caller that no statement is
// prepared under the name.
func (s *session) newExecution(r *topology.Route, st *statement.Statement) (*execution, bool) {
	e := &execution{s: s, st: st, route: r, writes: st.Writes, asOf: s.now()}
	if st.Verb == statement.Execute {
		p, ok := s.prepared[st.Name]
		if !ok {
			s.fail(statement.NoStatement, "no statement is prepared under that name")
			return nil, false
		}
		e.prepared, e.writes = p, p.Writes
	}
	e.deadline = s.server.answerBy(e.asOf + r.Timeout)
	e.outcome = Outcome{
		Session: s.id, ID: st.ID, Database: s.database, Workspace: s.workspaceID(), Route: r, Verb: st.Verb, Writes: e.writes, Arrived: e.asOf,
	}
	e.req = LeaseRequest{Group: r.Group, Workspace: s.workspaceID(), Values: &s.values, Priority: r.Priority, Route: r.Name, Writes: e.writes, SoftDeadline: e.asOf + r.LatencyObjective, Deadline: e.deadline}
	return e, true
}

// runSingle runs a statement outside a transaction.
func (s *session) runSingle(ctx context.Context, r *topology.Route, st statement.Statement) {
	e, ok := s.newExecution(r, &st)
	if !ok {
		return
	}
	e.req.Need.PrimaryOnly = e.writes
	e.runOperation(ctx, e.attemptSingle)
}

// runOperation makes attempts at a single statement, or at the first one of a transaction, within the limit of the workspace.
func (e *execution) runOperation(ctx context.Context, attempt func(ctx context.Context, l *Lease) attemptResult) {
	w := e.s.workspace
	if w != nil {
		if err := e.s.deps().Admit(ctx, w, e.deadline); err != nil {
			e.refuse(err)
			return
		}
	}
	e.runAttempts(ctx, attempt)
	if w != nil && e.outcome.Code.NotRun() && !e.mayHaveRun {
		e.s.deps().Refund(w, e.asOf)
	}
}

// recordRun records whether a target may have run the statement, by the outcome of sending it.
func (e *execution) recordRun(r *link.Reply, err error) {
	e.mayHaveRun = e.mayHaveRun || err != nil || r.Completed || !r.Code.NotRun() && r.Code != statement.NoStatement
}

// runAttempts makes attempts until the caller has a reply.
func (e *execution) runAttempts(ctx context.Context, attempt func(ctx context.Context, l *Lease) attemptResult) {
	for {
		if !e.req.Need.PrimaryOnly && !e.setFloor(ctx) {
			return
		}
		l, err := e.s.deps().Acquire(ctx, &e.req)
		if err != nil {
			if e.retryAllTried(ctx, err) {
				continue
			}
			e.refuse(err)
			return
		}
		e.outcome.Attempts++
		e.outcome.Target, e.outcome.Primary = l.Target, l.Primary
		if attempt(ctx, l) == attemptDone {
			return
		}
	}
}

// retryAllTried clears the list of tried targets if err means that every target was tried, and reports whether the execution
// continues.
func (e *execution) retryAllTried(ctx context.Context, err error) bool {
	var refused *statement.Refusal
	if !errors.As(err, &refused) || len(e.req.Need.Tried) == 0 || e.failedRuns >= maxFailedRuns || e.s.now()+retryDelay >= e.deadline {
		return false
	}
	e.req.Need.Tried = e.req.Need.Tried[:0]
	if !e.primaryBusy {
		// A floor of an earlier term may be held by no target. A newer sample belongs to the current term and waits for its primary.
		e.minSampleTime = e.s.now()
	}
	e.primaryBusy = false
	return e.s.deps().Clock.Sleep(ctx, retryDelay) == nil
}

// setFloor sets the floor of the read. It returns false if it has refused the read instead.
func (e *execution) setFloor(ctx context.Context) bool {
	// Times are whole milliseconds, rounded down. A sample that was requested in the millisecond of the read's arrival may lack a commit
	// that was acknowledged before the read.
	asOf := e.asOf + 1
	if e.route.Consistency != topology.Strong {
		asOf = e.asOf + stalenessMargin - e.route.MaxStaleness
	}
	sample, err := e.s.deps().Sample(ctx, e.req.Group, max(asOf, e.minSampleTime), e.deadline)
	if err != nil {
		e.refuse(err)
		return false
	}
	floor := sample.Point
	if e.route.Consistency == topology.ReadYourWrites {
		floor = position.Max(floor, e.s.lastCommit[e.req.Group])
	}
	e.req.Need.Floor, e.outcome.Floor = floor, floor
	e.req.Need.PreferPrimary = e.route.Consistency == topology.Strong
	return true
}

// refuse tells the caller that the statement was not run.
func (e *execution) refuse(err error) {
	var refused *statement.Refusal
	if !errors.As(err, &refused) {
		refused = &statement.Refusal{Code: statement.Busy, Text: err.Error()}
	}
	e.fail(refused.Code, refused.Text)
}

func (e *execution) fail(code statement.Code, text string) {
	e.outcome.Code, e.outcome.Cause = code, text
	e.s.fail(code, text)
	e.report()
}

func (e *execution) report() {
	e.outcome.Finished = e.s.now()
	e.s.deps().Report(&e.outcome)
}

// deliver sends the target's reply to the caller.
func (e *execution) deliver(r *link.Reply) {
	e.s.lastRefused = false
	e.s.wire.Body(r.Body)
	e.s.wire.Ready(e.s.state(), r.Point)
	e.report()
}

// command returns the caller's statement as it is sent to a target.
func (e *execution) command(floor position.Point) link.Command {
	if e.prepared != nil {
		return link.Command{Kind: link.Execute, ID: e.st.ID, Floor: floor, Name: e.prepared.Name(), Text: e.st.Arguments}
	}
	return link.Command{Kind: link.Forward, ID: e.st.ID, Floor: floor, Text: e.st.Text}
}

// attemptSingle runs the statement on one target.
func (e *execution) attemptSingle(_ context.Context, l *Lease) attemptResult {
	if e.writes && l.Conn.IdleTime() > maxUnverifiedIdle {
		if !e.provePrimary(l) {
			return e.returnLease(l)
		}
	}
	floor := e.req.Need.Floor
	if e.writes {
		floor = position.Point{}
	}
	if err := e.setUp(l, e.replyDeadline()); err != nil {
		return e.handleSetupError(l, err)
	}
	sentAt := e.s.now()
	e.s.server.hedges.RecordRequest()
	reply, err := l.Conn.Run(e.replyDeadline(), e.command(floor))
	if e.canKeepWaiting(err) && !e.s.server.hedges.Take(e.s.now()) {
		// The retry budget is used up. A second attempt would add to the load that slows down the first one.
		reply, err = l.Conn.Receive(e.deadline)
	}
	e.recordRun(&reply, err)
	if err != nil {
		return e.handleConnError(l, err)
	}
	e.outcome.Latency = e.s.now() - sentAt
	e.s.deps().TargetReplied(e.req.Group, l.Target, &reply, e.outcome.Latency)
	if !reply.Completed {
		return e.handleErrorReply(l, &reply)
	}
	if e.writes && !e.verifyCommit(l, &reply) {
		e.fail(statement.Unknown, "primary was replaced as the write ran")
		return e.finishAttempt(l)
	}
	l.ReleaseSlot() // a reply may wait for memory
	e.deliver(&reply)
	return e.finishAttempt(l)
}

// setUp puts the values of the session and the prepared statement in force on the connection. The statement must not be sent if it
// fails.
func (e *execution) setUp(l *Lease, deadline clock.Millis) error {
	err := l.Conn.Setup(min(deadline, e.s.now()+setupTimeout), &e.s.values, e.prepared)
	if err != nil && !errors.Is(err, link.ErrSetupRefused) {
		e.s.deps().ConnFailed(e.req.Group, l.Target, l.Conn.LastSend(), err)
	}
	return err
}

// setupTimeout bounds a setup, whose commands take no slot at the target, in milliseconds.
const setupTimeout clock.Millis = 400

// handleSetupError ends an attempt whose statement was not sent, because the setup before it failed.
func (e *execution) handleSetupError(l *Lease, err error) attemptResult {
	e.outcome.Cause = err.Error()
	e.req.Need.Tried = append(e.req.Need.Tried, l.Target)
	e.returnLease(l)
	if e.s.now() < e.deadline {
		return attemptRetry
	}
	e.fail(statement.Busy, "no target accepted the values of the session in time")
	return attemptDone
}

// verifyCommit reports whether a successful commit may be acknowledged, and records it if so. The target must still be
// the primary: a commit that ran while the primary was replaced is in no log afterwards.
func (e *execution) verifyCommit(l *Lease, r *link.Reply) bool {
	// The body is valid only until the next reply is read.
	r.Body = append([]byte(nil), r.Body...)
	if !e.provePrimary(l) {
		return false
	}
	e.s.recordCommit(e.req.Group, r.Point)
	return true
}

// recordCommit records the point of a commit of the session. A point that is not later than the recorded one changes nothing.
func (s *session) recordCommit(g group.ID, p position.Point) {
	if s.lastCommit == nil {
		s.lastCommit = make(map[group.ID]position.Point)
	}
	s.lastCommit[g] = position.Max(s.lastCommit[g], p)
}

// provePrimary reports whether the target proves that it is the primary now.
func (e *execution) provePrimary(l *Lease) bool {
	sentAt := e.s.now()
	r, err := l.Conn.ProvePrimary(min(e.deadline, sentAt+beginTimeout))
	if err != nil {
		e.s.deps().ConnFailed(e.req.Group, l.Target, l.Conn.LastSend(), err)
		return false
	}
	if r.Completed {
		e.s.deps().PrimaryProven(e.req.Group, l.Target, placement.Sample{Point: r.Point, RequestedAt: sentAt})
		return true
	}
	e.s.deps().TargetReplied(e.req.Group, l.Target, &r, e.s.now()-sentAt)
	e.outcome.Cause = r.Code.String()
	return false
}

// beginTimeout bounds a BEGIN, which takes no slot at the target, in milliseconds.
const beginTimeout clock.Millis = 400

// replyDeadline returns when the wait for a reply ends. The first attempt of a read leaves time for another target.
func (e *execution) replyDeadline() clock.Millis {
	now := e.s.now()
	if e.writes || e.hedged {
		return e.deadline
	}
	return min(e.deadline, now+e.route.LatencyObjective/2+hedgeMargin)
}

// hedgeMargin is added to half of the objective of the route to get the wait before a read is tried on another target, in
// milliseconds.
const hedgeMargin clock.Millis = 100

// canKeepWaiting reports whether a reply that did not arrive in time can still be waited for.
func (e *execution) canKeepWaiting(err error) bool {
	return socket.IsTimeout(err) && !e.writes && e.s.now() < e.deadline
}

// handleConnError ends an attempt whose reply did not arrive.
func (e *execution) handleConnError(l *Lease, err error) attemptResult {
	e.outcome.Cause = err.Error()
	if !socket.IsTimeout(err) || e.writes || e.s.now() >= e.deadline {
		l.Conn.Break()
	}
	e.s.deps().ConnFailed(e.req.Group, l.Target, l.Conn.LastSend(), err)
	l.ReleaseSlot()
	if l.Conn.Broken() {
		l.ReleaseConn()
	} else {
		// The reply may still arrive. The target is not asked to cancel the statement.
		e.hedged = true
		l.Drain()
	}
	e.req.Need.Tried = append(e.req.Need.Tried, l.Target)
	switch {
	case e.writes:
		e.fail(statement.Unknown, "no answer to a write that was sent")
		return attemptDone
	case e.s.now() >= e.deadline:
		e.fail(statement.TimedOut, "no answer in time")
		return attemptDone
	}
	return attemptRetry
}

// handleErrorReply ends an attempt that the target answered with an error.
func (e *execution) handleErrorReply(l *Lease, r *link.Reply) attemptResult {
	e.outcome.Cause = r.Code.String()
	code, text := r.Code, r.Text
	if r.State != statement.Idle {
		// The error may have left the target connection in a failed transaction.
		l.Conn.Break()
	}
	switch code {
	case statement.NoStatement:
		if e.prepared != nil {
			l.Conn.Forget(e.prepared)
			return e.returnLease(l)
		}
		e.returnLease(l) // no statement of that name was sent, so the error goes to the caller
	case statement.Busy, statement.Lagging, statement.ReadOnly, statement.WrongTarget, statement.TooManyConnections:
		e.primaryBusy = e.primaryBusy || l.Primary && code == statement.Busy
		e.req.Need.Tried = append(e.req.Need.Tried, l.Target)
		e.returnLease(l)
		if e.s.now() < e.deadline {
			return attemptRetry
		}
	case statement.Failed, statement.TimedOut:
		e.failedRuns++
		e.req.Need.Tried = append(e.req.Need.Tried, l.Target)
		e.returnLease(l)
		if !e.writes && e.failedRuns < maxFailedRuns && e.s.now() < e.deadline {
			return attemptRetry
		}
	default:
		e.returnLease(l)
	}
	e.fail(code, text)
	return attemptDone
}

// finishAttempt returns the lease after the caller has a reply.
func (e *execution) finishAttempt(l *Lease) attemptResult {
	e.returnLease(l)
	return attemptDone
}

// returnLease gives back the slot and the connection of the lease. It always returns attemptRetry.
func (e *execution) returnLease(l *Lease) attemptResult {
	l.ReleaseSlot()
	l.ReleaseConn()
	return attemptRetry
}
