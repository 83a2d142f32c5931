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
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// maxSetupEntries bounds the number of values, and of prepared statements, that a session keeps.
	maxSetupEntries = 1024
	// configPollInterval is how often a startup checks for the first configuration, in milliseconds.
	configPollInterval clock.Millis = 20
	// maxReportedID is how much of the ID of a malformed message is reported, in bytes.
	maxReportedID = 64
	// forwardedOpenTimeout bounds the wait of a forwarded session for a configuration, in milliseconds. The other daemon waits for 400 ms.
	forwardedOpenTimeout clock.Millis = 300
	// revokedTransactionTime is how long an open transaction may go on after the key of its caller was taken away, in milliseconds. It
	// leaves most of the time within which a configuration has to be applied for learning of it.
	revokedTransactionTime clock.Millis = 1000
)

// session is one caller connection. Its own goroutine uses all fields except those that mu guards.
type session struct {
	id       SessionID
	server   *Server
	wire     Wire
	database topology.Database
	startup  Startup
	// workspace is the workspace of the session; nil if the route needs none.
	workspace *workspace.Workspace
	values    link.Values
	prepared  map[string]*link.Prepared
	tx        *transaction
	// forwarded is true for a session that another daemon has forwarded.
	forwarded bool
	// home is the session at the home daemon; it is nil while this daemon serves the session itself.
	home *Home
	// lastCommit is the point of the last commit of the session in each group.
	lastCommit map[group.ID]position.Point
	// setup holds the statements that set values and prepare statements, for replay at a later home daemon.
	setup map[setupKey]statement.Statement
	// setupBytes is what the session has drawn for setup from the account of the daemon.
	setupBytes int
	// nextHomeCheck is when to check next which daemon should serve the session.
	nextHomeCheck clock.Millis
	// floorSent is true once the home daemon knows the last commit that the session made elsewhere.
	floorSent bool
	// lastRefused is true from a statement that was refused as not run until one that is served.
	lastRefused bool
	// ended is true once the session has to end after its next reply.
	ended bool

	mu sync.Mutex
	// idle is true while the session waits for its caller outside a transaction.
	idle bool
	// resting is true while the session waits for its caller in a transaction.
	resting bool
	// started is true once startup is set and the session is open.
	started bool
	// revokedAt is when the session was found to have lost its access; 0 while it has it.
	revokedAt clock.Millis
}

// transaction is a caller's open transaction.
type transaction struct {
	route *topology.Route
	begin statement.Statement
	// arrived is when the BEGIN arrived.
	arrived clock.Millis
	// lease is nil until the first statement runs, and after the transaction has failed.
	lease *Lease
	// failed is true if the transaction can only be rolled back.
	failed bool
	// wrote is true if a statement of the transaction has written.
	wrote bool
}

func (s *session) deps() *Dependencies { return &s.server.deps }
func (s *session) now() clock.Millis   { return s.server.deps.Clock.Now() }

// serve runs the session from the startup message to the end of the connection.
func (s *session) serve(ctx context.Context) {
	defer s.teardown()
	if !s.start(ctx) {
		return
	}
	for {
		st, err := s.receive()
		if err != nil && !s.handleMessageError(err) {
			return
		}
		if err == nil {
			s.handle(ctx, st)
		}
		if s.flush() != nil || ctx.Err() != nil || s.ended {
			return
		}
	}
}

// start answers the startup message and reports whether the session continues.
func (s *session) start(ctx context.Context) bool {
	clk := s.deps().Clock
	deadline := s.now() + s.server.cfg.StartupTimeout
	st, err := s.wire.Startup(clk.Deadline(deadline))
	var bad *statement.MessageError
	if errors.As(err, &bad) {
		s.wire.Error(bad.Code, bad.Reason)
		_ = s.flush() // the session ends anyway
		s.reportMessageError(bad)
		return false
	}
	if err != nil {
		return false
	}
	s.database, s.startup = st.Database, st
	r, refused := s.open(ctx, deadline)
	if refused != nil {
		s.refuseStartup(refused)
		return false
	}
	if !s.forwarded {
		s.home, s.nextHomeCheck = s.deps().Home(ctx, r, s.workspace), s.now()+homeCheckInterval
	}
	s.wire.Ready(statement.Idle, position.Point{})
	return s.flush() == nil
}

