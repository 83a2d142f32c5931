package target

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// ErrPoolClosed means that the pool hands out no more connections.
var ErrPoolClosed = errors.New("pool is closed")

// ErrPoolBusy means that no connection came free in time, which tells nothing of the target.
var ErrPoolBusy = errors.New("all target connections are in use")

// PoolConfig bounds a pool.
type PoolConfig struct {
	// Minimum is how many connections Warm keeps open.
	Minimum int
	// Maximum is how many connections may be open at once.
	Maximum int
	// IdleLimit is how long an unused connection above the minimum stays open; 0 means for ever.
	IdleLimit clock.Millis
	// Clock tells the time.
	Clock *clock.Clock
	// Dial opens a connection; the package's Dial when nil.
	Dial func(ctx context.Context, a Address) (*Conn, error)
}

// Counts is how many connections a pool has.
type Counts struct {
	Open int
	Idle int
}

// Pool keeps connections to one target for one user and database.
type Pool struct {
	address Address
	mu      sync.Mutex
	cfg     PoolConfig
	idle    []idleConn
	open    int
	closed  bool
	// freed is closed whenever a connection or a place becomes free; nil while nobody waits.
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

// Get returns an idle connection, opens one, or waits for one until ctx ends.
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

// tryAcquire returns an idle connection, or what to wait for, or neither when one may be opened.
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

// dialReserved opens a connection for a place that was counted already.
func (p *Pool) dialReserved(ctx context.Context) (*Conn, error) {
	c, err := p.cfg.Dial(ctx, p.address)
	if err != nil {
		p.discard(nil)
		return nil, err
	}
	return c, nil
}

// Put gives a connection back; a broken one, or one in the midst of an exchange, is closed.
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

// Warm opens connections up to the minimum.
func (p *Pool) Warm(ctx context.Context) error {
	for p.reserve() {
		c, err := p.dialReserved(ctx)
		if err != nil {
			return fmt.Errorf("warm pool: %w", err)
		}
		p.Put(c)
	}
	return nil
}

func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open >= min(p.cfg.Minimum, p.cfg.Maximum) {
		return false
	}
	p.open++
	return true
}

// Sweep closes connections that were idle for longer than the limit, down to the minimum.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.IdleLimit <= 0 {
		return
	}
	now := p.cfg.Clock.Now()
	// The longest idle ones are first, since Get takes the latest.
	for len(p.idle) > 0 && p.open > p.cfg.Minimum && now-p.idle[0].idleSince >= p.cfg.IdleLimit {
		c := p.idle[0].conn
		p.idle = p.idle[1:]
		p.discardLocked(c)
	}
}

// Resize changes the bounds; connections above the maximum are closed as they become idle.
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

// Counts returns how many connections are open and how many of them idle.
func (p *Pool) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Counts{Open: p.open, Idle: len(p.idle)}
}

// Close closes the idle connections and, as they come back, the others.
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

// discardLocked closes c, which may be nil, and frees its place; p.mu is held.
func (p *Pool) discardLocked(c *Conn) {
	if c != nil {
		c.Close()
	}
	p.open--
	p.notifyWaiters()
}

func (p *Pool) notifyWaiters() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}
