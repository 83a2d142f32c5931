package caller

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/position"
)

type decisionKind int

const (
	// decisionReply means that the reply may go to the caller.
	decisionReply decisionKind = iota + 1
	// decisionRetry means that the exchange may be tried on another lease; err goes to the caller if no attempt is left.
	decisionRetry
	// decisionFail means that err goes to the caller.
	decisionFail
	// decisionCallerGone means that writing the reply to the caller failed.
	decisionCallerGone
)

// decision is the result of one attempt.
type decision struct {
	kind decisionKind
	err  *refusal.Error
	// reuse is true if the target connection may serve other sessions.
	reuse bool
}

// attempt is the execution of one exchange on one lease.
type attempt struct {
	c       *conn
	lease   *Lease
	request service.Request
	// atPrimary is true if the target is a primary, so that a majority has to confirm what the exchange read or wrote. A replica may report its promotion only in its position reply.
	atPrimary bool
	// term is the term in which a primary has to serve the exchange.
	term position.Term
	// first is true for the first exchange on the lease.
	first bool
	// sent is true once any byte of the exchange may have reached the target.
	sent bool
	// positionQueued is true if a position query follows the exchange.
	positionQueued bool
	// preparedKnown is false once the statements prepared at the target may differ from those recorded for the connection.
	preparedKnown bool
	// beginLen is the length in bytes of the BEGIN, with its separator, that precedes a simple query; 0 if there is none. The caller does not see the reply to it.
	beginLen int
	// beginCompleted is true once the target has completed that BEGIN.
	beginCompleted bool
}

// runFirst runs the exchange as the first one on its lease, with the session's settings and, at a replica, a check of the floor before it.
func (c *conn) runFirst(l *Lease, n route.Need) decision {
	a := attempt{c: c, lease: l, request: n.Request, atPrimary: l.Primary, term: l.Term, first: true, preparedKnown: true}
	if err := c.applySettings(l.Conn); err != nil {
		return a.settingsFailed(err)
	}
	if !l.Primary {
		l.Conn.SendPosition()
	}
	if err := a.send(); err != nil {
		return a.targetLost()
	}
	if d, ok := a.checkFloor(n.Floor); !ok {
		return d
	}
	return a.receive()
}

// runNext runs a later exchange of a transaction on the transaction's lease.
func (c *conn) runNext(l *Lease, r service.Request) decision {
	a := attempt{c: c, lease: l, request: r, atPrimary: l.Primary, term: l.Term, preparedKnown: true}
	if err := a.send(); err != nil {
		return a.targetLost()
	}
	return a.receive()
}

// applySettings sets the session's parameters on the target connection unless they are in force there.
func (c *conn) applySettings(t *target.Conn) error {
	state := c.session.Settings().State()
	if t.Settings() == state {
		return nil
	}
	if err := t.Run(c.ctx, session.RestoreSQL(state)); err != nil {
		t.MarkBroken()
		return err
	}
	t.SetSettings(state)
	return nil
}

// settingsFailed decides on an exchange for which the session's parameters could not be set; an error of the target goes to the caller.
func (a *attempt) settingsFailed(err error) decision {
	var serverErr *target.ServerError
	if errors.As(err, &serverErr) {
		return decision{kind: decisionFail, err: &refusal.Error{
			Code: serverErr.Code, Message: serverErr.Message, Detail: refusal.NotRunDetail, NotRun: true,
		}}
	}
	return a.targetLost()
}

// send writes the exchange to the target, with a pending BEGIN before it and, at a primary, a position query after it if it ends outside a transaction.
func (a *attempt) send() error {
	c, t, x := a.c, a.lease.Conn, &a.c.exchange
	if x.contains(session.SetParameter) || x.contains(session.ResetParameter) {
		t.SetSettings(unknownSettings)
	}
	c.plan.reset()
	switch {
	case !x.simple:
		c.plan.send(t, x, c.tx.pendingBegin)
	case c.tx.pendingBegin != "":
		// BEGIN and statements form one query, so that no statement runs outside the transaction if the BEGIN fails.
		a.beginLen = len(c.tx.pendingBegin) + len(beginSeparator)
		t.Send(&pgproto3.Query{String: c.tx.pendingBegin + beginSeparator + x.sql})
	default:
		t.SendEncoded(x.buf, 1)
	}
	a.positionQueued = a.atPrimary && a.endsOutsideTransaction()
	if a.positionQueued {
		t.SendPosition()
	}
	err := t.Flush()
	a.sent = err == nil || !nothingSent(err)
	return err
}