// open finds the route and the workspace of the session. Until the deadline it waits for the first configuration and, in a forwarded
// session, for the one by which the other daemon knows the workspace.
func (s *session) open(ctx context.Context, deadline clock.Millis) (*topology.Route, *statement.Refusal) {
	if s.forwarded {
		deadline = min(deadline, s.now()+forwardedOpenTimeout)
	}
	for {
		r, known := s.deps().Route(s.database)
		var refused *statement.Refusal
		switch {
		case !known:
			refused = &statement.Refusal{Code: statement.Busy, Text: "no configuration yet, come back in 500 ms"}
		case r == nil:
			return nil, &statement.Refusal{Code: statement.NoDatabase, Text: "no route leads to the database"}
		default:
			refused = s.identify(r)
		}
		if refused == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.started = true
			return r, nil
		}
		if known && !s.forwarded || s.now() >= deadline || s.deps().Clock.Sleep(ctx, configPollInterval) != nil {
			return nil, refused
		}
	}
}

// identify looks up the workspace of the session for the route.
func (s *session) identify(r *topology.Route) *statement.Refusal {
	w, refused := s.deps().Identify(&s.startup, s.forwarded, r)
	if refused == nil {
		s.workspace = w
	}
	return refused
}

// workspaceID returns the workspace of the session; it is empty without one.
func (s *session) workspaceID() workspace.ID {
	if s.workspace == nil {
		return ""
	}
	return s.workspace.ID
}

// checkAccess ends the session, or its transaction, if its key was taken away. It reports whether the statement may run.
func (s *session) checkAccess(st *statement.Statement) bool {
	r, _ := s.deps().Route(s.database)
	if r == nil {
		return true // handled as a statement without a route
	}
	before := s.workspaceID()
	refused := s.identify(r)
	if refused == nil && s.workspaceID() != before {
		// A newer configuration gives the key to another workspace. What runs for the earlier one ends like a revoked key.
		if s.tx != nil && !s.tx.failed {
			refused = &statement.Refusal{Code: statement.NoAuthority}
			s.setRevoked(s.now() - revokedTransactionTime)
		} else if s.home != nil {
			s.closeHome()
		}
	}
	if refused == nil {
		s.setRevoked(0)
		return true
	}
	if s.tx == nil {
		s.refuse(st, refused)
		s.ended = refused.Code == statement.NoAuthority
		return false
	}
	if since := s.setRevoked(s.now()); s.tx.failed || st.Verb == statement.Rollback || s.now() < since+revokedTransactionTime {
		return true
	}
	s.abortTransaction()
	if st.Verb == statement.Commit {
		s.tx = nil
	}
	s.refuse(st, &statement.Refusal{Code: statement.Rejected, Text: "key is no longer valid, transaction is rolled back"})
	return false
}

// setRevoked records that the session has had no access since now, or that it has access if now is 0. It returns since when it has
// had none.
func (s *session) setRevoked(now clock.Millis) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now == 0 || s.revokedAt == 0 {
		s.revokedAt = now
	}
	return s.revokedAt
}

// recheck ends the session if it is idle and its key was taken away, and records the time otherwise.
func (s *session) recheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started || s.forwarded {
		return
	}
	r, _ := s.deps().Route(s.database)
	if r == nil {
		return
	}
	if _, refused := s.deps().Identify(&s.startup, s.forwarded, r); refused == nil || refused.Code != statement.NoAuthority {
		return
	}
	if s.revokedAt == 0 {
		s.revokedAt = s.now()
	}
	if s.idle {
		_ = s.wire.Interrupt() // fails only if the connection is closed already
		return
	}
	expired := s.deps().Clock.After(s.revokedAt + revokedTransactionTime - s.now())
	go func() {
		<-expired
		s.endRevoked()
	}()
}

// refuse answers and reports a statement that is not run.
func (s *session) refuse(st *statement.Statement, refused *statement.Refusal) {
	now := s.now()
	s.deps().Report(&Outcome{
		Session: s.id, ID: st.ID, Database: s.database, Workspace: s.workspaceID(), Verb: st.Verb, Writes: st.Writes,
		Code: refused.Code, Cause: refused.Text, Arrived: now, Finished: now,
	})
	s.fail(refused.Code, refused.Text)
}

