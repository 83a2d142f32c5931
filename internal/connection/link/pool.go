package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Errors of Get, to be tested with errors.Is.
var (
	// ErrFull means that no connection came free in time, which tells nothing of the target.
	ErrFull = errors.New("all connections to the target are in use")
	// ErrUnreachable means that no connection to the target could be opened.
	ErrUnreachable = errors.New("target is unreachable")
	// ErrSlow means that a target took a connection and did not answer the startup in time: it is busy, or it stands still.
	ErrSlow = errors.New("target is slow to start a connection")
	// ErrClosed means that the pool hands out no more connections.
	ErrClosed = errors.New("pool is closed")
)

const (
	// fullPause is how long a target that takes no further connection is not asked for one.
	fullPause clock.Millis = 100
	// idleLimit is how long a connection may rest before it is closed, so that other daemons find a place.
	idleLimit = 15 * clock.Second
	// briefIdle is how long a connection may rest where this daemon only asks after the target, in milliseconds: a question comes again within two rounds, or not for long.
	briefIdle clock.Millis = 300
	// peakWindow is for how long a peak of use counts, and spare how many connections are kept beside it.
	peakWindow = 2 * clock.Second
	spare      = 1
	// askWait is how long a question waits for a connection that is open already, in milliseconds: about as long as a new one takes.
	askWait clock.Millis = 15
	// leastEarly is how many connections may be open at first in any case: one for a transaction and one for all else.
	leastEarly = 2
	// drainLimit bounds the wait for answers that nobody waits for any more.
	drainLimit = 5 * clock.Second
)

// PoolConfig says what a pool connects to.
type PoolConfig struct {
	Group   group.ID
	Target  group.TargetID
	Address string
	// Maximum is how many connections this daemon may have open.
	Maximum int
	// EarlyUntil is until when the target may still count the connections of daemons that have lost power, so that only as many as SetEarly says are opened.
	EarlyUntil clock.Millis
	Clock      *clock.Clock
	// Dial opens a connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Protocol speaks on an open connection.
	Protocol func(net.Conn) Wire
	// StartupTimeout bounds the startup.
	StartupTimeout clock.Millis
	// Opened is called for every connection that was opened; it may be nil.
	Opened func()
}

// Pool keeps connections to one target.
type Pool struct {
	cfg PoolConfig

	mu sync.Mutex
	// early is how many may be open until EarlyUntil.
	early int
	// visiting is true while other daemons serve the target's group for this one.
	visiting bool
	idle     []*Conn
	open     int
	closed   bool
	// opening is true while a connection is opened: one at a time, as each takes a slot of the target for long, and those in use may come free before.
	opening bool
	// peak and lastPeak are the most connections in use at once in the present window and the one before.
	peak, lastPeak int
	windowEnd      clock.Millis
	// fullUntil is until when the target is not asked for a further connection.
	fullUntil clock.Millis
	// freed is closed when a connection or a place comes free; nil while nobody waits.
	freed chan struct{}
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool { return &Pool{cfg: cfg, early: leastEarly} }

// SetEarly says how many connections may be open at first.
func (p *Pool) SetEarly(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.early = max(n, leastEarly)
}

// SetVisiting says whether other daemons serve the target's group for this one, so that their connections need the places that this one's would rest in.
func (p *Pool) SetVisiting(visiting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.visiting = visiting
}

// Get returns an idle connection, if possible one with the values in force, or opens one; it waits until the given time at most.
func (p *Pool) Get(ctx context.Context, v *Values, until clock.Millis) (*Conn, error) {
	return p.get(ctx, v, until, until)
}

// get waits until patience for a connection or a place, and until the given time for one that it opens.
func (p *Pool) get(ctx context.Context, v *Values, patience, until clock.Millis) (*Conn, error) {
	for {
		c, wait, err := p.take(v)
		if err != nil || c != nil {
			return c, err
		}
		if wait == nil {
			c, err = p.dial(ctx, until)
			p.opened()
			if err == nil || !errors.Is(err, ErrFull) {
				return c, err
			}
			continue
		}
		if err := p.wait(ctx, wait, patience); err != nil {
			return nil, err
		}
	}
}

// opened lets another connection be opened.
func (p *Pool) opened() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening = false
	p.signal()
}

// Open opens a further connection, whatever rests in the pool: an answer on it shows that the target can be reached now.
func (p *Pool) Open(ctx context.Context, until clock.Millis) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	p.open++
	p.mu.Unlock()
	return p.dial(ctx, until)
}

// Ask returns a connection for a question that others wait for: one that is idle soon, or else a further one, as transactions may hold for long all that this daemon may have open.
func (p *Pool) Ask(ctx context.Context, until clock.Millis) (*Conn, error) {
	c, err := p.get(ctx, &Values{}, min(until, p.cfg.Clock.Now()+askWait), until)
	if !errors.Is(err, ErrFull) {
		return c, err
	}
	return p.Open(ctx, until)
}

