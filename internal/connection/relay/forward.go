package relay

import (
	"context"
	"net"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/connection/socket"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// homeReplyMargin is how long after the timeout of the route the reply of the home daemon may arrive, in milliseconds.
const homeReplyMargin clock.Millis = 400

// Home is a session at the home daemon, which is the daemon that serves a group for this one.
type Home struct {
	ID   group.DaemonID
	Wire link.Wire
	TCP  net.Conn
}

// usable reports whether the connection to the home daemon is open and carries no unsolicited input.
func (h *Home) usable() bool { return !h.Wire.Buffered() && socket.IsIdle(h.TCP) }

// forward sends a statement to the home daemon of the session. It returns false, and sends nothing, if the database has no
// route any more.
func (s *session) forward(ctx context.Context, st *statement.Statement) bool {
	r, _ := s.deps().Route(s.database)
	if r == nil {
		s.closeHome()
		return false
	}
	if refused := s.holdSetup(st); refused != nil {
		s.fail(refused.Code, refused.Text)
		return true
	}
	e := &execution{s: s, st: st, route: r, writes: st.Writes, asOf: s.now()}
	if p := s.prepared[st.Name]; st.Verb == statement.Execute && p != nil {
		e.writes = p.Writes
	}
	e.req.Group = r.Group
	e.deadline = s.server.answerBy(e.asOf + r.Timeout + homeReplyMargin)
	e.outcome = Outcome{
		Session: s.id, ID: st.ID, Database: s.database, Workspace: s.workspaceID(), Route: r, Verb: st.Verb, Writes: e.writes,
		Arrived: e.asOf, Attempts: 1, Home: s.home.ID,
	}
	clk := s.deps().Clock
	deadline := clk.Deadline(e.deadline)
	err := s.home.Wire.Send(deadline, link.Command{Kind: link.Forward, ID: st.ID, Floor: e.unsentFloor(), Text: st.Text})
	var reply link.Reply
	if err == nil {
		reply, err = s.home.Wire.Receive(deadline)
	}
	if err != nil || ctx.Err() != nil {
		e.handleHomeError(err)
		return true
	}
	e.relayReply(&reply)
	return true
}

// relayReply passes the reply of the home daemon to the caller and applies the transaction state that it reports.
func (e *execution) relayReply(r *link.Reply) {
	s := e.s
	refusal := statement.Refusal{Code: r.Code, Text: r.Text}
	if needsTarget(e.st.Verb) && (!r.Code.NotRun() || refusal.ConcernsTargets()) {
		s.deps().HomeReplied(e.req.Group, e.asOf, r.Code.NotRun())
	}
	if r.Completed {
		e.recordSessionState()
	}
	switch e.st.Verb {
	case statement.Set, statement.Prepare, statement.Deallocate:
		s.settleSetup()
	}
	if e.commits() && r.Completed && (e.writes || s.tx != nil && s.tx.wrote) {
		s.recordCommit(e.req.Group, r.Point)
	}
	switch {
	case r.State == statement.Idle:
		s.tx = nil
	case s.tx == nil:
		s.tx = &transaction{route: e.route, begin: *e.st, arrived: e.asOf}
	}
	if s.tx != nil {
		s.tx.failed = r.State == statement.Aborted
		s.tx.wrote = s.tx.wrote || e.writes
	}
	if r.Completed {
		e.deliver(r)
		return
	}
	s.lastRefused = refusal.ConcernsTargets()
	e.outcome.Code, e.outcome.Cause = r.Code, r.Text
	s.wire.Error(r.Code, r.Text)
	s.wire.Ready(r.State, r.Point)
	e.report()
}

// commits reports whether the statement commits writes: it is a COMMIT, or a write outside a transaction.
func (e *execution) commits() bool {
	return e.st.Verb == statement.Commit || e.writes && e.s.tx == nil
}

// recordSessionState records what the session sets and prepares, so that the session can continue without its home daemon.
func (e *execution) recordSessionState() {
	e.s.recordSetup(e.st)
	switch e.st.Verb {
	case statement.Set:
		e.s.values.Set(e.st.Name, e.st.Value)
	case statement.Prepare:
		e.s.recordPrepared(e.st)
	case statement.Deallocate:
		delete(e.s.prepared, e.st.Name)
	}
}

// handleHomeError ends a statement that the home daemon did not answer. The session continues at this daemon.
func (e *execution) handleHomeError(err error) {
	s := e.s
	cause := "home did not answer"
	if err != nil {
		cause += ": " + err.Error()
	}
	wrote := e.writes || s.tx != nil && s.tx.wrote
	unknown := e.commits() && wrote
	home := s.home.ID
	s.closeHome()
	s.deps().HomeFailed(home)
	if e.st.Verb == statement.Commit {
		s.tx = nil
	}
	if unknown {
		e.fail(statement.Unknown, cause)
		return
	}
	e.fail(statement.Rejected, cause)
}

// closeHome ends the session at the home daemon, which rolls back an open transaction.
func (s *session) closeHome() {
	_ = s.home.Wire.Close() // the connection is not used again
	s.home, s.nextHomeCheck = nil, 0
	if s.tx != nil {
		s.tx.failed = true
	}
}