func (s *session) refuseStartup(refused *statement.Refusal) {
	s.wire.Error(refused.Code, refused.Text)
	_ = s.flush() // the session ends anyway
	s.deps().Report(&Outcome{Session: s.id, Database: s.database, Code: refused.Code, Cause: refused.Text, Arrived: s.now(), Finished: s.now()})
}

// receive waits for the caller's next statement.
func (s *session) receive() (statement.Statement, error) {
	if s.tx != nil {
		if !s.setResting(true) {
			return statement.Statement{}, net.ErrClosed
		}
		defer s.setResting(false)
		deadline := clock.Millis(0)
		if idle := s.deps().TransactionIdle(); idle > 0 {
			deadline = s.now() + idle
		}
		return s.wire.Receive(s.deps().Clock.Deadline(deadline))
	}
	if !s.setIdle(true) {
		return statement.Statement{}, net.ErrClosed
	}
	defer s.setIdle(false)
	return s.wire.Receive(s.deps().Clock.Deadline(0))
}

// setIdle records whether the session waits for its caller outside a transaction. It returns false if the session has to end.
func (s *session) setIdle(idle bool) bool {
	mustEnd := s.server.isDraining() || s.lastRefused && s.server.isolated.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = idle
	return !mustEnd && s.revokedAt == 0
}

// setResting records whether the session waits for its caller in a transaction. It returns false if the key was taken away so long ago
// that the session has to end.
func (s *session) setResting(resting bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resting = resting
	return s.revokedAt == 0 || s.now() < s.revokedAt+revokedTransactionTime
}

// endRevoked ends the session if it waits for its caller in a transaction and its key was taken away long enough ago.
func (s *session) endRevoked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resting && s.revokedAt > 0 && s.now() >= s.revokedAt+revokedTransactionTime {
		_ = s.wire.Interrupt() // fails only if the connection is closed already
	}
}

// closeIfIdle ends the session if it is idle.
func (s *session) closeIfIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle {
		_ = s.wire.Interrupt() // fails only if the connection is closed already
	}
}

// handleMessageError answers a message that cannot be handled and reports whether the session continues.
func (s *session) handleMessageError(err error) bool {
	var bad *statement.MessageError
	if !errors.As(err, &bad) {
		return false
	}
	s.fail(bad.Code, bad.Reason)
	s.reportMessageError(bad)
	if bad.Fatal {
		_ = s.flush() // the session ends anyway
	}
	return !bad.Fatal
}

// reportMessageError reports a message that was refused because it cannot be handled.
func (s *session) reportMessageError(bad *statement.MessageError) {
	now := s.now()
	id := bad.ID[:min(len(bad.ID), maxReportedID)]
	s.deps().Report(&Outcome{Session: s.id, ID: id, Database: s.database, Code: bad.Code, Cause: bad.Reason, Arrived: now, Finished: now})
}

func (s *session) flush() error {
	return s.wire.Flush(s.deps().Clock.Deadline(s.now() + s.server.cfg.WriteTimeout))
}

// state returns the transaction state that the caller is told.
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

// complete answers a statement that succeeds without a target.
func (s *session) complete() {
	s.wire.Complete()
	s.wire.Ready(s.state(), position.Point{})
}

// fail answers with an error. An open transaction can only be rolled back afterwards.
func (s *session) fail(code statement.Code, text string) {
	if s.tx != nil {
		s.abortTransaction()
	}
	s.lastRefused = code.NotRun()
	s.wire.Error(code, text)
	s.wire.Ready(s.state(), position.Point{})
}

// abortTransaction rolls back the open transaction. The caller still has to end it.
func (s *session) abortTransaction() {
	s.tx.failed = true
	s.returnTransactionLease()
	if s.home != nil {
		s.closeHome() // a later COMMIT must not reach the transaction there
	}
}

