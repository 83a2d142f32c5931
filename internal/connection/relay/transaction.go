package relay

import (
	"context"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/admission"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// runInTransaction runs a statement, or the COMMIT, of the open transaction.
func (s *session) runInTransaction(ctx context.Context, st statement.Statement) {
	e, ok := s.newExecution(s.tx.route, &st)
	if !ok {
		return
	}
	if s.tx.lease == nil {
		e.asOf, e.req.Stage = s.tx.arrived, admission.Begins
		e.req.Need.PrimaryOnly = s.tx.begin.Verb == statement.Begin
		e.runOperation(ctx, e.attemptBegin)
		return
	}
	e.req.Stage = admission.Continues
	leave, err := s.tx.lease.AcquireSlot(ctx, &e.req)
	if err != nil {
		e.refuse(err)
		return
	}
	e.runOnLease(ctx, s.tx.lease, leave) // only a first statement is retried
}

// attemptBegin begins the transaction on one target and runs its first statement there.
func (e *execution) attemptBegin(ctx context.Context, l *Lease) attemptResult {
	tx := e.s.tx
	if err := e.setUp(l, e.deadline); err != nil {
		return e.handleSetupError(l, err)
	}
	sentAt := e.s.now()
	begin := link.Command{Kind: link.Forward, ID: tx.begin.ID, Text: tx.begin.Text}
	if !e.req.Need.PrimaryOnly {
		begin.Floor = e.req.Need.Floor
	}
	reply, err := l.Conn.Run(min(e.deadline, sentAt+beginTimeout), begin)
	if err != nil {
		// No statement after the BEGIN was sent.
		e.outcome.Cause = err.Error()
		l.Conn.Break()
		e.s.deps().ConnFailed(e.req.Group, l.Target, l.Conn.LastSend(), err)
		e.req.Need.Tried = append(e.req.Need.Tried, l.Target)
		e.returnLease(l)
		if e.s.now() < e.deadline {
			return attemptRetry
		}
		e.fail(statement.Rejected, "no target began the transaction in time")
		return attemptDone
	}
	e.s.deps().TargetReplied(e.req.Group, l.Target, &reply, 0)
	if !reply.Completed {
		return e.handleErrorReply(l, &reply)
	}
	if e.req.Need.PrimaryOnly {
		e.s.deps().PrimaryProven(e.req.Group, l.Target, placement.Sample{Point: reply.Point, RequestedAt: sentAt})
	}
	tx.lease = l
	return e.runOnLease(ctx, l, l.ReleaseSlot)
}

// runOnLease runs the statement on the connection of the transaction. The function leave gives back the slot. Only the first statement is
// retried on another target.
func (e *execution) runOnLease(ctx context.Context, l *Lease, leave func()) attemptResult {
	defer leave()
	e.outcome.Attempts = max(e.outcome.Attempts, 1)
	e.outcome.Target, e.outcome.Primary = l.Target, l.Primary
	for {
		if err := e.setUp(l, e.deadline); err != nil {
			e.endTransaction(err, false)
			return attemptDone
		}
		sentAt := e.s.now()
		reply, err := l.Conn.Run(e.deadline, e.command(position.Point{}))
		e.recordRun(&reply, err)
		if err != nil {
			l.Conn.Break()
			e.s.deps().ConnFailed(e.req.Group, l.Target, l.Conn.LastSend(), err)
			e.endTransaction(err, e.st.Verb == statement.Commit && e.s.tx.wrote)
			return attemptDone
		}
		e.outcome.Latency = e.s.now() - sentAt
		e.s.deps().TargetReplied(e.req.Group, l.Target, &reply, e.outcome.Latency)
		if reply.Completed {
			leave() // a reply may wait for memory
			e.completeInTransaction(l, &reply)
			return attemptDone
		}
		if reply.State == statement.Open && e.canRepeat(&reply) && e.s.deps().Clock.Sleep(ctx, retryDelay) == nil {
			if e.req.Stage == admission.Begins && l.Departed() {
				// The target was busy until its drain limit. Nothing has run.
				e.outcome.Cause = reply.Code.String()
				e.req.Need.Tried = append(e.req.Need.Tried, l.Target)
				e.s.returnTransactionLease()
				return attemptRetry
			}
			e.outcome.Attempts++
			continue
		}
		e.handleErrorReplyInTransaction(&reply)
		return attemptDone
	}
}

// canRepeat reports whether a statement that was not run can be sent again on the same connection.
func (e *execution) canRepeat(r *link.Reply) bool {
	if e.s.now()+retryDelay >= e.deadline {
		return false
	}
	if r.Code == statement.NoStatement && e.prepared != nil {
		e.s.tx.lease.Conn.Forget(e.prepared)
		return true
	}
	return r.Code == statement.Busy
}

// completeInTransaction delivers the reply to a statement that succeeded. A COMMIT also ends the transaction.
func (e *execution) completeInTransaction(l *Lease, r *link.Reply) {
	s := e.s
	if e.writes {
		s.tx.wrote = true
	}
	if e.st.Verb == statement.Commit {
		known := !s.tx.wrote || e.verifyCommit(l, r)
		s.tx = nil
		if known {
			e.deliver(r)
		} else {
			e.fail(statement.Unknown, "primary was replaced as the commit ran")
		}
		if r.State != statement.Idle {
			l.Conn.Break()
		}
		l.ReleaseConn()
		return
	}
	e.deliver(r)
}

// endTransaction ends the transaction because of an error other than a reply to its statement. It has taken effect at most if
// mayHaveCommitted is set, which means that a COMMIT of writes was sent.
func (e *execution) endTransaction(err error, mayHaveCommitted bool) {
	e.outcome.Cause = err.Error()
	e.s.returnTransactionLease()
	if e.st.Verb == statement.Commit {
		e.s.tx = nil
	}
	if mayHaveCommitted {
		e.fail(statement.Unknown, "no answer to a commit that was sent")
	} else {
		e.fail(statement.Rejected, "target was lost before the commit, transaction is rolled back")
	}
}

// handleErrorReplyInTransaction ends a statement that the target answered with an error.
func (e *execution) handleErrorReplyInTransaction(r *link.Reply) {
	tx := e.s.tx
	code, text := r.Code, r.Text
	switch {
	case e.st.Verb == statement.Commit && tx.wrote:
		// A COMMIT that ran and failed may or may not have taken effect.
		if code == statement.Failed || code == statement.TimedOut {
			code, text = statement.Unknown, "commit ended with "+r.Code.String()
		}
	case code == statement.Failed, code == statement.TimedOut, code == statement.NoStatement:
		code, text = statement.Rejected, "statement ended with "+r.Code.String()+", transaction is rolled back"
	}
	e.s.returnTransactionLease()
	if e.st.Verb == statement.Commit {
		e.s.tx = nil
	}
	e.fail(code, text)
}
