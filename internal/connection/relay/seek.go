package relay

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// seekPause is the least time between two looks of a session for a better home.
	seekPause = clock.Second
	// equipTimeout bounds the time in which a new home takes what a session has set, in milliseconds.
	equipTimeout clock.Millis = 400
)

// seekHome moves a session that rests outside a transaction to the daemon that is to serve it, as sessions that stay where an outage has left them hold connections that few daemons were to have.
func (s *session) seekHome(ctx context.Context) {
	if s.home != nil && !s.home.usable() {
		id := s.home.ID
		s.leaveHome()
		s.seams().HomeLost(id)
	}
	now := s.now()
	if s.local || s.tx != nil || now < s.seekAt {
		return
	}
	s.seekAt = now + seekPause
	r, _ := s.seams().Route(s.database)
	if r == nil {
		return
	}
	at := group.DaemonID("")
	if s.home != nil {
		at = s.home.ID
	}
	if s.seams().Serves(r.Group, at) {
		return
	}
	h := s.seams().Home(ctx, r.Group, s.database)
	if h != nil && s.equip(h) != nil {
		_ = h.Wire.Close() // nothing is owed on it
		s.seams().HomeLost(h.ID)
		return
	}
	if h == nil && !s.seams().Serves(r.Group, "") {
		return // no better one is found
	}
	if s.home != nil {
		s.leaveHome()
	}
	s.home, s.informed = h, false
}

var errNotEquipped = errors.New("home refused what the session has set")

// equip puts in force at a new home what the session has set and prepared.
func (s *session) equip(h *Home) error {
	if len(s.setup) == 0 {
		return nil
	}
	until := s.seams().Clock.Deadline(s.now() + equipTimeout)
	var commands []link.Command
	for _, k := range slices.SortedFunc(maps.Keys(s.setup), compareSetup) {
		st := s.setup[k]
		commands = append(commands, link.Command{Kind: link.Forward, ID: st.ID, Text: st.Text})
	}
	if err := h.Wire.Send(until, commands...); err != nil {
		return err
	}
	for range commands {
		r, err := h.Wire.Receive(until)
		if err != nil {
			return err
		}
		if !r.Completed {
			return errNotEquipped
		}
	}
	return nil
}

// setupKey names what a session has set or prepared.
type setupKey struct {
	verb statement.Verb
	name string
}

func compareSetup(a, b setupKey) int {
	return cmp.Or(cmp.Compare(a.verb, b.verb), cmp.Compare(a.name, b.name))
}

// keepSetup notes a statement that a later home has to be told, or that one is no longer in force.
func (s *session) keepSetup(st *statement.Statement) {
	switch st.Verb {
	case statement.Set, statement.Prepare:
		if s.setup == nil {
			s.setup = make(map[setupKey]statement.Statement)
		}
		s.setup[setupKey{st.Verb, st.Name}] = *st
	case statement.Deallocate:
		delete(s.setup, setupKey{statement.Prepare, st.Name})
	}
}

// tells returns the point of the session's last commit where its home has yet to be told it with the statement, and the zero point otherwise.
func (n *run) tells() position.Point {
	if n.s.informed {
		return position.Point{}
	}
	switch n.st.Verb {
	case statement.Begin, statement.BeginRead, statement.Read, statement.Execute:
		n.s.informed = true
		return n.s.written[n.work.Group]
	default:
		return position.Point{}
	}
}