// returnTransactionLease rolls back what is open on the connection of the transaction and gives the connection back.
func (s *session) returnTransactionLease() {
	l := s.tx.lease
	s.tx.lease = nil
	if l == nil {
		return
	}
	if l.Conn.Broken() || l.Conn.Pending() > 0 {
		l.Conn.Break()
		l.ReleaseConn()
		return
	}
	if err := l.Conn.Send(s.now()+rollbackTimeout, link.Command{Kind: link.Rollback}); err != nil {
		l.ReleaseConn()
		return
	}
	l.Drain()
}

// rollbackTimeout bounds the time for sending a ROLLBACK, in milliseconds.
const rollbackTimeout clock.Millis = 200

// teardown closes the caller connection and gives back what the session holds.
func (s *session) teardown() {
	if s.home != nil {
		s.closeHome()
	}
	if s.tx != nil {
		s.returnTransactionLease()
	}
	_ = s.wire.Close() // all output has been flushed
}

// handle answers one statement.
func (s *session) handle(ctx context.Context, st statement.Statement) {
	if st.Floor != (position.Point{}) {
		if r, _ := s.deps().Route(s.database); r != nil {
			s.recordCommit(r.Group, st.Floor)
		}
	}
	if !s.checkAccess(&st) {
		return
	}
	s.updateHome(ctx)
	switch {
	case s.comesTooLate(st.Verb):
		s.refuseLate(&st)
	case s.home != nil && s.forward(ctx, &st):
	case s.tx != nil && s.tx.failed:
		s.handleFailed(st)
	case st.Verb == statement.Set, st.Verb == statement.Prepare, st.Verb == statement.Deallocate:
		s.handleSetup(st)
	case s.tx != nil:
		s.handleOpen(ctx, st)
	default:
		s.handleIdle(ctx, st)
	}
}

// comesTooLate reports whether a statement of the open transaction must not begin, as the process stops before it could use its time.
func (s *session) comesTooLate(v statement.Verb) bool {
	return s.tx != nil && !s.tx.failed && needsTarget(v) && s.server.stopsBefore(s.tx.route.Timeout)
}

// refuseLate rolls back the open transaction in place of running a statement that comes too late.
func (s *session) refuseLate(st *statement.Statement) {
	const cause = "daemon stops, transaction is rolled back"
	now := s.now()
	s.deps().Report(&Outcome{
		Session: s.id, ID: st.ID, Database: s.database, Workspace: s.workspaceID(), Route: s.tx.route, Verb: st.Verb, Writes: st.Writes,
		Code: statement.Rejected, Cause: cause, Arrived: now, Finished: now,
	})
	s.abortTransaction()
	if st.Verb == statement.Commit {
		s.tx = nil
	}
	s.fail(statement.Rejected, cause)
}

// needsTarget reports whether a statement cannot be answered without a target.
func needsTarget(v statement.Verb) bool {
	switch v {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		return true
	default:
		return false
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

// handleSetup records what the session sets or prepares. It is put in force on the connection where a later statement runs.
func (s *session) handleSetup(st statement.Statement) {
	if refused := s.holdSetup(&st); refused != nil {
		s.fail(refused.Code, refused.Text)
		return
	}
	defer s.settleSetup()
	switch st.Verb {
	case statement.Set:
		if s.values.Len() >= maxSetupEntries {
			s.fail(statement.TooLarge, "too many values")
			return
		}
		s.values.Set(st.Name, st.Value)
	case statement.Prepare:
		if len(s.prepared) >= maxSetupEntries {
			s.fail(statement.TooLarge, "too many prepared statements")
			return
		}
		s.recordPrepared(&st)
	default:
		delete(s.prepared, st.Name)
	}
	s.recordSetup(&st)
	s.complete()
}

// recordPrepared records a statement shape under its name.
func (s *session) recordPrepared(st *statement.Statement) {
	if s.prepared == nil {
		s.prepared = make(map[string]*link.Prepared)
	}
	s.prepared[st.Name] = link.NewPrepared(st.Shape, st.Writes)
}

func (s *session) handleIdle(ctx context.Context, st statement.Statement) {
	r, _ := s.deps().Route(s.database)
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
		s.returnTransactionLease()
		s.tx = nil
		s.complete()
	default:
		s.runInTransaction(ctx, st)
	}
}
