package caller

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
)

// finishAttempt releases the lease if it is no longer needed and sends the caller the result of the last attempt.
func (c *conn) finishAttempt(d decision) error {
	if d.kind == decisionReply {
		return c.sendReply(d)
	}
	if d.kind == decisionCallerGone {
		c.releaseLease(false, Disconnected, "")
		return errCallerGone
	}
	inTx := c.tx.open && !c.exchange.mayCommit()
	rollsBack := c.isOnlyRollback()
	c.releaseLease(d.reuse && !c.tx.open, resultOf(d.err), d.err.Code)
	c.session.Settings().Rollback()
	c.tx = transaction{open: inTx, failed: inTx}
	if rollsBack {
		// A lost transaction has been rolled back, as the caller requested.
		c.tx = transaction{}
		return c.replyLocally("", "", "ROLLBACK")
	}
	return c.sendError(d.err)
}

// isOnlyRollback reports whether the exchange consists of just the ROLLBACK of an open transaction.
func (c *conn) isOnlyRollback() bool {
	stmt, ok := c.exchange.single()
	return ok && c.tx.open && stmt.Kind == session.Rollback
}

func resultOf(err *refusal.Error) Result {
	if err.Code == refusal.UnknownOutcomeCode {
		return Unknown
	}
	return Refused
}

// errCallerGone means that a write to the caller, or its TLS handshake, failed.
var errCallerGone = errors.New("caller has disconnected")

// sendReply sends the target's reply, with a token if the session's floor has risen.
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

// addToken adds the token to the reply if the session has a floor that was not reported to the caller yet: that of a write, or of the sample for the first read.
func (c *conn) addToken() {
	floor := c.session.Floor()
	if !c.session.HasFloor() || floor == c.reportedFloor {
		return
	}
	c.reportedFloor = floor
	c.reply.add(&pgproto3.ParameterStatus{Name: session.TokenParameter, Value: c.session.Token()})
}

// beginFailed reports whether the BEGIN that was sent together with the exchange failed. The caller already has a reply to its BEGIN, so that the transaction is reported as failed.
func (c *conn) beginFailed() bool {
	return c.tx.pendingBegin != "" && c.reply.hasError && c.reply.status == 'I' && !c.exchange.contains(session.Commit)
}

// finishReply completes the reply with ReadyForQuery, unless a Flush ended the exchange, and sends it.
func (c *conn) finishReply(status byte, hasError bool) error {
	if c.exchange.endedByFlush {
		c.skipToSync = hasError
	} else {
		c.skipToSync = false
		c.reply.add(&pgproto3.ReadyForQuery{TxStatus: status})
	}
	return c.forward()
}

// refuse replies with an error to an exchange of which nothing was sent; it fails an open transaction and releases its lease.
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

// sendError replies with an error and drops the part of the reply that was held back.
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

// sendFatal sends the reason for which the connection ends; a failed write is ignored, since the connection is closed next.
func (c *conn) sendFatal(err *refusal.Error) {
	c.reply.reset()
	c.reply.add(errorMessage(err, "FATAL"))
	_ = c.forward()
}

// forward writes the held part of the reply to the caller.
func (c *conn) forward() error {
	if held := cap(c.reply.buf); held > maxRetainedBytes {
		if c.holder.Draw(held) != nil {
			return errCallerGone
		}
		defer c.holder.Release(held)
	}
	err := c.write(c.reply.buf)
	c.reply.forwarded = true
	c.reply.buf = c.reply.buf[:0]
	return err
}
