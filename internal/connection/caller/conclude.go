package caller

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
)

// finishAttempt gives the caller what the last attempt came to.
func (c *conn) finishAttempt(d decision) error {
	if d.kind == decisionReply {
		return c.sendReply(d)
	}
	if d.kind == decisionCallerGone {
		c.releaseLease(false, Lost, "")
		return errCallerGone
	}
	inTx := c.tx.open && !c.exchange.mayCommit()
	rollsBack := c.isOnlyRollback()
	c.releaseLease(d.reuse && !c.tx.open, resultOf(d.err), d.err.Code)
	c.session.Settings().Rollback()
	c.tx = transaction{open: inTx, failed: inTx}
	if rollsBack {
		// Nothing of a lost transaction is left, which is what was asked for.
		c.tx = transaction{}
		return c.replyLocally("", "", "ROLLBACK")
	}
	return c.sendError(d.err)
}

// isOnlyRollback reports whether the exchange is nothing but the ROLLBACK of an open transaction.
func (c *conn) isOnlyRollback() bool {
	r, ok := c.exchange.single()
	return ok && c.tx.open && r.Kind == session.Rollback
}

func resultOf(err *refusal.Error) Result {
	if err.Code == refusal.UnknownOutcomeCode {
		return Unknown
	}
	return Refused
}

// errCallerGone means that the caller cannot be written to.
var errCallerGone = errors.New("caller is gone")

// sendReply sends the target's answer, with a token if the session's floor has risen.
func (c *conn) sendReply(d decision) error {
	rep := &c.reply
	c.addToken()
	if c.beginFailed() {
		c.releaseLease(d.reuse, Acknowledged, rep.errorCode)
		c.tx = transaction{open: true, failed: true}
		return c.finishReply(c.tx.status(), true)
	}
	if rep.status == 'I' {
		c.releaseLease(d.reuse, Acknowledged, rep.errorCode)
		c.tx = transaction{}
	} else {
		c.tx.open, c.tx.pendingBegin = true, ""
	}
	return c.finishReply(rep.status, rep.hasError)
}

// addToken hands the caller the token of a floor that it was not told yet: of its own write, or of the sample that its first read took.
func (c *conn) addToken() {
	floor := c.session.Floor()
	if !c.session.Floored() || floor == c.reportedFloor {
		return
	}
	c.reportedFloor = floor
	c.reply.add(&pgproto3.ParameterStatus{Name: session.TokenParameter, Value: c.session.Token()})
}

// beginFailed reports whether the BEGIN that was sent along with the exchange failed, so that the caller has to be told that its transaction is over.
func (c *conn) beginFailed() bool {
	return c.tx.pendingBegin != "" && c.reply.hasError && c.reply.status == 'I' && !c.exchange.contains(session.Commit)
}

// finishReply ends the exchange towards the caller.
func (c *conn) finishReply(status byte, errored bool) error {
	if c.exchange.endedByFlush {
		c.skipToSync = errored
	} else {
		c.skipToSync = false
		c.reply.add(&pgproto3.ReadyForQuery{TxStatus: status})
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
		c.releaseLease(false, Refused, refused.Code)
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
	c.reply.buf = c.reply.buf[:0]
	c.reply.add(errorMessage(err, "ERROR"))
	return c.finishReply(c.tx.status(), true)
}

func errorMessage(err *refusal.Error, severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: err.Code, Message: err.Message, Detail: err.Detail,
	}
}

// sendFatal says why the connection ends, on a best effort.
func (c *conn) sendFatal(err *refusal.Error) {
	c.reply.reset()
	c.reply.add(errorMessage(err, "FATAL"))
	_ = c.forward()
}

// forward writes what is held to the caller.
func (c *conn) forward() error {
	err := c.write(c.reply.buf)
	c.reply.forwarded = true
	c.reply.buf = c.reply.buf[:0]
	return err
}
