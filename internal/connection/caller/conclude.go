package caller

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
)

// conclude gives the caller what the last attempt came to.
func (c *conn) conclude(v verdict) error {
	if v.kind == answered {
		return c.giveAnswer(v)
	}
	if v.kind == gone {
		c.giveBack(false, Lost, "")
		return errGone
	}
	inTx := c.tx.open && !c.exchange.mayCommit()
	ends := c.endsByRollback()
	c.giveBack(v.reuse && !c.tx.open, resultOf(v.err), v.err.Code)
	c.session.Settings().Rollback()
	c.tx = transaction{open: inTx, failed: inTx}
	if ends {
		// Nothing of a lost transaction is left, which is what was asked for.
		c.tx = transaction{}
		return c.answerLocally("", "", "ROLLBACK")
	}
	return c.sendError(v.err)
}

// endsByRollback reports whether the exchange is nothing but the ROLLBACK of an open transaction.
func (c *conn) endsByRollback() bool {
	r, ok := c.exchange.only()
	return ok && c.tx.open && r.Kind == session.Rollback
}

func resultOf(err *refusal.Error) Result {
	if err.Code == refusal.UnknownOutcomeCode {
		return Unknown
	}
	return Refused
}

// errGone means that the caller cannot be written to.
var errGone = errors.New("caller is gone")

// giveAnswer sends the target's answer, with a token if the session's floor has risen.
func (c *conn) giveAnswer(v verdict) error {
	ans := &c.answer
	c.tellToken()
	if c.failedAtBegin() {
		c.giveBack(v.reuse, Acknowledged, ans.code)
		c.tx = transaction{open: true, failed: true}
		return c.finish(c.tx.status(), true)
	}
	if ans.status == 'I' {
		c.giveBack(v.reuse, Acknowledged, ans.code)
		c.tx = transaction{}
	} else {
		c.tx.open, c.tx.begin = true, ""
	}
	return c.finish(ans.status, ans.errored)
}

// tellToken hands the caller the token of a floor that it was not told yet: of its own write, or of the sample that its first read took.
func (c *conn) tellToken() {
	floor := c.session.Floor()
	if !c.session.Floored() || floor == c.told {
		return
	}
	c.told = floor
	c.answer.add(&pgproto3.ParameterStatus{Name: session.TokenParameter, Value: c.session.Token()})
}

// failedAtBegin reports whether the BEGIN that was sent along with the exchange failed, so that the caller has to be told that its transaction is over.
func (c *conn) failedAtBegin() bool {
	return c.tx.begin != "" && c.answer.errored && c.answer.status == 'I' && !c.exchange.has(session.Commit)
}

// finish ends the exchange towards the caller.
func (c *conn) finish(status byte, errored bool) error {
	if c.exchange.flush {
		c.skipping = errored
	} else {
		c.skipping = false
		c.answer.add(&pgproto3.ReadyForQuery{TxStatus: status})
	}
	return c.forward()
}

// refuse answers an exchange of which nothing was sent; a transaction fails by it.
func (c *conn) refuse(err error) error {
	var refused *refusal.Error
	if !errors.As(err, &refused) {
		refused = refusal.NoPrimary(err.Error())
	}
	if c.tx.lease != nil {
		c.giveBack(false, Refused, refused.Code)
	} else {
		c.report(c.outcome(Refused, refused.Code))
	}
	c.session.Settings().Rollback()
	inTx := c.tx.open && !c.exchange.mayCommit()
	c.tx = transaction{open: inTx, failed: inTx}
	return c.sendError(refused)
}

// sendError ends the exchange with an error; what was held of an answer is dropped.
func (c *conn) sendError(err *refusal.Error) error {
	c.answer.buf = c.answer.buf[:0]
	c.answer.add(errorMessage(err, "ERROR"))
	return c.finish(c.tx.status(), true)
}

func errorMessage(err *refusal.Error, severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: err.Code, Message: err.Message, Detail: err.Detail,
	}
}

// sendFatal says why the connection ends, on a best effort.
func (c *conn) sendFatal(err *refusal.Error) {
	c.answer.reset()
	c.answer.add(errorMessage(err, "FATAL"))
	_ = c.forward()
}

// forward writes what is held to the caller.
func (c *conn) forward() error {
	err := c.write(c.answer.buf)
	c.answer.forwarded = true
	c.answer.buf = c.answer.buf[:0]
	return err
}
