package caller

import (
	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

// readOnlyCode is the error of a write on a target that is no primary.
const readOnlyCode = "25006"

// settle decides, once the target has answered in full, whether the answer may be given.
func (a *attempt) settle() verdict {
	a.noteSession()
	place, err := a.placeBehind()
	reuse := err == nil && a.known
	if !a.ended() {
		if a.demoted(place, err) {
			return verdict{kind: failed, err: refusal.NoPrimary("target is no longer primary"), reuse: reuse}
		}
		if a.noRoom() {
			v := a.again(refusal.Overloaded("target has no free slot"))
			v.reuse = v.reuse && reuse
			return v
		}
		return verdict{kind: answered, reuse: reuse}
	}
	if err != nil || !place.Primary || place.Applied.Term != a.term {
		return a.unconfirmed(reuse)
	}
	if err := a.c.server.seams.Confirm(a.c.ctx, a.c.session.Group(), place.Applied); err != nil {
		return a.unconfirmed(reuse)
	}
	if a.request.Kind == service.Write {
		a.c.session.Raise(place.Applied)
	}
	return verdict{kind: answered, reuse: reuse}
}

// ended reports whether the exchange ended something that a majority must hold before the caller hears of it.
func (a *attempt) ended() bool {
	ans := &a.c.answer
	switch {
	case !a.primary || len(a.c.exchange.runs) == 0:
		return false
	case ans.committed:
		return true
	case ans.status != 'I' || ans.errored:
		return false
	default:
		// What follows a ROLLBACK in the same exchange commits by itself.
		return !a.c.tx.open || !ans.rolledBack || len(a.c.exchange.runs) > 1
	}
}

// placeBehind reads the answer to the position query behind the exchange, and asks now if there was none and one is needed.
func (a *attempt) placeBehind() (target.PositionReply, error) {
	t := a.lease.Conn
	if a.behind {
		place, err := t.ReceivePosition()
		return place, a.brokenBy(err)
	}
	if !a.ended() {
		return target.PositionReply{}, nil
	}
	place, err := t.Position(a.c.ctx)
	return place, a.brokenBy(err)
}

// brokenBy breaks the connection on any error in the proxy's own exchange.
func (a *attempt) brokenBy(err error) error {
	if err != nil {
		a.lease.Conn.Break()
	}
	return err
}

// demoted reports whether the exchange failed only since the target has ceased to be primary.
func (a *attempt) demoted(place target.PositionReply, err error) bool {
	ans := &a.c.answer
	return err == nil && a.behind && !place.Primary && ans.code == readOnlyCode && !ans.forwarded && !a.c.tx.open
}

// noRoom reports whether the target refused the exchange for want of a slot, so that nothing of it took effect.
func (a *attempt) noRoom() bool {
	ans := &a.c.answer
	return ans.code == refusal.OverloadedCode && ans.status == 'I' && !ans.forwarded && !ans.committed && a.first && !a.c.tx.open
}

// unconfirmed is the verdict when no majority is known to hold what was seen or written.
func (a *attempt) unconfirmed(reuse bool) verdict {
	cut := a.c.ctx.Err() != nil
	switch {
	case !a.safe():
		return verdict{kind: failed, err: refusal.UnknownOutcome("outcome unknown"), reuse: reuse}
	case cut:
		return verdict{kind: failed, err: refusal.ReadDeadline("read was cut off"), reuse: reuse}
	case a.c.answer.forwarded || !a.first || a.c.tx.open:
		return verdict{kind: failed, err: a.cutRead("read was not confirmed"), reuse: reuse}
	default:
		v := a.again(unanswered("read was not confirmed"))
		v.reuse = reuse
		return v
	}
}

// noteSession keeps what the exchange has changed of the session's parameters and prepared statements.
func (a *attempt) noteSession() {
	c, t, ans := a.c, a.lease.Conn, &a.c.answer
	if ans.forgotten {
		t.ClearPrepared()
		clear(c.statements)
	}
	settings := c.session.Settings()
	if r, ok := c.exchange.only(); ok && !ans.errored {
		switch r.Kind {
		case session.SetParameter:
			settings.Pend(r.Name, r.SQL)
		case session.ResetParameter:
			settings.Pend(r.Name, "")
		}
	}
	switch {
	case ans.status != 'I':
		return
	case ans.rolledBack || ans.errored:
		settings.Rollback()
	default:
		settings.Commit()
	}
	t.SetSettings(settings.State())
}
