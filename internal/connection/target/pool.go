package target

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// ErrPoolClosed means that Close was called on the pool.
var ErrPoolClosed = errors.New("pool is closed")

// ErrPoolBusy means that no connection became free in time; it says nothing about the target's health.
var ErrPoolBusy = errors.New("all target connections are in use")

// PoolConfig holds the limits of a pool.
type PoolConfig struct {
	// Minimum is the number of connections that Warm opens and Sweep keeps open.
	Minimum int
	// Maximum is the number of connections that may be open at once.
	Maximum int
	// IdleTimeout is how long an idle connection above the minimum stays open; 0 means no limit.
	IdleTimeout clock.Millis
	// Clock is the time source for idle times.
	Clock *clock.Clock
	// Dial opens a connection; nil means the package's Dial.
	Dial func(ctx context.Context, a Address) (*Conn, error)
}

// Counts holds the number of a pool's connections: all open ones, and the idle ones among them.
type Counts struct {
	Open int
	Idle int
}

// Pool holds connections to one target for one user and database.
type Pool struct {
	address Address
	mu      sync.Mutex
	cfg     PoolConfig
	idle    []idleConn
	open    int
	closed  bool
	// freed is closed when a connection becomes idle or another one may be opened; nil while no call of Get waits.
	freed chan struct{}
}

type idleConn struct {
	conn      *Conn
	idleSince clock.Millis
}

// NewPool returns an empty pool.
func NewPool(a Address, cfg PoolConfig) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = Dial
	}
	return &Pool{address: a, cfg: cfg}
}

// Get returns an idle connection, opens a new one, or waits for one. It returns ErrPoolBusy if ctx ends during the wait and ErrPoolClosed after Close.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		c, freed, err := p.tryAcquire()
		if err != nil || c != nil {
			return c, err
		}
		if freed == nil {
			return p.dialReserved(ctx)
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrPoolBusy, ctx.Err())
		}
	}
}

// tryAcquire returns an idle connection, or a channel to wait on. It returns neither if Get may open a new connection, which is then counted as open.
func (p *Pool) tryAcquire() (*Conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrPoolClosed
	}
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1].conn
		p.idle = p.idle[:n-1]
		if c.usable() {
			return c, nil, nil
		}
		p.discardLocked(c)
	}
	if p.open >= p.cfg.Maximum {
		if p.freed == nil {
			p.freed = make(chan struct{})
		}
		return nil, p.freed, nil
	}
	p.open++
	return nil, nil, nil
}

// dialReserved opens a connection that p.open already counts.
func (p *Pool) dialReserved(ctx context.Context) (*Conn, error) {
	c, err := p.cfg.Dial(ctx, p.address)
	if err != nil {
		p.discard(nil)
		return nil, err
	}
	return c, nil
}

// Put returns a connection to the pool; it closes one that is broken, in a transaction or in the middle of an exchange.
func (p *Pool) Put(c *Conn) {
	if !c.Reusable() {
		p.discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.cfg.Maximum {
		p.discardLocked(c)
		return
	}
	p.idle = append(p.idle, idleConn{conn: c, idleSince: p.cfg.Clock.Now()})
	p.notifyWaiters()
}

// Warm opens connections until the minimum is open.
func (p *Pool) Warm(ctx context.Context) error {
	for p.reserve() {
		c, err := p.dialReserved(ctx)
		if err != nil {
			return fmt.Errorf("open pool connection: %w", err)
		}
		p.Put(c)
	}
	return nil
}

// reserve counts one more connection as open if the minimum has not been reached.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open >= min(p.cfg.Minimum, p.cfg.Maximum) {
		return false
	}
	p.open++
	return true
}

// Sweep closes connections that have been idle for IdleTimeout or longer, down to the minimum.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.IdleTimeout <= 0 {
		return
	}
	now := p.cfg.Clock.Now()
	// The connections that have been idle longest are first, since Get takes the last one.
	for len(p.idle) > 0 && p.open > p.cfg.Minimum && now-p.idle[0].idleSince >= p.cfg.IdleTimeout {
		c := p.idle[0].conn
		p.idle = p.idle[1:]
		p.discardLocked(c)
	}
}

// Resize changes the minimum and maximum; it closes idle connections above the maximum at once and the others when they are returned.
func (p *Pool) Resize(minimum, maximum int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.Minimum = minimum
	p.cfg.Maximum = maximum
	for len(p.idle) > 0 && p.open > maximum {
		c := p.idle[0].conn
		p.idle = p.idle[1:]
		p.discardLocked(c)
	}
	p.notifyWaiters()
}

// Counts returns the number of open and of idle connections.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Counts{Open: p.open, Idle: len(p.idle)}
}

// Close closes the idle connections at once and the others when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.conn.Close()
		p.open--
	}
	p.idle = nil
	p.notifyWaiters()
}

func (p *Pool) discard(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(c)
}

// discardLocked closes c, which may be nil, and stops counting it as open; p.mu is held.
func (p *Pool) discardLocked(c *Conn) {
	if c != nil {
		c.Close()
	}
	p.open--
	p.notifyWaiters()
}

// notifyWaiters wakes all calls of Get that wait; p.mu is held.
func (p *Pool) notifyWaiters() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}
