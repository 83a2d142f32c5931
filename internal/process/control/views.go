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

// Snapshot is the immutable set of the services and groups in force.
type Snapshot struct {
	Services map[service.Name]*service.Service
	Groups   map[group.ID]*GroupState
}

// GroupState holds the current view of one group, which is replaced as a whole.
type GroupState struct {
	prober *probe.GroupProber
	view   atomic.Pointer[route.View]
	mu     sync.Mutex
	// changed is closed and replaced with each new view.
	changed chan struct{}
	// scope ends when a primary of a later term is known; end ends it.
	scope context.Context
	end   context.CancelFunc
}

func newCell(v *route.View, p *probe.GroupProber) *GroupState {
	c := &GroupState{prober: p, changed: make(chan struct{})}
	c.scope, c.end = context.WithCancel(context.Background())
	c.view.Store(v)
	return c
}

// WatchView returns the current view and a channel that is closed when it is replaced.
func (c *GroupState) WatchView() (*route.View, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Load(), c.changed
}

// Prober returns the prober of the group's targets.
func (c *GroupState) Prober() *probe.GroupProber { return c.prober }

// View returns the current view.
func (c *GroupState) View() *route.View { return c.view.Load() }

// TermScope lasts until a primary of a later term is known.
type TermScope struct{ ctx context.Context }

// Ended reports whether a primary of a later term is known.
func (s TermScope) Ended() bool { return s.ctx.Err() != nil }

// AfterEnd calls f in its own goroutine once the scope has ended; stop cancels the call and reports whether f was not called.
func (s TermScope) AfterEnd(f func()) (stop func() bool) { return context.AfterFunc(s.ctx, f) }

// TermScope returns the scope of the current term.
func (c *GroupState) TermScope() TermScope {
	c.mu.Lock()
	defer c.mu.Unlock()
	return TermScope{ctx: c.scope}
}

// store replaces the view and ends the scope of the term if the new view has a later one.
func (c *GroupState) store(v *route.View) {
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
