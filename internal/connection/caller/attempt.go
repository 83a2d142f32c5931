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
	// decisionReply means that the answer may go to the caller.
	decisionReply decisionKind = iota + 1
	// decisionRetry means that another lease may be tried; err is for when none is left.
	decisionRetry
	// decisionFail means that the caller gets err.
	decisionFail
	// decisionCallerGone means that the caller does not take its answer.
	decisionCallerGone
)

// decision is how one attempt ended.
type decision struct {
	kind  decisionKind
	err   *refusal.Error
	reuse bool
}

// attempt is one exchange on one lease.
type attempt struct {
	c       *conn
	lease   *Lease
	request service.Request
	// atPrimary is true when what the exchange saw or wrote must be confirmed.
	atPrimary bool
	term      position.Term
	// first is true when the lease has served nothing before.
	first bool
	sent  bool
	// positionQueued is true when a position query was sent behind the exchange.
	positionQueued bool
	// preparedKnown is false once the target's prepared statements may differ from the notes.
	preparedKnown bool
	// beginLen is the length of the BEGIN in front of a simple query, whose answer the caller does not see; 0 when there is none.
	beginLen       int
	beginCompleted bool
}

// runFirst runs the exchange as the first of its lease.
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

// runNext runs a further exchange of a transaction.
func (c *conn) runNext(l *Lease, r service.Request) decision {
	a := attempt{c: c, lease: l, request: r, atPrimary: l.Primary, term: l.Term, preparedKnown: true}
	if err := a.send(); err != nil {
		return a.targetLost()
	}
	return a.receive()
}

// applySettings gives the connection the parameters of the session.
func (c *conn) applySettings(t *target.Conn) error {
	state := c.session.Settings().State()
	if t.Settings() == state {
		return nil
	}
	if err := t.Run(c.ctx, session.Replay(state)); err != nil {
		t.Break()
		return err
	}
	t.SetSettings(state)
	return nil
}

// settingsFailed is the verdict when the session's parameters could not be set.
func (a *attempt) settingsFailed(err error) decision {
	var serverErr *target.ServerError
	if errors.As(err, &serverErr) {
		return decision{kind: decisionFail, err: &refusal.Error{
			Code: serverErr.Code, Message: serverErr.Message, Detail: refusal.NotRunDetail, NotRun: true,
		}}
	}
	return a.targetLost()
}

// send writes the exchange to the target.
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
		// One query, so that nothing runs outside the transaction should its BEGIN fail.
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

// nothingSent reports whether the error came before the first byte left.
func nothingSent(err error) bool {
	var safe interface{ SafeToRetry() bool }
	return errors.Is(err, target.ErrBroken) || errors.As(err, &safe) && safe.SafeToRetry()
}

// beginSeparator keeps a BEGIN that ends in a line comment from taking the statement in.
const beginSeparator = "\n;"

// unknownSettings is a state that equals that of no session.
const unknownSettings = "\x00"

// endsOutsideTransaction reports whether the exchange is expected to end with nothing open at the target.
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

// checkFloor reads the answer to the position query in front of the exchange.
func (a *attempt) checkFloor(floor position.Point) (decision, bool) {
	if a.lease.Primary {
		return decision{}, true
	}
	pos, err := a.lease.Conn.ReceivePosition()
	if err != nil {
		return a.targetLost(), false
	}
	if !pos.Applied.Reaches(floor) {
		a.lease.Conn.Break()
		return a.retry(refusal.NoPrimary("target is behind what the session has seen")), false
	}
	// A replica that was promoted meanwhile is held to what a primary is.
	a.atPrimary, a.term = pos.Primary, pos.Applied.Term
	return decision{}, true
}

// retry is the verdict of a read that another target may answer.
func (a *attempt) retry(err *refusal.Error) decision {
	return decision{kind: decisionRetry, err: err, reuse: !a.lease.Conn.Broken()}
}

// hasNoEffect reports whether the exchange surely changes nothing.
func (a *attempt) hasNoEffect() bool {
	x := &a.c.exchange
	return len(x.statements) == 0 || a.request.Kind == service.Read && (!a.atPrimary || x.isReadOnly())
}

// targetLost is the verdict when the target's answer did not come, or made no sense.
func (a *attempt) targetLost() decision {
	a.lease.Conn.Break()
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

// transactionLost is the verdict when the target was lost before COMMIT was sent.
func (a *attempt) transactionLost(cancelled bool) decision {
	if a.first && a.hasNoEffect() && !a.c.reply.forwarded && !cancelled {
		return a.retry(notCommitted())
	}
	return decision{kind: decisionFail, err: notCommitted()}
}

// readInterrupted refuses a read that cannot be repeated.
func (a *attempt) readInterrupted(message string) *refusal.Error {
	if a.c.reply.forwarded {
		return refusal.Interrupted(message)
	}
	return readUnanswered(message)
}

// readUnanswered refuses a read of which the caller has got nothing.
func readUnanswered(message string) *refusal.Error {
	return &refusal.Error{Code: refusal.NoPrimaryCode, Message: message, Detail: "nothing was returned"}
}

func notCommitted() *refusal.Error {
	return &refusal.Error{
		Code:    "08006",
		Message: "transaction was lost before its commit",
		Detail:  refusal.NotRunDetail,
		NotRun:  true,
	}
}