// nothingSent reports whether a write failed before its first byte was sent.
func nothingSent(err error) bool {
	var safe interface{ SafeToRetry() bool }
	return errors.Is(err, target.ErrBroken) || errors.As(err, &safe) && safe.SafeToRetry()
}

// beginSeparator separates a BEGIN from the statement after it; the newline ends a line comment in which the BEGIN may end.
const beginSeparator = "\n;"

// unknownSettings is a settings state that no session has, so that the next exchange sets the parameters again.
const unknownSettings = "\x00"

// endsOutsideTransaction reports whether the exchange is expected to leave no transaction open at the target.
func (a *attempt) endsOutsideTransaction() bool {
	x := &a.c.exchange
	if len(x.statements) == 0 {
		return false
	}
	if a.c.tx.open {
		return x.mayCommit()
	}
	return !x.contains(session.Begin)
}

// checkFloor reads the reply to the position query that precedes the exchange at a replica. It returns a decision and false if the replica is below the floor.
func (a *attempt) checkFloor(floor position.Point) (decision, bool) {
	if a.lease.Primary {
		return decision{}, true
	}
	pos, err := a.lease.Conn.ReceivePosition()
	if err != nil {
		return a.targetLost(), false
	}
	if !pos.Applied.Reaches(floor) {
		a.lease.Conn.MarkBroken()
		return a.retry(refusal.NoPrimary("target is behind what the session has seen")), false
	}
	// If the replica has been promoted since it was chosen, the exchange has to be confirmed as at any primary.
	a.atPrimary, a.term = pos.Primary, pos.Applied.Term
	return decision{}, true
}

// retry decides on an exchange that another target may serve; err is for the caller if no attempt is left.
func (a *attempt) retry(err *refusal.Error) decision {
	return decision{kind: decisionRetry, err: err, reuse: !a.lease.Conn.Broken()}
}

// hasNoEffect reports whether the exchange certainly changes nothing.
func (a *attempt) hasNoEffect() bool {
	x := &a.c.exchange
	return len(x.statements) == 0 || a.request.Kind == service.Read && (!a.atPrimary || x.isReadOnly())
}

// targetLost decides on an exchange whose reply did not arrive or was invalid; it breaks the target connection.
func (a *attempt) targetLost() decision {
	a.lease.Conn.MarkBroken()
	c := a.c
	cancelled := c.ctx.Err() != nil
	switch {
	case a.first && !a.sent && !cancelled:
		return a.retry(refusal.NoPrimary("target does not answer"))
	case !a.sent && !c.tx.open:
		return decision{kind: decisionFail, err: c.interruptedError()}
	case c.tx.open && (!a.sent || !c.exchange.mayCommit()):
		return a.transactionLost(cancelled)
	case a.hasNoEffect() && !c.reply.forwarded && a.first && !cancelled:
		return a.retry(readUnanswered("read was cut off"))
	case a.hasNoEffect() && cancelled:
		return decision{kind: decisionFail, err: refusal.ReadDeadline("read was cut off")}
	case a.hasNoEffect():
		return decision{kind: decisionFail, err: a.readInterrupted("read was cut off")}
	default:
		return decision{kind: decisionFail, err: refusal.UnknownOutcome("outcome unknown")}
	}
}

// transactionLost decides on a transaction whose target was lost before COMMIT was sent.
func (a *attempt) transactionLost(cancelled bool) decision {
	if a.first && a.hasNoEffect() && !a.c.reply.forwarded && !cancelled {
		return a.retry(notCommitted())
	}
	return decision{kind: decisionFail, err: notCommitted()}
}

// readInterrupted refuses an interrupted read that cannot be retried.
func (a *attempt) readInterrupted(message string) *refusal.Error {
	if a.c.reply.forwarded {
		return refusal.Interrupted(message)
	}
	return readUnanswered(message)
}

// readUnanswered refuses a read of which nothing has been forwarded to the caller.
func readUnanswered(message string) *refusal.Error {
	return &refusal.Error{Code: refusal.NoPrimaryCode, Message: message, Detail: "nothing was returned"}
}

// notCommitted refuses a transaction that was lost before its COMMIT was sent.
func notCommitted() *refusal.Error {
	return &refusal.Error{
		Code:    "08006",
		Message: "transaction was lost before its commit",
		Detail:  refusal.NotRunDetail,
		NotRun:  true,
	}
}
