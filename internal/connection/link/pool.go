package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"

	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Errors of Get, to be checked with errors.Is.
var (
	// ErrFull means that no connection became free in time. It does not show whether the target works.
	ErrFull = errors.New("all connections to the target are in use")
	// ErrUnreachable means that no connection to the target could be opened.
	ErrUnreachable = errors.New("target is unreachable")
	// ErrStartupTimeout means that a target accepted a connection and did not answer the startup in time: it is busy or it hangs.
	ErrStartupTimeout = errors.New("target is slow to start a connection")
	// ErrClosed means that the pool is closed.
	ErrClosed = errors.New("pool is closed")
)

const (
	// fullBackoff is how long a target that refused a further connection is not asked for another, in milliseconds.
	fullBackoff clock.Millis = 100
	// maxIdle is how long a connection may be idle before it is closed. Closing it lets other daemons connect.
	maxIdle = 15 * clock.Second
	// maxIdleServedElsewhere is how long a connection may be idle, in milliseconds, if other daemons serve the group and this one
	// only probes the target. The next probe follows within two probe rounds or much later.
	maxIdleServedElsewhere clock.Millis = 300
	// peakWindow is how long a peak of connections in use counts, and spareConns how many connections are kept beyond the peak.
	peakWindow = 2 * clock.Second
	spareConns = 1
	// idleConnWait is how long GetOrOpen waits for a connection that is open already, in milliseconds. It is about the time that a new
	// connection takes.
	idleConnWait clock.Millis = 15
	// minEarlyLimit is the least number of connections that the early limit allows: one for a transaction and one for all other
	// statements.
	minEarlyLimit = 2
	// openTimeWeight is the weight of a new value in the average time of opening a connection.
	openTimeWeight = 0.1
	// maxKeptValueBytes is the size of the session values with which a connection is kept. Larger ones would stay in memory behind the
	// end of their session.
	maxKeptValueBytes = 64 << 10
	// drainTimeout bounds the wait for outstanding replies that no caller waits for.
	drainTimeout = 5 * clock.Second
)

// PoolConfig is the configuration of a Pool.
type PoolConfig struct {
	Group   group.ID
	Target  group.TargetID
	Address string
	// Maximum is the number of connections that this daemon may have open.
	Maximum int
	// EarlyLimitUntil is the time until which the limit of SetEarlyLimit applies. Until then, the target may still count the connections
	// of daemons that have lost power.
	EarlyLimitUntil clock.Millis
	Clock           *clock.Clock
	// Dial opens a connection to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Protocol returns the wire protocol on an open connection.
	Protocol func(net.Conn) Wire
	// StartupTimeout bounds the startup of a connection.
	StartupTimeout clock.Millis
	// OnOpen is called for every connection that Dial has opened. It may be nil.
	OnOpen func()
}

// Pool is a pool of connections to one target. It is safe for concurrent use.
type Pool struct {
	cfg PoolConfig

	mu sync.Mutex
	// limit is the number of connections that may be open.
	limit int
	// byWorkspace is true while connections belong to workspaces. Idle ones beyond the recent peak are then kept.
	byWorkspace bool
	// demand tells which workspaces use the target most.
	demand demand
	// openTime is the moving average of the time that it takes to open a connection, in milliseconds.
	openTime float64
	// earlyLimit is the number of connections that may be open until EarlyLimitUntil.
	earlyLimit int
	// servedElsewhere is true while other daemons serve the target's group for this one.
	servedElsewhere bool
	idle            []*Conn
	// open is the number of connections that are open or being opened.
	open   int
	closed bool
	// opening is true while Get opens a connection. It opens one at a time: each takes a slot of the target for long, and a
	// connection in use may become free earlier.
	opening bool
	// peak and lastPeak are the maximum numbers of connections in use in the current window and in the window before.
	peak, lastPeak int
	// windowEnd is when the current window ends.
	windowEnd clock.Millis
	// fullUntil is the time until which the target is not asked for a further connection.
	fullUntil clock.Millis
	// available is closed when a connection becomes free or another one may be opened; it is nil while nobody waits.
	available chan struct{}
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, limit: cfg.Maximum, earlyLimit: minEarlyLimit, demand: make(demand)}
}

// SetWorkspaceLimit sets the number of connections that may be open while connections belong to workspaces, and that idle ones are
// kept. A limit of 0 means that there are no workspaces: then the Maximum of the configuration applies.
func (p *Pool) SetWorkspaceLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.byWorkspace = p.cfg.Maximum, n > 0
	if n > 0 {
		p.limit = min(n, p.cfg.Maximum)
	}
}

// SetEarlyLimit sets the number of connections that may be open until EarlyLimitUntil.
func (p *Pool) SetEarlyLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.earlyLimit = max(n, minEarlyLimit)
}

// SetServedElsewhere sets whether other daemons serve the target's group for this one. If so, idle connections are closed early,
// because those daemons need the target's connections.
func (p *Pool) SetServedElsewhere(servedElsewhere bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servedElsewhere = servedElsewhere
}

