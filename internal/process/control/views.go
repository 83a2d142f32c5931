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

func newGroupState(v *route.View, p *probe.GroupProber) *GroupState {
	s := &GroupState{prober: p, changed: make(chan struct{})}
	s.scope, s.end = context.WithCancel(context.Background())
	s.view.Store(v)
	return s
}

// WatchView returns the current view and a channel that is closed when it is replaced.
func (s *GroupState) WatchView() (*route.View, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Load(), s.changed
}

// Prober returns the prober of the group's targets.
func (s *GroupState) Prober() *probe.GroupProber { return s.prober }

// View returns the current view.
func (s *GroupState) View() *route.View { return s.view.Load() }

// TermScope lasts until a primary of a later term is known.
type TermScope struct{ ctx context.Context }

// Ended reports whether a primary of a later term is known.
func (s TermScope) Ended() bool { return s.ctx.Err() != nil }

// AfterEnd calls f in its own goroutine once the scope has ended; stop cancels the call and reports whether f was not called.
func (s TermScope) AfterEnd(f func()) (stop func() bool) { return context.AfterFunc(s.ctx, f) }

// TermScope returns the scope of the current term.
func (s *GroupState) TermScope() TermScope {
	s.mu.Lock()
	defer s.mu.Unlock()
	return TermScope{ctx: s.scope}
}

// store replaces the view and ends the scope of the term if the new view has a later one.
func (s *GroupState) store(v *route.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Record.Term > s.view.Load().Record.Term {
		s.end()
		s.scope, s.end = context.WithCancel(context.Background())
	}
	s.view.Store(v)
	close(s.changed)
	s.changed = make(chan struct{})
}