func (p *Pool) wait(ctx context.Context, freed <-chan struct{}, until clock.Millis) error {
	left := until - p.cfg.Clock.Now()
	if left <= 0 {
		return ErrFull
	}
	select {
	case <-freed:
		return nil
	case <-p.cfg.Clock.After(min(left, fullPause)):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for a connection: %w", ctx.Err())
	}
}

// take returns an idle connection, or what to wait for, or neither when one may be opened.
func (p *Pool) take(v *Values) (*Conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	for len(p.idle) > 0 {
		i := p.nearest(v)
		c := p.idle[i]
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		if c.usable() {
			p.used()
			return c, nil, nil
		}
		c.Break()
		p.open--
	}
	if p.open >= p.maximum() || p.opening || p.cfg.Clock.Now() < p.fullUntil {
		if p.freed == nil {
			p.freed = make(chan struct{})
		}
		return nil, p.freed, nil
	}
	p.open++
	p.opening = true
	p.used()
	return nil, nil, nil
}

// maximum is how many connections may be open now.
func (p *Pool) maximum() int {
	if p.cfg.Clock.Now() < p.cfg.EarlyUntil {
		return min(p.early, p.cfg.Maximum)
	}
	return p.cfg.Maximum
}

// used notes how many connections are in use; p.mu is held.
func (p *Pool) used() { p.peak = max(p.peak, p.open-len(p.idle)) }

// nearest returns the latest connection with the values in force, else the latest.
func (p *Pool) nearest(v *Values) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].values.mark == v.mark {
			return i
		}
	}
	return len(p.idle) - 1
}

// dial opens a connection for a place that was counted already.
func (p *Pool) dial(ctx context.Context, until clock.Millis) (*Conn, error) {
	c, err := p.connect(ctx, until)
	if err == nil {
		return c, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if errors.Is(err, ErrFull) {
		p.fullUntil = p.cfg.Clock.Now() + fullPause
	}
	p.signal()
	return nil, err
}

func (p *Pool) connect(ctx context.Context, until clock.Millis) (*Conn, error) {
	tcp, err := p.cfg.Dial(ctx, p.cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if p.cfg.Opened != nil {
		p.cfg.Opened()
	}
	w := p.cfg.Protocol(tcp)
	limit := min(until, p.cfg.Clock.Now()+p.cfg.StartupTimeout)
	r, err := w.Startup(p.cfg.Group, p.cfg.Target, p.cfg.Clock.Deadline(limit))
	if err == nil && r.Code == statement.OK {
		return newConn(p.cfg.Target, w, tcp, p.cfg.Clock), nil
	}
	_ = tcp.Close() // nothing is owed on it
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fmt.Errorf("%w: %w: startup: %w", ErrUnreachable, ErrSlow, err)
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF):
		// A target over its limit may reset what it has just accepted.
		return nil, fmt.Errorf("%w: startup: %w", ErrFull, err)
	case err != nil:
		return nil, fmt.Errorf("%w: startup: %w", ErrUnreachable, err)
	case r.Code == statement.TooManyConnections, r.Code == statement.Busy:
		return nil, fmt.Errorf("%w: %s", ErrFull, r.Code)
	default:
		return nil, fmt.Errorf("%w: startup: %w", ErrUnreachable, &statement.Refusal{Code: r.Code, Text: r.Text})
	}
}

// Put gives a connection back; one that is broken or in the midst of something is closed.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.broken || c.pending > 0 || p.open > p.maximum() {
		c.Break()
		p.open--
	} else {
		p.idle = append(p.idle, c)
	}
	p.signal()
}

// Drain takes a connection on which answers are due that nobody waits for, and keeps it if they leave it at rest.
func (p *Pool) Drain(c *Conn) {
	go func() {
		until := p.cfg.Clock.Now() + drainLimit
		for c.pending > 0 {
			r, err := c.Receive(until)
			if err != nil || c.pending == 0 && r.State != statement.Idle {
				c.Break()
				break
			}
		}
		p.Put(c)
	}()
}

// Sweep closes connections that have rested for too long, and those that the recent peak did not need, as other daemons wait for their places.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.cfg.Clock.Now(); now >= p.windowEnd {
		p.lastPeak, p.peak, p.windowEnd = p.peak, 0, now+peakWindow
		p.used()
	}
	if p.visiting {
		p.keep(func(c *Conn) bool { return c.Rested() < briefIdle })
		return
	}
	extra := p.open - max(p.peak, p.lastPeak) - spare
	p.keep(func(c *Conn) bool {
		if extra > 0 {
			extra--
			return false
		}
		return c.Rested() < idleLimit
	})
}

// Purge closes the connections that have rested since before t, as they may be dead without a word.
func (p *Pool) Purge(t clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(func(c *Conn) bool { return c.answered >= t })
	p.signal()
}

// keep closes the idle connections that are not to be kept; p.mu is held.
func (p *Pool) keep(wanted func(*Conn) bool) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if wanted(c) {
			kept = append(kept, c)
			continue
		}
		c.Break()
		p.open--
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections and, as they come back, the others.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.keep(func(*Conn) bool { return false })
	p.signal()
}

// Opened is the number of connections that are open.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func (p *Pool) signal() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}