// anyWorkspace stands for the workspace of statements of the daemon itself, which run on a connection of any workspace.
const anyWorkspace workspace.ID = "\x00any"

// Get returns an idle connection of the workspace, preferably one where the values v are in force, or opens one. It waits until the
// deadline at most.
func (p *Pool) Get(ctx context.Context, ws workspace.ID, v *Values, deadline clock.Millis) (*Conn, error) {
	return p.get(ctx, ws, v, deadline, deadline)
}

// GetAny returns an idle connection of any workspace for statements of the daemon itself, or opens one.
func (p *Pool) GetAny(ctx context.Context, deadline clock.Millis) (*Conn, error) {
	return p.get(ctx, anyWorkspace, &Values{}, deadline, deadline)
}

// get waits until waitDeadline for a free connection or for permission to open one, and until deadline for one that it opens.
func (p *Pool) get(ctx context.Context, ws workspace.ID, v *Values, waitDeadline, deadline clock.Millis) (*Conn, error) {
	for {
		c, wait, err := p.tryAcquire(ws, v)
		if err != nil || c != nil {
			return c, err
		}
		if wait == nil {
			c, err = p.dial(ctx, ws, deadline)
			p.finishOpening()
			if err == nil || !errors.Is(err, ErrFull) {
				return c, err
			}
			continue
		}
		if err := p.wait(ctx, wait, waitDeadline); err != nil {
			return nil, err
		}
	}
}

// finishOpening allows the next connection to be opened.
func (p *Pool) finishOpening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening = false
	p.notifyWaiters()
}

// Open opens a further connection even if the pool has an idle one or is at its maximum. A reply on it shows that the target
// can be reached now.
func (p *Pool) Open(ctx context.Context, deadline clock.Millis) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	p.open++
	p.mu.Unlock()
	return p.dial(ctx, anyWorkspace, deadline)
}

// GetOrOpen returns a connection for a probe that callers wait for: one that becomes idle soon, or else a new one beyond the
// maximum, because transactions may hold all other connections for long.
func (p *Pool) GetOrOpen(ctx context.Context, deadline clock.Millis) (*Conn, error) {
	c, err := p.get(ctx, anyWorkspace, &Values{}, min(deadline, p.cfg.Clock.Now()+idleConnWait), deadline)
	if !errors.Is(err, ErrFull) {
		return c, err
	}
	return p.Open(ctx, deadline)
}

func (p *Pool) wait(ctx context.Context, available <-chan struct{}, deadline clock.Millis) error {
	remaining := deadline - p.cfg.Clock.Now()
	if remaining <= 0 {
		return ErrFull
	}
	select {
	case <-available:
		return nil
	case <-p.cfg.Clock.After(min(remaining, fullBackoff)):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for a connection: %w", ctx.Err())
	}
}

// tryAcquire returns an idle connection, or a channel to wait on, or neither if the caller may open a connection.
func (p *Pool) tryAcquire(ws workspace.ID, v *Values) (*Conn, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if p.byWorkspace && ws != anyWorkspace {
		p.demand.record(ws, p.cfg.Clock.Now())
	}
	for i := p.bestIdle(ws, v); i >= 0; i = p.bestIdle(ws, v) {
		c := p.idle[i]
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		if c.usable() {
			p.recordUse()
			return c, nil, nil
		}
		c.Break()
		p.open--
	}
	if p.open >= p.maximum() && !p.opening && len(p.idle) > 0 {
		i := p.demand.leastUseful(p.idle, p.cfg.Clock.Now())
		p.idle[i].Break()
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		p.open--
	}
	if p.open >= p.maximum() || p.opening || p.cfg.Clock.Now() < p.fullUntil {
		if p.available == nil {
			p.available = make(chan struct{})
		}
		return nil, p.available, nil
	}
	p.open++
	p.opening = true
	p.recordUse()
	return nil, nil, nil
}

// maximum returns how many connections may be open now.
func (p *Pool) maximum() int {
	if p.cfg.Clock.Now() < p.cfg.EarlyLimitUntil {
		return min(p.earlyLimit, p.limit)
	}
	return p.limit
}

// recordUse updates the peak of connections in use; p.mu must be held.
func (p *Pool) recordUse() { p.peak = max(p.peak, p.open-len(p.idle)) }

// bestIdle returns the index of the idle connection of the workspace that was used last and has the values v in force, or else of
// the one that was used last. It returns -1 if the workspace has none.
func (p *Pool) bestIdle(ws workspace.ID, v *Values) int {
	best := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if ws != anyWorkspace && p.idle[i].workspace != ws {
			continue
		}
		if p.idle[i].values.key == v.key {
			return i
		}
		if best < 0 {
			best = i
		}
	}
	return best
}

