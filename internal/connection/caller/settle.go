package caller

import (
	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

// readOnlyCode is the error of a write on a target that is no primary.
const readOnlyCode = "25006"

// decide decides, once the target has answered in full, whether the answer may be given.
func (a *attempt) decide() decision {
	a.updateSession()
	pos, err := a.finalPosition()
	reuse := err == nil && a.preparedKnown
	if !a.needsConfirmation() {
		if a.targetDemoted(pos, err) {
			return decision{kind: decisionFail, err: refusal.NoPrimary("target is no longer primary"), reuse: reuse}
		}
		if a.targetOverloaded() {
			d := a.retry(refusal.Overloaded("target has no free slot"))
			d.reuse = d.reuse && reuse
			return d
		}
		return decision{kind: decisionReply, reuse: reuse}
	}
	if err != nil || !pos.Primary || pos.Applied.Term != a.term {
		return a.unconfirmed(reuse)
	}
	if err := a.c.server.deps.Confirm(a.c.ctx, a.c.session.Group(), pos.Applied); err != nil {
		return a.unconfirmed(reuse)
	}
	if a.request.Kind == service.Write {
		a.c.session.Raise(pos.Applied)
	}
	return decision{kind: decisionReply, reuse: reuse}
}

// needsConfirmation reports whether the exchange ended something that a majority must hold before the caller hears of it.
func (a *attempt) needsConfirmation() bool {
	rep := &a.c.reply
	switch {
	case !a.atPrimary || len(a.c.exchange.statements) == 0:
		return false
	case rep.committed:
		return true
	case rep.status != 'I' || rep.hasError:
		return false
	default:
		// What follows a ROLLBACK in the same exchange commits by itself.
		return !a.c.tx.open || !rep.rolledBack || len(a.c.exchange.statements) > 1
	}
}

// finalPosition reads the answer to the position query behind the exchange, and asks now if there was none and one is needed.
func (a *attempt) finalPosition() (target.PositionReply, error) {
	t := a.lease.Conn
	if a.positionQueued {
		pos, err := t.ReceivePosition()
		return pos, a.breakOnError(err)
	}
	if !a.needsConfirmation() {
		return target.PositionReply{}, nil
	}
	pos, err := t.Position(a.c.ctx)
	return pos, a.breakOnError(err)
}

// breakOnError breaks the connection on any error in the proxy's own exchange.
func (a *attempt) breakOnError(err error) error {
	if err != nil {
		a.lease.Conn.Break()
	}
	return err
}

// targetDemoted reports whether the exchange failed only since the target has ceased to be primary.
func (a *attempt) targetDemoted(pos target.PositionReply, err error) bool {
	rep := &a.c.reply
	return err == nil && a.positionQueued && !pos.Primary && rep.errorCode == readOnlyCode && !rep.forwarded && !a.c.tx.open
}

// targetOverloaded reports whether the target refused the exchange for want of a slot, so that nothing of it took effect.
func (a *attempt) targetOverloaded() bool {
	rep := &a.c.reply
	return rep.errorCode == refusal.OverloadedCode && rep.status == 'I' && !rep.forwarded && !rep.committed && a.first && !a.c.tx.open
}

// unconfirmed is the verdict when no majority is known to hold what was seen or written.
func (a *attempt) unconfirmed(reuse bool) decision {
	cancelled := a.c.ctx.Err() != nil
	switch {
	case !a.hasNoEffect():
		return decision{kind: decisionFail, err: refusal.UnknownOutcome("outcome unknown"), reuse: reuse}
	case cancelled:
		return decision{kind: decisionFail, err: refusal.ReadDeadline("read was cut off"), reuse: reuse}
	case a.c.reply.forwarded || !a.first || a.c.tx.open:
		return decision{kind: decisionFail, err: a.readInterrupted("read was not confirmed"), reuse: reuse}
	default:
		d := a.retry(readUnanswered("read was not confirmed"))
		d.reuse = reuse
		return d
	}
}

// updateSession keeps what the exchange has changed of the session's parameters and prepared statements.
func (a *attempt) updateSession() {
	c, t, rep := a.c, a.lease.Conn, &a.c.reply
	if rep.deallocatedAll {
		t.ClearPrepared()
		clear(c.prepared)
	}
	settings := c.session.Settings()
	if r, ok := c.exchange.single(); ok && !rep.hasError {
		switch r.Kind {
		case session.SetParameter:
			settings.Pend(r.Name, r.SQL)
		case session.ResetParameter:
			settings.Pend(r.Name, "")
		}
	}
	switch {
	case rep.status != 'I':
		return
	case rep.rolledBack || rep.hasError:
		settings.Rollback()
	default:
		settings.Commit()
	}
	t.SetSettings(settings.State())
}
