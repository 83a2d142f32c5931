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
	// homeCheckInterval is the minimum time between two checks of which daemon should serve a session.
	homeCheckInterval = clock.Second
	// replayTimeout bounds the replay of the setup of a session at a new home daemon, in milliseconds.
	replayTimeout clock.Millis = 400
)

// updateHome moves a session that is idle outside a transaction to the daemon that should serve it. After an outage, sessions
// that did not move would hold target connections at more daemons than intended.
func (s *session) updateHome(ctx context.Context) {
	if s.home != nil && !s.home.usable() {
		id := s.home.ID
		s.closeHome()
		s.deps().HomeFailed(id)
	}
	now := s.now()
	if s.forwarded || s.tx != nil || now < s.nextHomeCheck {
		return
	}
	s.nextHomeCheck = now + homeCheckInterval
	r, _ := s.deps().Route(s.database)
	if r == nil {
		return
	}
	current := group.DaemonID("")
	if s.home != nil {
		current = s.home.ID
	}
	if s.deps().Serves(r, s.workspace, current) {
		return
	}
	h := s.deps().Home(ctx, r, s.workspace)
	if h != nil && s.replaySetup(h) != nil {
		_ = h.Wire.Close() // the connection is not used again
		s.deps().HomeFailed(h.ID)
		return
	}
	if h == nil && !s.deps().Serves(r, s.workspace, "") {
		return // no daemon is available that should serve the session
	}
	if s.home != nil {
		s.closeHome()
	}
	s.home, s.floorSent = h, false
}

var errSetupRefused = errors.New("home daemon refused setup of session")

// replaySetup repeats at a new home daemon what the session has set and prepared.
func (s *session) replaySetup(h *Home) error {
	if len(s.setup) == 0 {
		return nil
	}
	deadline := s.deps().Clock.Deadline(s.now() + replayTimeout)
	var commands []link.Command
	for _, k := range slices.SortedFunc(maps.Keys(s.setup), compareSetupKeys) {
		st := s.setup[k]
		commands = append(commands, link.Command{Kind: link.Forward, ID: st.ID, Text: st.Text})
	}
	if err := h.Wire.Send(deadline, commands...); err != nil {
		return err
	}
	for range commands {
		r, err := h.Wire.Receive(deadline)
		if err != nil {
			return err
		}
		if !r.Completed {
			return errSetupRefused
		}
	}
	return nil
}

// setupKey identifies a value or a prepared statement of a session.
type setupKey struct {
	verb statement.Verb
	name string
}

func compareSetupKeys(a, b setupKey) int {
	return cmp.Or(cmp.Compare(a.verb, b.verb), cmp.Compare(a.name, b.name))
}

// recordSetup records a SET or PREPARE that a later home daemon has to be told, or removes what a DEALLOCATE drops.
func (s *session) recordSetup(st *statement.Statement) {
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

// unsentFloor returns the point of the last commit of the session if the statement has to carry it because the home daemon
// does not know it yet, and the zero point otherwise.
func (e *execution) unsentFloor() position.Point {
	if e.s.floorSent {
		return position.Point{}
	}
	switch e.st.Verb {
	case statement.Begin, statement.BeginRead, statement.Read, statement.Execute:
		e.s.floorSent = true
		return e.s.lastCommit[e.req.Group]
	default:
		return position.Point{}
	}
}
