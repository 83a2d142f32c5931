package control

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cactusfork/cactusfork/internal/process/probe"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

// Snapshot is the immutable state that traffic reads.
type Snapshot struct {
	Services map[service.Name]*service.Service
	Groups   map[group.ID]*Cell
}

// Cell holds the view of one group, replaced as a whole.
type Cell struct {
	watch   *probe.GroupProber
	view    atomic.Pointer[route.View]
	mu      sync.Mutex
	changed chan struct{}
	scope   context.Context
	end     context.CancelFunc
}

func newCell(v *route.View, w *probe.GroupProber) *Cell {
	c := &Cell{watch: w, changed: make(chan struct{})}
	c.scope, c.end = context.WithCancel(context.Background())
	c.view.Store(v)
	return c
}

// Load returns the view in force and a channel that closes when another comes.
func (c *Cell) Load() (*route.View, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Load(), c.changed
}

// Watch returns the prober of the group's targets.
func (c *Cell) Watch() *probe.GroupProber { return c.watch }

// View returns the view in force.
func (c *Cell) View() *route.View { return c.view.Load() }

// TermScope lasts as long as no primary of a later term is known.
type TermScope struct{ ctx context.Context }

// Ended reports whether a primary of a later term is known.
func (r TermScope) Ended() bool { return r.ctx.Err() != nil }

// AfterEnd calls f once the scope has ended; stop takes that back and reports whether f was not called.
func (r TermScope) AfterEnd(f func()) (stop func() bool) { return context.AfterFunc(r.ctx, f) }

// TermScope returns the scope of the present term.
func (c *Cell) TermScope() TermScope {
	c.mu.Lock()
	defer c.mu.Unlock()
	return TermScope{ctx: c.scope}
}

func (c *Cell) store(v *route.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Record.Term > c.view.Load().Record.Term {
		c.end()
		c.scope, c.end = context.WithCancel(context.Background())
	}
	c.view.Store(v)
	close(c.changed)
	c.changed = make(chan struct{})
}
