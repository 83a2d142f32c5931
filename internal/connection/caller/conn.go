package caller

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// phase is what a connection is doing, for the limits that the server keeps.
type phase int

const (
	phaseStartup phase = iota
	// phaseIdle for the caller outside a transaction
	phaseIdle
	// phaseIdleInTransaction is waiting for the caller inside a transaction.
	phaseIdleInTransaction
	phaseExecuting
	phaseWriting
)

// conn is one caller's connection; its own goroutine uses all but what mu guards.
type conn struct {
	server   *Server
	netConn  net.Conn
	backend  *pgproto3.Backend
	user     User
	service  *service.Service
	session  *session.Session
	prepared map[string]*preparedStatement
	portals  map[string]*preparedStatement
	exchange exchange
	reply    reply
	plan     plan
	tx       transaction
	// application is the name that the caller gave itself.
	application string
	// reportedFloor is the floor whose token the caller has.
	reportedFloor position.Point
	// skipToSync is true from an error behind a Flush up to the next Sync.
	skipToSync bool
	key        cancelKey
	// hasSession is guarded by the server's mu.
	hasSession bool

	mu         sync.Mutex
	phase      phase
	phaseSince clock.Millis
	lease      *Lease
	ctx        context.Context
	cancel     context.CancelCauseFunc
	// noReuse is true once the lease's target was asked to cancel, or was cut.
	noReuse  bool
	draining bool
	closing  bool
}

// transaction is the state of the caller's transaction.
type transaction struct {
	// open is true from BEGIN until the transaction has ended.
	open bool
	// failed is true when the proxy has lost or refused the transaction and the caller has yet to roll back.
	failed bool
	// pendingBegin is the BEGIN that has yet to be sent to a target.
	pendingBegin string
	// request as which the whole transaction counts, once it has a lease.
	request service.Request
	// requestNamed is true once a name has been seen, in the BEGIN or a statement.
	requestNamed bool
	lease        *Lease
	// attempts and arrived are for the report.
	attempts int
	arrived  clock.Millis
}

// status byte that ReadyForQuery tells the caller.
func (t *transaction) status() byte {
	switch {
	case t.failed:
		return 'E'
	case t.open:
		return 'T'
	default:
		return 'I'
	}
}

// setPhase changes the phase and reports false when the connection has to end.
func (c *conn) setPhase(p phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	c.phaseSince = c.server.cfg.Clock.Now()
	if p != phaseIdle && p != phaseIdleInTransaction {
		return true
	}
	return !c.closing && (p == phaseIdleInTransaction || !c.draining)
}

// write sends b to the caller under the write timeout.
func (c *conn) write(b []byte) error {
	previous := c.swapPhase(phaseWriting)
	_, err := c.netConn.Write(b)
	c.swapPhase(previous)
	if err != nil {
		return errCallerGone
	}
	return nil
}

// swapPhase changes the phase and returns the one before; a startup stays one, with its own limit.
func (c *conn) swapPhase(p phase) phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.phase
	if previous != phaseStartup {
		c.phase = p
		c.phaseSince = c.server.cfg.Clock.Now()
	}
	return previous
}

// startDraining ends the connection if it waits outside a transaction, else once it comes to that.
func (c *conn) startDraining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.phase == phaseIdle || c.phase == phaseStartup {
		_ = c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// abort ends the exchange at work with cause: its target connection is closed and its waits end.
func (c *conn) abort(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked(cause)
}

func (c *conn) abortLocked(cause error) {
	// The context first: whoever finds the connection closed must see why.
	if c.cancel != nil {
		c.cancel(cause)
	}
	if c.lease != nil {
		c.noReuse = true
		c.lease.Conn.Close()
	}
}

// closeAfterReply ends the connection as soon as its exchange, which was cut, has been answered.
func (c *conn) closeAfterReply() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.phase != phaseExecuting {
		_ = c.netConn.Close()
	}
}

// enforceTimeouts applies the server's limits at one moment.
func (c *conn) enforceTimeouts(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg := &c.server.cfg
	age := now - c.phaseSince
	switch {
	case c.phase == phaseStartup && age > cfg.StartupTimeout:
		if c.cancel != nil {
			c.cancel(errTimeout)
		}
		_ = c.netConn.Close()
	case c.phase == phaseWriting && age > cfg.WriteTimeout:
		_ = c.netConn.Close()
	case c.phase == phaseIdleInTransaction && age > cfg.TransactionIdleTimeout:
		_ = c.netConn.SetReadDeadline(time.Unix(1, 0))
	case c.phase == phaseExecuting && age > cfg.RequestTimeout:
		c.abortLocked(errTimeout)
	}
}

var (
	errTimeout  = errors.New("request timeout")
	errDraining = errors.New("proxy is draining")
)

// serve runs the connection from its startup to its end.
func (c *conn) serve(ctx context.Context) {
	defer c.shutdown()
	if !c.startUp(c.renewContext(ctx)) {
		return
	}
	for {
		if !c.setPhase(c.idlePhase()) {
			c.sendFatal(refusal.Draining("proxy is going"))
			return
		}
		if err := c.readExchange(); err != nil {
			c.sendCloseReason(err)
			return
		}
		c.setPhase(phaseExecuting)
		if ctx.Err() == nil && c.ctx.Err() != nil {
			c.renewContext(ctx)
		}
		if err := c.serveExchange(); err != nil {
			return
		}
	}
}

// idlePhase is the phase in which the connection waits for its caller.
func (c *conn) idlePhase() phase {
	if c.tx.open {
		return phaseIdleInTransaction
	}
	return phaseIdle
}

// renewContext gives the connection a context for its next exchanges, which cut ends.
func (c *conn) renewContext(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(nil)
	}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	return c.ctx
}

// sendCloseReason tells the caller why its connection ends, where that is of use.
func (c *conn) sendCloseReason(err error) {
	var refused *refusal.Error
	var timeout net.Error
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	switch {
	case errors.Is(err, errTerminated):
	case errors.As(err, &refused):
		c.sendFatal(refused)
	case errors.As(err, &tooLong):
		c.sendFatal(&refusal.Error{Code: "54000", Message: "message is too long", Detail: refusal.NotRunDetail})
	case errors.As(err, &timeout) && timeout.Timeout():
		c.sendReadTimeout()
	case errors.Is(err, net.ErrClosed), isConnectionClosed(err):
	default:
		c.sendFatal(&refusal.Error{Code: "08P01", Message: "protocol violation"})
	}
}

// sendReadTimeout ends a connection whose read was interrupted by the server.
func (c *conn) sendReadTimeout() {
	if c.tx.open {
		c.sendFatal(&refusal.Error{Code: "25P03", Message: "transaction idle for too long", Detail: refusal.NotRunDetail})
		return
	}
	c.sendFatal(refusal.Draining("proxy is going"))
}

// shutdown gives back what the connection holds.
func (c *conn) shutdown() {
	if c.tx.lease != nil {
		c.releaseLease(false, Lost, "")
	}
	c.mu.Lock()
	if c.cancel != nil {
		c.cancel(nil)
	}
	c.mu.Unlock()
	_ = c.netConn.Close()
}