// dial opens a connection that p.open counts already.
func (p *Pool) dial(ctx context.Context, ws workspace.ID, deadline clock.Millis) (*Conn, error) {
	if ws == anyWorkspace {
		ws = ""
	}
	startedAt := p.cfg.Clock.Now()
	c, err := p.connect(ctx, ws, deadline)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.openTime += openTimeWeight * (float64(p.cfg.Clock.Now()-startedAt) - p.openTime)
		return c, nil
	}
	p.open--
	if errors.Is(err, ErrFull) {
		p.fullUntil = p.cfg.Clock.Now() + fullBackoff
	}
	p.notifyWaiters()
	return nil, err
}

func (p *Pool) connect(ctx context.Context, ws workspace.ID, deadline clock.Millis) (*Conn, error) {
	tcp, err := p.cfg.Dial(ctx, p.cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if p.cfg.OnOpen != nil {
		p.cfg.OnOpen()
	}
	w := p.cfg.Protocol(tcp)
	startupDeadline := min(deadline, p.cfg.Clock.Now()+p.cfg.StartupTimeout)
	r, err := w.Startup(Login{Name: string(p.cfg.Group), Workspace: ws, Target: p.cfg.Target}, p.cfg.Clock.Deadline(startupDeadline))
	if err == nil && r.Code == statement.OK {
		return newConn(p.cfg.Target, ws, w, tcp, p.cfg.Clock), nil
	}
	_ = w.Close() // the startup has failed
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fmt.Errorf("%w: %w: startup: %w", ErrUnreachable, ErrStartupTimeout, err)
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, io.EOF):
		// A target over its connection limit may reset a connection that it has just accepted.
		return nil, fmt.Errorf("%w: startup: %w", ErrFull, err)
	case err != nil:
		return nil, fmt.Errorf("%w: startup: %w", ErrUnreachable, err)
	case r.Code == statement.TooManyConnections, r.Code == statement.Busy:
		return nil, fmt.Errorf("%w: %s", ErrFull, r.Code)
	default:
		return nil, fmt.Errorf("%w: startup: %w", ErrUnreachable, &statement.Refusal{Code: r.Code, Text: r.Text})
	}
}

// Put returns a connection to the pool. It closes a connection that is broken, has outstanding replies or carries large session values.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.broken || c.pending > 0 || p.open > p.maximum() || c.values.size > maxKeptValueBytes {
		c.Break()
		p.open--
	} else {
		p.idle = append(p.idle, c)
	}
	p.notifyWaiters()
}

// Drain reads the outstanding replies of a connection in the background and returns it to the pool. It breaks the connection
// if the last reply leaves a transaction open.
func (p *Pool) Drain(c *Conn) {
	go func() {
		deadline := p.cfg.Clock.Now() + drainTimeout
		for c.pending > 0 {
			r, err := c.Receive(deadline)
			if err != nil || c.pending == 0 && r.State != statement.Idle {
				c.Break()
				break
			}
		}
		p.Put(c)
	}()
}

// Sweep closes connections that were idle for too long, and idle connections beyond the recent peak, because other daemons
// may need connections to the target.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.cfg.Clock.Now(); now >= p.windowEnd {
		p.lastPeak, p.peak, p.windowEnd = p.peak, 0, now+peakWindow
		p.recordUse()
	}
	if p.servedElsewhere {
		p.filterIdle(func(c *Conn) bool { return c.IdleTime() < maxIdleServedElsewhere })
		return
	}
	surplus := p.open - max(p.peak, p.lastPeak) - spareConns
	if p.byWorkspace {
		p.demand.forget(p.cfg.Clock.Now())
		surplus = 0
	}
	p.filterIdle(func(c *Conn) bool {
		if surplus > 0 {
			surplus--
			return false
		}
		return c.IdleTime() < maxIdle
	})
}

// Purge closes the idle connections without a reply since t, because they may be dead without any sign of it.
func (p *Pool) Purge(t clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.filterIdle(func(c *Conn) bool { return c.lastReply >= t })
	p.notifyWaiters()
}

// filterIdle closes the idle connections for which keep returns false; p.mu must be held.
func (p *Pool) filterIdle(keep func(*Conn) bool) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if keep(c) {
			kept = append(kept, c)
			continue
		}
		c.Break()
		p.open--
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections now and the others when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.filterIdle(func(*Conn) bool { return false })
	p.notifyWaiters()
}

// OpenCost returns how long a statement of the workspace would wait for a connection to be opened, in milliseconds; 0 if an idle one
// exists or connections do not belong to workspaces.
func (p *Pool) OpenCost(ws workspace.ID) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.byWorkspace || slices.ContainsFunc(p.idle, func(c *Conn) bool { return c.workspace == ws }) {
		return 0
	}
	return p.openTime
}

// OpenConns returns the number of connections that are open or being opened.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// notifyWaiters wakes all that wait for a connection; p.mu must be held.
func (p *Pool) notifyWaiters() {
	if p.available != nil {
		close(p.available)
		p.available = nil
	}
}
