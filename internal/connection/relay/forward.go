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

// forwardMargin is how much longer than the route allows the home's answer may take, in milliseconds.
const forwardMargin clock.Millis = 400

// Home is a session at the daemon that serves a group for this one.
type Home struct {
	ID   group.DaemonID
	Wire link.Wire
	TCP  net.Conn
}

// usable reports whether the home is there and has sent nothing unasked.
func (h *Home) usable() bool { return !h.Wire.Pending() && socket.Quiet(h.TCP) }

// forward gives a statement to the session's home, and reports false when there is none any more and nothing was sent to it.
func (s *session) forward(ctx context.Context, st *statement.Statement) bool {
	r, _ := s.seams().Route(s.database)
	if r == nil {
		s.leaveHome()
		return false
	}
	n := &run{s: s, st: st, route: r, writes: st.Writes, since: s.now()}
	if p := s.prepared[st.Name]; st.Verb == statement.Execute && p != nil {
		n.writes = p.Writes
	}
	n.work.Group = r.Group
	n.until = n.since + r.Timeout + forwardMargin
	n.outcome = Outcome{
		Session: s.id, ID: st.ID, Database: s.database, Route: r, Verb: st.Verb, Writes: n.writes,
		Arrived: n.since, Attempts: 1, Home: s.home.ID,
	}
	clk := s.seams().Clock
	until := clk.Deadline(n.until)
	err := s.home.Wire.Send(until, link.Command{Kind: link.Forward, ID: st.ID, Floor: n.tells(), Text: st.Text})
	var reply link.Reply
	if err == nil {
		reply, err = s.home.Wire.Receive(until)
	}
	if err != nil || ctx.Err() != nil {
		n.loseHome(err)
		return true
	}
	n.relayReply(&reply)
	return true
}

// relayReply gives the caller the home's answer and follows the state that it tells.
func (n *run) relayReply(r *link.Reply) {
	s := n.s
	if n.needsTarget() {
		s.seams().HomeAnswered(n.work.Group, n.since, r.Code.NotRun())
	}
	if r.Completed {
		n.follow()
	}
	if n.ends() && r.Completed && (n.writes || s.tx != nil && s.tx.wrote) {
		s.note(n.work.Group, r.Point)
	}
	switch {
	case r.State == statement.Idle:
		s.tx = nil
	case s.tx == nil:
		s.tx = &transaction{route: n.route, begin: *n.st, arrived: n.since}
	}
	if s.tx != nil {
		s.tx.failed = r.State == statement.Aborted
		s.tx.wrote = s.tx.wrote || n.writes
	}
	if r.Completed {
		n.deliver(r)
		return
	}
	s.turnedAway = r.Code.NotRun()
	n.outcome.Code, n.outcome.Cause = r.Code, r.Text
	s.wire.Error(r.Code, r.Text)
	s.wire.Ready(r.State, r.Point)
	n.report()
}

// needsTarget reports whether the home had to ask a target for the answer, so that it tells of the group.
func (n *run) needsTarget() bool {
	switch n.st.Verb {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		return true
	default:
		return false
	}
}

// ends reports whether the statement keeps what was written.
func (n *run) ends() bool {
	return n.st.Verb == statement.Commit || n.writes && n.s.tx == nil
}

// follow notes what the session sets, so that it can go on without its home.
func (n *run) follow() {
	n.s.keepSetup(n.st)
	switch n.st.Verb {
	case statement.Set:
		n.s.values.Set(n.st.Name, n.st.Value)
	case statement.Prepare:
		n.s.prepare(n.st)
	case statement.Deallocate:
		delete(n.s.prepared, n.st.Name)
	}
}

// loseHome settles a statement whose home did not answer; the session goes on here.
func (n *run) loseHome(err error) {
	s := n.s
	cause := "home did not answer"
	if err != nil {
		cause += ": " + err.Error()
	}
	wrote := n.writes || s.tx != nil && s.tx.wrote
	unsure := n.ends() && wrote
	home := s.home.ID
	s.leaveHome()
	s.seams().HomeLost(home)
	if n.st.Verb == statement.Commit {
		s.tx = nil
	}
	if unsure {
		n.fail(statement.Unknown, cause)
		return
	}
	n.fail(statement.Rejected, cause)
}

// leaveHome ends the session at the home; an open transaction is rolled back with it.
func (s *session) leaveHome() {
	_ = s.home.Wire.Close() // nothing is owed on it
	s.home, s.seekAt = nil, 0
	if s.tx != nil {
		s.tx.failed = true
	}
}
