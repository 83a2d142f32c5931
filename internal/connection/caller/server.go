package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// sweepInterval is the time between two checks of all connections against their timeouts.
const sweepInterval = clock.Second / 4

// Server accepts callers' connections and relays their exchanges to targets.
type Server struct {
	cfg   Config
	deps  Dependencies
	mu    sync.Mutex
	conns map[uint32]*conn
	// lastID is the last connection ID given out; it is the process ID in the cancel key.
	lastID uint32
	// sessions is the number of connections that have sent a startup message; MaxConnections limits it.
	sessions int
	draining bool
}

// startupHeadroom is the number of connections without a session that are accepted beyond MaxConnections, so that a cancel request still reaches a full server.
const startupHeadroom = 16

// New returns a server; Serve starts it.
func New(cfg Config, d Dependencies) *Server {
	return &Server{cfg: cfg.withDefaults(), deps: d, conns: map[uint32]*conn{}}
}

// Active returns the number of open connections, including those that have not logged in.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve accepts callers until ctx ends and then drains: it returns once all connections are closed, which it forces after the drain timeout. It returns nil after the end of ctx, else the error of the listener.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	connCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(errDraining)
	var sweeper, handlers sync.WaitGroup
	sweeper.Go(func() { s.sweep(connCtx) })
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	err := s.accept(connCtx, l, &handlers)
	stop()
	_ = l.Close()
	s.drain(connCtx, &handlers)
	cancel(errDraining)
	sweeper.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) accept(ctx context.Context, l net.Listener, handlers *sync.WaitGroup) error {
	for {
		netConn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept callers: %w", err)
		}
		if err != nil {
			// The error may be temporary, such as a lack of file descriptors, which are freed when callers disconnect.
			if s.cfg.Clock.Sleep(ctx, sweepInterval) != nil {
				return fmt.Errorf("accept callers: %w", err)
			}
			continue
		}
		c := s.newConn(netConn)
		if err := s.register(c); err != nil {
			// Callers that are refused one after the other hold one descriptor at a time.
			_ = netConn.SetWriteDeadline(time.Now().Add(refusalTimeout)) // a closed connection fails below
			c.sendFatal(err)
			c.shutdown()
			continue
		}
		handlers.Go(func() { s.serve(ctx, c) })
	}
}

// refusalTimeout bounds the write of a refusal to a new connection, whose buffers are empty.
const refusalTimeout = 50 * time.Millisecond

func (s *Server) serve(ctx context.Context, c *conn) {
	defer s.unregister(c)
	c.serve(ctx)
}

func (s *Server) newConn(netConn net.Conn) *conn {
	c := &conn{
		server:     s,
		netConn:    netConn,
		prepared:   map[string]*preparedStatement{},
		portals:    map[string]*preparedStatement{},
		phaseSince: s.cfg.Clock.Now(),
	}
	c.holder = s.cfg.Account.Open(sessionBytes, func() { _ = netConn.Close() })
	c.backend = c.newBackend(netConn)
	return c
}

// register adds the connection under a new cancel key; it refuses the connection if the server is full or draining.
func (s *Server) register(c *conn) *refusal.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return refusal.Draining("proxy is going")
	}
	if len(s.conns) >= s.cfg.MaxConnections+startupHeadroom {
		return tooManyConnections()
	}
	for s.lastID++; s.lastID == 0 || s.conns[s.lastID] != nil; s.lastID++ {
	}
	c.key = newCancelKey(s.lastID)
	s.conns[s.lastID] = c
	return nil
}

// addSession counts the connection as a session; it refuses the session if MaxConnections is reached.
func (s *Server) addSession(c *conn) *refusal.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions >= s.cfg.MaxConnections {
		return tooManyConnections()
	}
	s.sessions++
	c.hasSession = true
	return nil
}

func tooManyConnections() *refusal.Error { return refusal.Overloaded("too many connections") }

func (s *Server) unregister(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.key.id)
	if c.hasSession {
		s.sessions--
	}
}

// connections returns a snapshot of the open connections.
func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		list = append(list, c)
	}
	return list
}

// sweep enforces the timeouts of all connections until ctx ends.
func (s *Server) sweep(ctx context.Context) {
	for s.cfg.Clock.Sleep(ctx, sweepInterval) == nil {
		now := s.cfg.Clock.Now()
		for _, c := range s.connections() {
			c.enforceTimeouts(now)
		}
	}
}

// drain waits for exchanges and transactions to end, and aborts the remaining ones after the drain timeout.
func (s *Server) drain(ctx context.Context, handlers *sync.WaitGroup) {
	finished := make(chan struct{})
	go func() {
		handlers.Wait()
		close(finished)
	}()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.connections() {
		c.startDraining()
	}
	select {
	case <-finished:
		return
	case <-s.cfg.Clock.After(s.cfg.DrainTimeout):
	case <-ctx.Done():
	}
	for _, c := range s.connections() {
		c.abort(errDraining)
		c.closeAfterReply()
	}
	<-finished
}
