package caller

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxHeldFactor is the multiple of MaxHeldBytes up to which a reply is held back if it acknowledges a commit and must not be forwarded yet.
const maxHeldFactor = 16

// progress is the state of a target's reply after one of its messages.
type progress int

const (
	// progressMore means that further messages are due.
	progressMore progress = iota
	// progressComplete means that ReadyForQuery has arrived.
	progressComplete
	// progressInvalid means that the message violates the protocol or ends the session.
	progressInvalid
)

// receive reads the target's reply to the exchange and returns what to do with it.
func (a *attempt) receive() decision {
	for {
		msg, err := a.lease.Conn.Receive()
		if err != nil {
			return a.targetLost()
		}
		switch a.handleMessage(msg) {
		case progressComplete:
			return a.decide()
		case progressInvalid:
			return a.targetLost()
		}
		if _, ok := msg.(*pgproto3.DataRow); !ok {
			continue
		}
		if err := a.forwardLargeReply(); errors.Is(err, errReplyTooLong) {
			return a.targetLost()
		} else if err != nil {
			a.lease.Conn.MarkBroken()
			return decision{kind: decisionCallerGone}
		}
	}
}

// handleMessage checks one message of the target against the plan and adds it to the reply.
func (a *attempt) handleMessage(msg pgproto3.BackendMessage) progress {
	rep := &a.c.reply
	a.completeLocalSteps()
	switch m := msg.(type) {
	case *pgproto3.DataRow:
		rep.add(m)
		return a.acceptPartial(stepExecute)
	case *pgproto3.CommandComplete:
		if a.beginLen > 0 && !a.beginCompleted {
			a.beginCompleted = true
			return progressMore
		}
		rep.noteCommandTag(m.CommandTag)
		return a.acceptComplete(m, stepExecute)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return a.acceptComplete(m, stepExecute)
	case *pgproto3.ParseComplete:
		return a.acceptComplete(m, stepParse)
	case *pgproto3.BindComplete:
		return a.acceptComplete(m, stepBind)
	case *pgproto3.CloseComplete:
		return a.acceptComplete(m, stepClosePortal)
	case *pgproto3.ParameterDescription:
		rep.add(m)
		return a.acceptPartial(stepDescribeStatement)
	case *pgproto3.RowDescription:
		if a.c.exchange.simple {
			rep.add(m)
			return progressMore
		}
		return a.acceptComplete(m, stepDescribePortal)
	case *pgproto3.NoData:
		return a.acceptComplete(m, stepDescribePortal)
	case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
		rep.add(m)
		return progressMore
	case *pgproto3.NotificationResponse:
		return progressMore
	case *pgproto3.ErrorResponse:
		return a.handleError(m)
	case *pgproto3.ReadyForQuery:
		return a.handleReady(m)
	default:
		return progressInvalid
	}
}

// handleError adds an error to the reply; the target skips all further steps of the exchange. Errors that end the session, and a second error, are invalid.
func (a *attempt) handleError(m *pgproto3.ErrorResponse) progress {
	if m.Severity == "FATAL" || m.Severity == "PANIC" || a.c.reply.hasError {
		return progressInvalid
	}
	rep := &a.c.reply
	rep.hasError = true
	rep.errorCode = m.Code
	if m.Position > int32(a.beginLen) {
		m.Position -= int32(a.beginLen)
	}
	rep.add(m)
	if !a.c.plan.skipRemaining(a.lease.Conn) || isStaleStatement(m.Code) {
		a.preparedKnown = false
	}
	return progressMore
}

// isStaleStatement reports whether the error may come from a prepared statement whose plan or name is no longer valid at the target.
func isStaleStatement(code string) bool { return code == "0A000" || code == "26000" }

func (a *attempt) handleReady(m *pgproto3.ReadyForQuery) progress {
	if a.c.plan.current() != nil {
		return progressInvalid
	}
	a.c.reply.status = m.TxStatus
	return progressComplete
}

// acceptPartial accepts a message that belongs to the current step without completing it.
func (a *attempt) acceptPartial(k stepKind) progress {
	d := a.c.plan.current()
	if a.c.exchange.simple {
		return progressIf(k == stepExecute)
	}
	return progressIf(d != nil && d.kind == k)
}

// acceptComplete accepts a message that completes the current step and adds it to the reply, unless the proxy itself added the step.
func (a *attempt) acceptComplete(m pgproto3.BackendMessage, k stepKind) progress {
	rep := &a.c.reply
	if a.c.exchange.simple {
		rep.completions++
		rep.add(m)
		// A query without any statement gets one reply too (EmptyQueryResponse).
		return progressIf(k == stepExecute && rep.completions <= max(1, len(a.c.exchange.statements)))
	}
	d := a.c.plan.current()
	if d == nil || !completesStep(d.kind, k) {
		return progressInvalid
	}
	a.c.plan.next++
	if d.stepIndex != proxyStep {
		a.c.exchange.steps[d.stepIndex].completed = true
		rep.add(m)
	}
	a.completeLocalSteps()
	return progressMore
}

// progressIf accepts a message that is expected and rejects any other.
func progressIf(expected bool) progress {
	if expected {
		return progressMore
	}
	return progressInvalid
}

// completesStep reports whether a message that completes steps of kind k completes this step; both kinds of Describe and of Close share their messages.
func completesStep(step, k stepKind) bool {
	switch step {
	case stepDescribeStatement:
		return k == stepDescribePortal
	case stepCloseStatement:
		return k == stepClosePortal
	default:
		return step == k
	}
}

// completeLocalSteps adds the replies to the steps that were not sent to the target.
func (a *attempt) completeLocalSteps() {
	for d := a.c.plan.current(); d != nil && d.local; d = a.c.plan.current() {
		a.c.plan.next++
		a.c.exchange.steps[d.stepIndex].completed = true
		if d.kind == stepParse {
			a.c.reply.add(&pgproto3.ParseComplete{})
		} else {
			a.c.reply.add(&pgproto3.CloseComplete{})
		}
	}
}

// forwardLargeReply forwards the held part of the reply if it exceeds MaxHeldBytes. It holds back a reply that acknowledges a commit and returns errReplyTooLong once that passes maxHeldFactor. It is called after each row.
func (a *attempt) forwardLargeReply() error {
	rep := &a.c.reply
	limit := a.c.server.cfg.MaxHeldBytes
	switch {
	case len(rep.buf) <= limit:
		return nil
	case !rep.committed:
		return a.c.forward()
	case len(rep.buf) > maxHeldFactor*limit:
		return errReplyTooLong
	default:
		return nil
	}
}

// errReplyTooLong means that a reply that must not be forwarded yet exceeds maxHeldFactor times MaxHeldBytes.
var errReplyTooLong = errors.New("held-back reply exceeds the size limit")
