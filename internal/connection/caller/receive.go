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
	more progress = iota
	complete
	nonsense
)

// receive reads the answer to the exchange and settles it.
func (a *attempt) receive() verdict {
	for {
		msg, err := a.lease.Conn.Receive()
		if err != nil {
			return a.lost()
		}
		switch a.take(msg) {
		case complete:
			return a.settle()
		case nonsense:
			return a.lost()
		}
		if _, ok := msg.(*pgproto3.DataRow); !ok {
			continue
		}
		if err := a.stream(); errors.Is(err, errTooLong) {
			return a.lost()
		} else if err != nil {
			a.lease.Conn.Break()
			return verdict{kind: gone}
		}
	}
}

// take puts one message of the target into the answer.
func (a *attempt) take(msg pgproto3.BackendMessage) progress {
	ans := &a.c.answer
	a.answerLocal()
	switch m := msg.(type) {
	case *pgproto3.DataRow:
		ans.add(m)
		return a.within(stepExecute)
	case *pgproto3.CommandComplete:
		if a.prefix > 0 && !a.begun {
			a.begun = true
			return more
		}
		ans.tag(m.CommandTag)
		return a.step(m, stepExecute)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return a.step(m, stepExecute)
	case *pgproto3.ParseComplete:
		return a.step(m, stepParse)
	case *pgproto3.BindComplete:
		return a.step(m, stepBind)
	case *pgproto3.CloseComplete:
		return a.step(m, stepClosePortal)
	case *pgproto3.ParameterDescription:
		ans.add(m)
		return a.within(stepDescribeStatement)
	case *pgproto3.RowDescription:
		if a.c.exchange.simple {
			ans.add(m)
			return more
		}
		return a.step(m, stepDescribePortal)
	case *pgproto3.NoData:
		return a.step(m, stepDescribePortal)
	case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
		ans.add(m)
		return more
	case *pgproto3.NotificationResponse:
		return more
	case *pgproto3.ErrorResponse:
		return a.takeError(m)
	case *pgproto3.ReadyForQuery:
		return a.takeReady(m)
	default:
		return nonsense
	}
}

func (a *attempt) takeError(m *pgproto3.ErrorResponse) progress {
	if m.Severity == "FATAL" || m.Severity == "PANIC" || a.c.answer.errored {
		return nonsense
	}
	ans := &a.c.answer
	ans.errored = true
	ans.code = m.Code
	if m.Position > int32(a.prefix) {
		m.Position -= int32(a.prefix)
	}
	ans.add(m)
	if !a.c.plan.abandon(a.lease.Conn) || staleStatement(m.Code) {
		a.known = false
	}
	return more
}

// staleStatement reports whether the error may come from a prepared statement that no longer fits.
func staleStatement(code string) bool { return code == "0A000" || code == "26000" }

func (a *attempt) takeReady(m *pgproto3.ReadyForQuery) progress {
	if a.c.plan.current() != nil {
		return nonsense
	}
	a.c.answer.status = m.TxStatus
	return complete
}

// within accepts a message that leaves the step due.
func (a *attempt) within(k stepKind) progress {
	d := a.c.plan.current()
	if a.c.exchange.simple {
		return only(k == stepExecute)
	}
	return only(d != nil && d.kind == k)
}

// step accepts a message that completes a step, and forwards it unless the step is the proxy's own.
func (a *attempt) step(m pgproto3.BackendMessage, k stepKind) progress {
	ans := &a.c.answer
	if a.c.exchange.simple {
		ans.completions++
		ans.add(m)
		// A query of no statement at all is answered once as well.
		return only(k == stepExecute && ans.completions <= max(1, len(a.c.exchange.runs)))
	}
	d := a.c.plan.current()
	if d == nil || !completes(d.kind, k) {
		return nonsense
	}
	a.c.plan.next++
	if d.step != ownStep {
		a.c.exchange.steps[d.step].done = true
		ans.add(m)
	}
	a.answerLocal()
	return more
}

// only accepts a message if it fits.
func only(fits bool) progress {
	if fits {
		return more
	}
	return nonsense
}

// completes reports whether a message for k fits the step; describes and closes share their messages.
func completes(step, k stepKind) bool {
	switch step {
	case stepDescribeStatement:
		return k == stepDescribePortal
	case stepCloseStatement:
		return k == stepClosePortal
	default:
		return step == k
	}
}

// answerLocal answers the steps that were not sent.
func (a *attempt) answerLocal() {
	for d := a.c.plan.current(); d != nil && d.local; d = a.c.plan.current() {
		a.c.plan.next++
		a.c.exchange.steps[d.step].done = true
		if d.kind == stepParse {
			a.c.answer.add(&pgproto3.ParseComplete{})
		} else {
			a.c.answer.add(&pgproto3.CloseComplete{})
		}
	}
}

// stream forwards what is held when it is much, unless that would acknowledge a commit; it is called behind a row.
func (a *attempt) stream() error {
	ans := &a.c.answer
	limit := a.c.server.cfg.MaxHeld
	switch {
	case len(ans.buf) <= limit:
		return nil
	case !ans.committed:
		return a.c.forward()
	case len(ans.buf) > maxHeldFactor*limit:
		return errTooLong
	default:
		return nil
	}
}

// errTooLong means that an answer that must not be forwarded yet has become too long to hold.
var errTooLong = errors.New("answer is too long to be held back")
