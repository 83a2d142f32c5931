package caller

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/memory"
	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// phase is the state of a connection; it selects the timeout that applies.
type phase int

const (
	// phaseStartup lasts from accept to the end of the login.
	phaseStartup phase = iota
	// phaseIdle waits for the caller outside a transaction; no timeout applies.
	phaseIdle
	// phaseIdleInTransaction waits for the caller inside a transaction.
	phaseIdleInTransaction
	// phaseExecuting handles an exchange, including the wait for a lease.
	phaseExecuting
	// phaseWriting writes to the caller.
	phaseWriting
)

// conn is one caller's connection. Its own goroutine uses the fields above mu; mu guards the fields below it, and the replacement of netConn, which other goroutines close.
type conn struct {
	server  *Server
	netConn net.Conn
	backend *pgproto3.Backend
	// holder draws the session and its buffers from the account of the daemon, and meter its messages.
	holder *memory.Holder
	meter  *messageMeter
	// received counts the messages received behind the startup message.
	received int
	// preparedBytes is the size of the prepared statements, and stateDrawn what was drawn for them and for parameters.
	preparedBytes int
	stateDrawn    int
	user          User
	service       *service.Service
	session       *session.Session
	prepared      map[string]*preparedStatement
	portals       map[string]*preparedStatement
	exchange      exchange
	reply         reply
	plan          plan
	tx            transaction
	// application is the caller's application_name.
	application string
	// reportedFloor is the floor of the last token that was sent to the caller.
	reportedFloor position.Point
	// skipToSync is true after an error in an exchange that ended in a Flush; messages are skipped up to the next Sync.
	skipToSync bool
	key        cancelKey
	// hasSession is true once the server counts the connection as a session; the server's mu guards it.
	hasSession bool

	mu         sync.Mutex
	phase      phase
	phaseSince clock.Millis
	lease      *Lease
	ctx        context.Context
	cancel     context.CancelCauseFunc
	// noReuse is true once the target of the lease was sent a cancel request or its connection was closed.
	noReuse bool
	// draining is true once the connection has to end outside a transaction.
	draining bool
	// closing is true once the connection has to end after the current reply.
	closing bool
}

// transaction is the state of the caller's transaction, or of a single exchange outside one.
type transaction struct {
	// open is true from BEGIN until the transaction has ended.
	open bool
	// failed is true if the proxy has lost or refused the transaction and the caller has not rolled back yet.
	failed bool
	// pendingBegin is the caller's BEGIN statement until it is sent to a target.
	pendingBegin string
	// request classifies the whole transaction.
	request service.Request
	// requestNamed is true if the BEGIN carries the request name, so that the first statement's name does not apply.
	requestNamed bool
	lease        *Lease
	// attempts and arrived go into the Outcome.
	attempts int
	arrived  clock.Millis
}

// status returns the transaction status byte for the caller's ReadyForQuery.
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

// setPhase changes the phase. It reports false if the connection has to end instead of waiting for the caller.
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

// write sends b to the caller; the sweep closes the connection after the write timeout.
func (c *conn) write(b []byte) error {
	previous := c.swapPhase(phaseWriting)
	_, err := c.netConn.Write(b)
	c.swapPhase(previous)
	if err != nil {
		return errCallerGone
	}
	return nil
}

// swapPhase changes the phase and returns the previous one. It does not change phaseStartup, whose timeout also covers writes.
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

// startDraining ends the connection if it is in startup or idle outside a transaction, or else as soon as it becomes idle.
func (c *conn) startDraining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.phase == phaseIdle || c.phase == phaseStartup {
		_ = c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// abort cancels the running exchange with cause: the exchange stops waiting, and its target connection is closed.
func (c *conn) abort(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked(cause)
}

func (c *conn) abortLocked(cause error) {
	// The context ends first, so that code that finds the target connection closed also finds the reason.
	if c.cancel != nil {
		c.cancel(cause)
	}
	if c.lease != nil {
		c.noReuse = true
		c.lease.Conn.Close()
	}
}

// closeAfterReply closes the connection as soon as the reply to its aborted exchange has been sent.
func (c *conn) closeAfterReply() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.phase != phaseExecuting {
		_ = c.netConn.Close()
	}
}

// enforceTimeouts aborts or closes the connection if the timeout of its phase has passed at now.
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

// serve runs the connection from startup until it is closed.
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
		c.holder.Progress()
	}
}

// idlePhase returns the phase in which the connection waits for the caller's next exchange.
func (c *conn) idlePhase() phase {
	if c.tx.open {
		return phaseIdleInTransaction
	}
	return phaseIdle
}

// renewContext replaces the connection's context, which abort cancels, by a new one.
func (c *conn) renewContext(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(nil)
	}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	return c.ctx
}

// sendCloseReason sends a fatal error for the reason that ends the connection, unless the caller closed it.
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

// sendReadTimeout sends a fatal error for a read that the server interrupted: by the timeout of an idle transaction, or to drain.
func (c *conn) sendReadTimeout() {
	if c.tx.open {
		c.sendFatal(&refusal.Error{Code: "25P03", Message: "transaction idle for too long", Detail: refusal.NotRunDetail})
		return
	}
	c.sendFatal(refusal.Draining("proxy is going"))
}

// shutdown releases the lease and the context and closes the connection.
func (c *conn) shutdown() {
	if c.tx.lease != nil {
		c.releaseLease(false, Disconnected, "")
	}
	c.mu.Lock()
	if c.cancel != nil {
		c.cancel(nil)
	}
	c.mu.Unlock()
	_ = c.netConn.Close()
	c.holder.Close()
}
