package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// sweepInterval is how often the limits on time are applied.
const sweepInterval = clock.Second / 4

// Server serves callers.
type Server struct {
	cfg   Config
	seams Seams
	mu    sync.Mutex
	conns map[uint32]*conn
	// lastID numbers connections, as the process id of their cancel key.
	lastID uint32
	// sessions is how many callers have sent their startup message.
	sessions int
	draining bool
}

// startupHeadroom is how many connections may be starting up beyond the limit: a cancel must get through to a full server.
const startupHeadroom = 16

// New returns a server that serves nothing yet.
func New(cfg Config, s Seams) *Server {
	return &Server{cfg: cfg.withDefaults(), seams: s, conns: map[uint32]*conn{}}
}

// Active returns how many callers are connected.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve accepts callers until ctx ends; it returns once all of them are gone, at the latest when the drain timeout has passed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	hard, cut := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cut(errDraining)
	var swept, served sync.WaitGroup
	swept.Go(func() { s.sweep(hard) })
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	err := s.accept(hard, l, &served)
	stop()
	_ = l.Close()
	s.drain(hard, &served)
	cut(errDraining)
	swept.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) accept(ctx context.Context, l net.Listener, served *sync.WaitGroup) error {
	for {
		wire, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept caller: %w", err)
		}
		if err != nil {
			// For want of file descriptors, say; callers that go make room.
			if s.cfg.Clock.Sleep(ctx, sweepInterval) != nil {
				return fmt.Errorf("accept caller: %w", err)
			}
			continue
		}
		served.Go(func() { s.serve(ctx, wire) })
	}
}

func (s *Server) serve(ctx context.Context, wire net.Conn) {
	c := s.newConn(wire)
	if err := s.enlist(c); err != nil {
		c.sendFatal(err)
		c.end()
		return
	}
	defer s.remove(c)
	c.serve(ctx)
}

func (s *Server) newConn(wire net.Conn) *conn {
	c := &conn{
		server:     s,
		wire:       wire,
		back:       pgproto3.NewBackend(wire, wire),
		statements: map[string]*statement{},
		portals:    map[string]*statement{},
		since:      s.cfg.Clock.Now(),
	}
	c.back.SetMaxBodyLen(s.cfg.MaxMessage)
	return c
}

// enlist counts the connection and gives it its cancel key, unless there are too many or the server goes.
func (s *Server) enlist(c *conn) *refusal.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return refusal.Draining("proxy is going")
	}
	if len(s.conns) >= s.cfg.MaxConnections+startupHeadroom {
		return tooMany()
	}
	for s.lastID++; s.lastID == 0 || s.conns[s.lastID] != nil; s.lastID++ {
	}
	c.key = newCancelKey(s.lastID)
	s.conns[s.lastID] = c
	return nil
}

// admit counts a caller as soon as it wants a session, unless there are too many.
func (s *Server) admit(c *conn) *refusal.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions >= s.cfg.MaxConnections {
		return tooMany()
	}
	s.sessions++
	c.admitted = true
	return nil
}

func tooMany() *refusal.Error { return refusal.Overloaded("too many connections") }

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.key.id)
	if c.admitted {
		s.sessions--
	}
}

// all returns the connections of this moment.
func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		list = append(list, c)
	}
	return list
}

// sweep applies the limits on time until ctx ends.
func (s *Server) sweep(ctx context.Context) {
	for s.cfg.Clock.Sleep(ctx, sweepInterval) == nil {
		now := s.cfg.Clock.Now()
		for _, c := range s.all() {
			c.check(now)
		}
	}
}

// drain lets exchanges and transactions end, and cuts what is left at the timeout.
func (s *Server) drain(ctx context.Context, served *sync.WaitGroup) {
	gone := make(chan struct{})
	go func() {
		served.Wait()
		close(gone)
	}()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.all() {
		c.interrupt()
	}
	select {
	case <-gone:
		return
	case <-s.cfg.Clock.After(s.cfg.DrainTimeout):
	case <-ctx.Done():
	}
	for _, c := range s.all() {
		c.cut(errDraining)
		c.expel()
	}
	<-gone
}
