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

type verdictKind int

const (
	// answered means that the answer may go to the caller.
	answered verdictKind = iota + 1
	// repeat means that another lease may be tried; err is for when none is left.
	repeat
	// failed means that the caller gets err.
	failed
	// gone means that the caller does not take its answer.
	gone
)

// verdict is how one attempt ended.
type verdict struct {
	kind  verdictKind
	err   *refusal.Error
	reuse bool
}

// attempt is one exchange on one lease.
type attempt struct {
	c       *conn
	lease   *Lease
	request service.Request
	// primary is true when what the exchange saw or wrote must be confirmed.
	primary bool
	term    position.Term
	// first is true when the lease has served nothing before.
	first bool
	sent  bool
	// behind is true when a position query was sent behind the exchange.
	behind bool
	// known is false once the target's prepared statements may differ from the notes.
	known bool
	// prefix is the length of the BEGIN in front of a simple query, whose answer the caller does not see; 0 when there is none.
	prefix int
	begun  bool
}

// attemptFirst runs the exchange as the first of its lease.
func (c *conn) attemptFirst(l *Lease, n route.Need) verdict {
	a := attempt{c: c, lease: l, request: n.Request, primary: l.Primary, term: l.Term, first: true, known: true}
	if err := c.setUp(l.Conn); err != nil {
		return a.notSet(err)
	}
	if !l.Primary {
		l.Conn.SendPosition()
	}
	if err := a.send(); err != nil {
		return a.lost()
	}
	if v, ok := a.receiveFront(n.Floor); !ok {
		return v
	}
	return a.receive()
}

// attempt runs a further exchange of a transaction.
func (c *conn) attempt(l *Lease, r service.Request) verdict {
	a := attempt{c: c, lease: l, request: r, primary: l.Primary, term: l.Term, known: true}
	if err := a.send(); err != nil {
		return a.lost()
	}
	return a.receive()
}

// setUp gives the connection the parameters of the session.
func (c *conn) setUp(t *target.Conn) error {
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

// notSet is the verdict when the session's parameters could not be set.
func (a *attempt) notSet(err error) verdict {
	var said *target.ServerError
	if errors.As(err, &said) {
		return verdict{kind: failed, err: &refusal.Error{
			Code: said.Code, Message: said.Message, Detail: refusal.NotRunDetail, NotRun: true,
		}}
	}
	return a.lost()
}

// send writes the exchange to the target.
func (a *attempt) send() error {
	c, t, x := a.c, a.lease.Conn, &a.c.exchange
	if x.has(session.SetParameter) || x.has(session.ResetParameter) {
		t.SetSettings(unknownSettings)
	}
	c.plan.reset()
	switch {
	case !x.simple:
		c.plan.send(t, x, c.tx.begin)
	case c.tx.begin != "":
		// One query, so that nothing runs outside the transaction should its BEGIN fail.
		a.prefix = len(c.tx.begin) + len(beginSeparator)
		t.Send(&pgproto3.Query{String: c.tx.begin + beginSeparator + x.sql})
	default:
		t.SendEncoded(x.buf, 1)
	}
	a.behind = a.primary && a.ends()
	if a.behind {
		t.SendPosition()
	}
	err := t.Flush()
	a.sent = err == nil || !unsent(err)
	return err
}

// unsent reports whether the error came before the first byte left.
func unsent(err error) bool {
	var safe interface{ SafeToRetry() bool }
	return errors.Is(err, target.ErrBroken) || errors.As(err, &safe) && safe.SafeToRetry()
}

// beginSeparator keeps a BEGIN that ends in a line comment from taking the statement in.
const beginSeparator = "\n;"

// unknownSettings is a state that equals that of no session.
const unknownSettings = "\x00"

// ends reports whether the exchange is expected to end with nothing open at the target.
func (a *attempt) ends() bool {
	x := &a.c.exchange
	if len(x.runs) == 0 {
		return false
	}
	if a.c.tx.open {
		return x.mayCommit()
	}
	return !x.has(session.Begin)
}

// receiveFront reads the answer to the position query in front of the exchange.
func (a *attempt) receiveFront(floor position.Point) (verdict, bool) {
	if a.lease.Primary {
		return verdict{}, true
	}
	place, err := a.lease.Conn.ReceivePosition()
	if err != nil {
		return a.lost(), false
	}
	if !place.Applied.Reaches(floor) {
		a.lease.Conn.Break()
		return a.again(refusal.NoPrimary("target is behind what the session has seen")), false
	}
	// A replica that was promoted meanwhile is held to what a primary is.
	a.primary, a.term = place.Primary, place.Applied.Term
	return verdict{}, true
}

// again is the verdict of a read that another target may answer.
func (a *attempt) again(err *refusal.Error) verdict {
	return verdict{kind: repeat, err: err, reuse: !a.lease.Conn.Broken()}
}

// safe reports whether the exchange surely changes nothing.
func (a *attempt) safe() bool {
	x := &a.c.exchange
	return len(x.runs) == 0 || a.request.Kind == service.Read && (!a.primary || x.reads())
}

// lost is the verdict when the target's answer did not come, or made no sense.
func (a *attempt) lost() verdict {
	a.lease.Conn.Break()
	c := a.c
	cut := c.ctx.Err() != nil
	switch {
	case a.first && !a.sent && !cut:
		return a.again(refusal.NoPrimary("target does not answer"))
	case !a.sent && !c.tx.open:
		return verdict{kind: failed, err: c.interrupted()}
	case c.tx.open && (!a.sent || !c.exchange.mayCommit()):
		return a.lostTransaction(cut)
	case a.safe() && !c.answer.forwarded && a.first && !cut:
		return a.again(unanswered("read was cut off"))
	case a.safe() && cut:
		return verdict{kind: failed, err: refusal.ReadDeadline("read was cut off")}
	case a.safe():
		return verdict{kind: failed, err: a.cutRead("read was cut off")}
	default:
		return verdict{kind: failed, err: refusal.UnknownOutcome("outcome unknown")}
	}
}

// lostTransaction is the verdict when the target was lost before COMMIT was sent.
func (a *attempt) lostTransaction(cut bool) verdict {
	if a.first && a.safe() && !a.c.answer.forwarded && !cut {
		return a.again(notCommitted())
	}
	return verdict{kind: failed, err: notCommitted()}
}

// cutRead refuses a read that cannot be repeated.
func (a *attempt) cutRead(message string) *refusal.Error {
	if a.c.answer.forwarded {
		return refusal.Interrupted(message)
	}
	return unanswered(message)
}

// unanswered refuses a read of which the caller has got nothing.
func unanswered(message string) *refusal.Error {
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
