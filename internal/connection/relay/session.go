package relay

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// maxNames bounds the values, and the prepared statements, that a session keeps.
	maxNames = 1024
	// configPoll is how often a startup looks for the first configuration, in milliseconds.
	configPoll clock.Millis = 20
)

// session is one caller's connection; its own goroutine uses all but what mu guards.
type session struct {
	id       SessionID
	server   *Server
	wire     Wire
	database topology.Database
	values   link.Values
	prepared map[string]*link.Prepared
	tx       *transaction
	// local is true for a session that another daemon has forwarded.
	local bool
	// home serves the session in place of this daemon; nil when there is none.
	home *Home
	// written is the point of the session's last commit in each group.
	written map[group.ID]position.Point
	// setup is what the caller has set and prepared, for a later home.
	setup map[setupKey]statement.Statement
	// seekAt is when a better home is looked for next.
	seekAt clock.Millis
	// informed is true once the home was told what the session wrote elsewhere.
	informed bool
	// turnedAway is true once a statement was refused as not run, until one is served.
	turnedAway bool

	mu sync.Mutex
	// resting is true while the session waits for its caller outside a transaction.
	resting bool
}

// transaction is a caller's open transaction.
type transaction struct {
	route *topology.Route
	begin statement.Statement
	// arrived is when the begin came.
	arrived clock.Millis
	lease   *Lease
	// failed is true when the transaction can only be rolled back.
	failed bool
	wrote  bool
}

func (s *session) seams() *Seams     { return &s.server.seams }
func (s *session) now() clock.Millis { return s.server.seams.Clock.Now() }

// serve runs the session from its startup to its end.
func (s *session) serve(ctx context.Context) {
	defer s.end()
	if !s.startUp(ctx) {
		return
	}
	for {
		st, err := s.next()
		if err != nil && !s.answerMalformed(err) {
			return
		}
		if err == nil {
			s.handle(ctx, st)
		}
		if s.flush() != nil || ctx.Err() != nil {
			return
		}
	}
}

// startUp answers the startup and reports whether the session goes on.
func (s *session) startUp(ctx context.Context) bool {
	clk := s.seams().Clock
	until := s.now() + s.server.cfg.StartupTimeout
	db, err := s.wire.Startup(clk.Deadline(until))
	var bad *statement.MessageError
	if errors.As(err, &bad) {
		s.wire.Error(bad.Code, bad.Reason)
		_ = s.flush() // the session ends anyway
		return false
	}
	if err != nil {
		return false
	}
	s.database = db
	r, known := s.seams().Route(db)
	for !known && s.now() < until && clk.Sleep(ctx, configPoll) == nil {
		r, known = s.seams().Route(db)
	}
	if r == nil {
		s.refuseStartup(known)
		return false
	}
	if !s.local {
		s.home, s.seekAt = s.seams().Home(ctx, r.Group, db), s.now()+seekPause
	}
	s.wire.Ready(statement.Idle, position.Point{})
	return s.flush() == nil
}

func (s *session) refuseStartup(known bool) {
	code, text := statement.Busy, "no configuration yet, come back in 500 ms"
	if known {
		code, text = statement.NoDatabase, "no route leads to the database"
	}
	s.wire.Error(code, text)
	_ = s.flush() // the session ends anyway
	s.seams().Report(&Outcome{Database: s.database, Code: code, Arrived: s.now(), Finished: s.now()})
}

// next waits for the caller's next statement.
func (s *session) next() (statement.Statement, error) {
	if s.tx != nil {
		idle := s.seams().TransactionIdle()
		until := clock.Millis(0)
		if idle > 0 {
			until = s.now() + idle
		}
		return s.wire.Receive(s.seams().Clock.Deadline(until))
	}
	if !s.rest(true) {
		return statement.Statement{}, net.ErrClosed
	}
	defer s.rest(false)
	return s.wire.Receive(s.seams().Clock.Deadline(0))
}

// rest notes whether the session waits outside a transaction, and reports false when it has to end there.
func (s *session) rest(resting bool) bool {
	ends := s.server.isDraining() || s.turnedAway && s.server.away.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resting = resting
	return !ends
}

// interrupt ends the session if it rests.
func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resting {
		_ = s.wire.Interrupt() // fails only when the connection is closed already
	}
}

// answerMalformed answers a message that makes no sense and reports whether the session goes on.
func (s *session) answerMalformed(err error) bool {
	var bad *statement.MessageError
	if !errors.As(err, &bad) {
		return false
	}
	s.fail(bad.Code, bad.Reason)
	if bad.Fatal {
		_ = s.flush() // the session ends anyway
	}
	return !bad.Fatal
}

