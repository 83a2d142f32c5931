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
	starting phase = iota
	// waiting for the caller outside a transaction
	waiting
	// pausing is waiting for the caller inside a transaction.
	pausing
	working
	writing
)

// conn is one caller's connection; its own goroutine uses all but what mu guards.
type conn struct {
	server     *Server
	wire       net.Conn
	back       *pgproto3.Backend
	user       User
	service    *service.Service
	session    *session.Session
	statements map[string]*statement
	portals    map[string]*statement
	exchange   exchange
	answer     answer
	plan       plan
	tx         transaction
	// application is the name that the caller gave itself.
	application string
	// told is the floor whose token the caller has.
	told position.Point
	// skipping is true from an error behind a Flush up to the next Sync.
	skipping bool
	key      cancelKey
	// admitted is guarded by the server's mu.
	admitted bool

	mu    sync.Mutex
	phase phase
	since clock.Millis
	lease *Lease
	ctx   context.Context
	stop  context.CancelCauseFunc
	// tainted is true once the lease's target was asked to cancel, or was cut.
	tainted  bool
	leaving  bool
	expelled bool
}

// transaction is the state of the caller's transaction.
type transaction struct {
	// open is true from BEGIN until the transaction has ended.
	open bool
	// failed is true when the proxy has lost or refused the transaction and the caller has yet to roll back.
	failed bool
	// begin is the BEGIN that has yet to be sent to a target.
	begin string
	// request as which the whole transaction counts, once it has a lease.
	request service.Request
	// named is true once a name has been seen, in the BEGIN or a statement.
	named bool
	lease *Lease
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

// enter changes the phase and reports false when the connection has to end.
func (c *conn) enter(p phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	c.since = c.server.cfg.Clock.Now()
	if p != waiting && p != pausing {
		return true
	}
	return !c.expelled && (p == pausing || !c.leaving)
}

// write sends b to the caller under the write timeout.
func (c *conn) write(b []byte) error {
	before := c.swap(writing)
	_, err := c.wire.Write(b)
	c.swap(before)
	if err != nil {
		return errGone
	}
	return nil
}

// swap changes the phase and returns the one before; a startup stays one, with its own limit.
func (c *conn) swap(p phase) phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.phase
	if before != starting {
		c.phase = p
		c.since = c.server.cfg.Clock.Now()
	}
	return before
}

// interrupt ends the connection if it waits outside a transaction, else once it comes to that.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	if c.phase == waiting || c.phase == starting {
		_ = c.wire.SetReadDeadline(time.Unix(1, 0))
	}
}

// cut ends the exchange at work with cause: its target connection is closed and its waits end.
func (c *conn) cut(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutLocked(cause)
}

func (c *conn) cutLocked(cause error) {
	// The context first: whoever finds the connection closed must see why.
	if c.stop != nil {
		c.stop(cause)
	}
	if c.lease != nil {
		c.tainted = true
		c.lease.Conn.Close()
	}
}

// expel ends the connection as soon as its exchange, which was cut, has been answered.
func (c *conn) expel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expelled = true
	if c.phase != working {
		_ = c.wire.Close()
	}
}

// check applies the server's limits at one moment.
func (c *conn) check(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg := &c.server.cfg
	age := now - c.since
	switch {
	case c.phase == starting && age > cfg.StartupTimeout:
		if c.stop != nil {
			c.stop(errTimeout)
		}
		_ = c.wire.Close()
	case c.phase == writing && age > cfg.WriteTimeout:
		_ = c.wire.Close()
	case c.phase == pausing && age > cfg.TransactionIdleTimeout:
		_ = c.wire.SetReadDeadline(time.Unix(1, 0))
	case c.phase == working && age > cfg.RequestTimeout:
		c.cutLocked(errTimeout)
	}
}

var (
	errTimeout  = errors.New("request timeout")
	errDraining = errors.New("proxy is draining")
)

// serve runs the connection from its startup to its end.
func (c *conn) serve(ctx context.Context) {
	defer c.end()
	if !c.startUp(c.renewContext(ctx)) {
		return
	}
	for {
		if !c.enter(c.rest()) {
			c.sendFatal(refusal.Draining("proxy is going"))
			return
		}
		if err := c.collect(); err != nil {
			c.leave(err)
			return
		}
		c.enter(working)
		if ctx.Err() == nil && c.ctx.Err() != nil {
			c.renewContext(ctx)
		}
		if err := c.serveExchange(); err != nil {
			return
		}
	}
}

// rest is the phase in which the connection waits for its caller.
func (c *conn) rest() phase {
	if c.tx.open {
		return pausing
	}
	return waiting
}

// renewContext gives the connection a context for its next exchanges, which cut ends.
func (c *conn) renewContext(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stop != nil {
		c.stop(nil)
	}
	c.ctx, c.stop = context.WithCancelCause(ctx)
	return c.ctx
}

// leave tells the caller why its connection ends, where that is of use.
func (c *conn) leave(err error) {
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
		c.leaveInTime()
	case errors.Is(err, net.ErrClosed), isGone(err):
	default:
		c.sendFatal(&refusal.Error{Code: "08P01", Message: "protocol violation"})
	}
}

// leaveInTime ends a connection whose read was interrupted by the server.
func (c *conn) leaveInTime() {
	if c.tx.open {
		c.sendFatal(&refusal.Error{Code: "25P03", Message: "transaction idle for too long", Detail: refusal.NotRunDetail})
		return
	}
	c.sendFatal(refusal.Draining("proxy is going"))
}

// end gives back what the connection holds.
func (c *conn) end() {
	if c.tx.lease != nil {
		c.giveBack(false, Lost, "")
	}
	c.mu.Lock()
	if c.stop != nil {
		c.stop(nil)
	}
	c.mu.Unlock()
	_ = c.wire.Close()
}
