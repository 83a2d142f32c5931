package caller

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxHeldFactor is by how much an answer that must not be forwarded yet may pass MaxHeld.
const maxHeldFactor = 16

// progress says how the reading of an answer goes on.
type progress int

const (
	progressMore progress = iota
	progressComplete
	progressInvalid
)

// receive reads the answer to the exchange and settles it.
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
			a.lease.Conn.Break()
			return decision{kind: decisionCallerGone}
		}
	}
}

// handleMessage puts one message of the target into the answer.
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

// isStaleStatement reports whether the error may come from a prepared statement that no longer fits.
func isStaleStatement(code string) bool { return code == "0A000" || code == "26000" }

func (a *attempt) handleReady(m *pgproto3.ReadyForQuery) progress {
	if a.c.plan.current() != nil {
		return progressInvalid
	}
	a.c.reply.status = m.TxStatus
	return progressComplete
}

// acceptPartial accepts a message that leaves the step due.
func (a *attempt) acceptPartial(k stepKind) progress {
	d := a.c.plan.current()
	if a.c.exchange.simple {
		return progressIf(k == stepExecute)
	}
	return progressIf(d != nil && d.kind == k)
}

// acceptComplete accepts a message that completes a step, and forwards it unless the step is the proxy's own.
func (a *attempt) acceptComplete(m pgproto3.BackendMessage, k stepKind) progress {
	rep := &a.c.reply
	if a.c.exchange.simple {
		rep.completions++
		rep.add(m)
		// A query of no statement at all is answered once as well.
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

// progressIf accepts a message if it fits.
func progressIf(expected bool) progress {
	if expected {
		return progressMore
	}
	return progressInvalid
}

// completesStep reports whether a message for k fits the step; describes and closes share their messages.
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

// completeLocalSteps answers the steps that were not sent.
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

// forwardLargeReply forwards what is held when it is much, unless that would acknowledge a commit; it is called behind a row.
func (a *attempt) forwardLargeReply() error {
	rep := &a.c.reply
	limit := a.c.server.cfg.MaxHeld
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

// errReplyTooLong means that an answer that must not be forwarded yet has become too long to hold.
var errReplyTooLong = errors.New("answer is too long to be held back")
