package caller

import (
	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

// readOnlyCode is the SQLSTATE of a write at a target that is not a primary.
const readOnlyCode = "25006"

// decide returns whether a complete reply may go to the caller. A majority must first hold what the exchange committed, or read, at a primary.
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
		a.c.session.RaiseFloor(pos.Applied)
	}
	return decision{kind: decisionReply, reuse: reuse}
}

// needsConfirmation reports whether the exchange committed something, or read committed data, that a majority has to hold before the caller gets the reply.
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
		// Statements after a ROLLBACK in the same exchange commit by themselves.
		return !a.c.tx.open || !rep.rolledBack || len(a.c.exchange.statements) > 1
	}
}

// finalPosition returns the target's position after the exchange. It reads the reply to the position query that followed the exchange, or sends one now if the exchange needs confirmation without it.
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

// breakOnError marks the target connection as broken after an error in the position query.
func (a *attempt) breakOnError(err error) error {
	if err != nil {
		a.lease.Conn.MarkBroken()
	}
	return err
}

// targetDemoted reports whether the exchange failed only because the target is no longer primary.
func (a *attempt) targetDemoted(pos target.PositionReply, err error) bool {
	rep := &a.c.reply
	return err == nil && a.positionQueued && !pos.Primary && rep.errorCode == readOnlyCode && !rep.forwarded && !a.c.tx.open
}

// targetOverloaded reports whether the target refused the exchange because it had no free slot, so that nothing of it took effect.
func (a *attempt) targetOverloaded() bool {
	rep := &a.c.reply
	return rep.errorCode == refusal.OverloadedCode && rep.status == 'I' && !rep.forwarded && !rep.committed && a.first && !a.c.tx.open
}

// unconfirmed decides on an exchange of which no majority is known to hold what it read or wrote.
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

// updateSession records the changes that the exchange made to the session's parameters and prepared statements.
func (a *attempt) updateSession() {
	c, t, rep := a.c, a.lease.Conn, &a.c.reply
	if rep.deallocatedAll {
		t.ClearPrepared()
		clear(c.prepared)
		c.preparedBytes = 0
	}
	settings := c.session.Settings()
	if stmt, ok := c.exchange.single(); ok && !rep.hasError {
		switch stmt.Kind {
		case session.SetParameter:
			settings.AddPending(stmt.Name, stmt.SQL)
		case session.ResetParameter:
			settings.AddPending(stmt.Name, "")
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