func (s *session) flush() error {
	return s.wire.Flush(s.seams().Clock.Deadline(s.now() + s.server.cfg.WriteTimeout))
}

// state is what the caller is told of its transaction.
func (s *session) state() statement.State {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.failed:
		return statement.Aborted
	default:
		return statement.Open
	}
}

// complete answers a statement that no target ran.
func (s *session) complete() {
	s.wire.Complete()
	s.wire.Ready(s.state(), position.Point{})
}

// fail answers with an error; an open transaction can only be rolled back from then on.
func (s *session) fail(code statement.Code, text string) {
	if s.tx != nil {
		s.giveUp()
	}
	s.turnedAway = code.NotRun()
	s.wire.Error(code, text)
	s.wire.Ready(s.state(), position.Point{})
}

// giveUp rolls back the open transaction; the caller has yet to end it.
func (s *session) giveUp() {
	s.tx.failed = true
	s.release()
}

// release gives back the connection of the open transaction and rolls back what is open there.
func (s *session) release() {
	l := s.tx.lease
	s.tx.lease = nil
	if l == nil {
		return
	}
	if l.Conn.Broken() || l.Conn.Pending() > 0 {
		l.Conn.Break()
		l.Return()
		return
	}
	if err := l.Conn.Send(s.now()+rollbackTimeout, link.Command{Kind: link.Rollback}); err != nil {
		l.Return()
		return
	}
	l.Drain()
}

// rollbackTimeout bounds the sending of a rollback, in milliseconds.
const rollbackTimeout clock.Millis = 200

// end gives back what the session holds.
func (s *session) end() {
	if s.home != nil {
		s.leaveHome()
	}
	if s.tx != nil {
		s.release()
	}
	_ = s.wire.Close() // all that was owed has been flushed
}

// handle answers one statement.
func (s *session) handle(ctx context.Context, st statement.Statement) {
	if st.Floor != (position.Point{}) {
		if r, _ := s.seams().Route(s.database); r != nil {
			s.note(r.Group, st.Floor)
		}
	}
	s.seekHome(ctx)
	switch {
	case s.home != nil && s.forward(ctx, &st):
	case s.tx != nil && s.tx.failed:
		s.handleFailed(st)
	case st.Verb == statement.Set, st.Verb == statement.Prepare, st.Verb == statement.Deallocate:
		s.handleLocal(st)
	case s.tx != nil:
		s.handleOpen(ctx, st)
	default:
		s.handleIdle(ctx, st)
	}
}

func (s *session) handleFailed(st statement.Statement) {
	switch st.Verb {
	case statement.Rollback:
		s.tx = nil
		s.complete()
	case statement.Commit:
		s.tx = nil
		s.fail(statement.Rejected, "transaction had failed and was rolled back")
	default:
		s.fail(statement.Malformed, "transaction has failed, roll it back")
	}
}

// handleLocal notes what the session sets; it is put in force where a statement runs.
func (s *session) handleLocal(st statement.Statement) {
	switch st.Verb {
	case statement.Set:
		if s.values.Len() >= maxNames {
			s.fail(statement.TooLarge, "too many values")
			return
		}
		s.values.Set(st.Name, st.Value)
	case statement.Prepare:
		if len(s.prepared) >= maxNames {
			s.fail(statement.TooLarge, "too many prepared statements")
			return
		}
		s.prepare(&st)
	default:
		delete(s.prepared, st.Name)
	}
	s.keepSetup(&st)
	s.complete()
}

// prepare notes a statement shape under its name.
func (s *session) prepare(st *statement.Statement) {
	if s.prepared == nil {
		s.prepared = make(map[string]*link.Prepared)
	}
	s.prepared[st.Name] = link.NewPrepared(st.Shape, st.Writes)
}

func (s *session) handleIdle(ctx context.Context, st statement.Statement) {
	r, _ := s.seams().Route(s.database)
	if r == nil {
		s.fail(statement.NoDatabase, "no route leads to the database")
		return
	}
	switch st.Verb {
	case statement.Begin, statement.BeginRead:
		s.tx = &transaction{route: r, begin: st, arrived: s.now()}
		s.complete()
	case statement.Rollback:
		s.complete()
	case statement.Commit:
		s.fail(statement.Malformed, "no transaction is open")
	default:
		s.runSingle(ctx, r, st)
	}
}

func (s *session) handleOpen(ctx context.Context, st statement.Statement) {
	switch st.Verb {
	case statement.Begin, statement.BeginRead:
		s.fail(statement.Malformed, "a transaction is open")
	case statement.Rollback:
		s.release()
		s.tx = nil
		s.complete()
	default:
		s.runInside(ctx, st)
	}
}
