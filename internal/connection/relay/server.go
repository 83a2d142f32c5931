package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cactusfork/cactusfork/internal/request/retry"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Config bounds the server.
type Config struct {
	// MaxSessions is how many callers may be connected at once.
	MaxSessions int
	// StartupTimeout bounds the wait for a startup and for a first configuration.
	StartupTimeout clock.Millis
	// WriteTimeout bounds how long a caller may leave its answer unread.
	WriteTimeout clock.Millis
}

// Server holds the sessions of a daemon.
type Server struct {
	cfg      Config
	seams    Seams
	protocol func(net.Conn) Wire
	// forwarded is the protocol of other daemons.
	forwarded func(net.Conn) Wire
	// hedges bounds the reads that are tried elsewhere while their first attempt goes on.
	hedges *retry.Budget
	// away is true while callers are better served by another daemon.
	away atomic.Bool

	mu       sync.Mutex
	sessions map[*session]struct{}
	last     SessionID
	draining bool
	ended    sync.WaitGroup
}

// New returns a server that speaks protocol with its callers, and forwarded with other daemons.
func New(cfg Config, seams Seams, protocol, forwarded func(net.Conn) Wire) *Server {
	return &Server{cfg: cfg, seams: seams, protocol: protocol, forwarded: forwarded, hedges: retry.NewBudget(seams.Clock.Now()), sessions: make(map[*session]struct{})}
}

// Serve takes callers from l until it is closed; their sessions end with ctx.
func (s *Server) Serve(ctx context.Context, l net.Listener) error { return s.serve(ctx, l, false) }

// ServeForwarded takes sessions that other daemons forward; they go no further.
func (s *Server) ServeForwarded(ctx context.Context, l net.Listener) error {
	return s.serve(ctx, l, true)
}

func (s *Server) serve(ctx context.Context, l net.Listener, local bool) error {
	for {
		wire, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		var temporary net.Error
		if errors.As(err, &temporary) {
			// Out of descriptors, or the caller has gone already: others go on.
			if err := s.seams.Clock.Sleep(ctx, acceptPause); err != nil {
				return nil //nolint:nilerr // the end of ctx is no fault
			}
			continue
		}
		if err != nil {
			return fmt.Errorf("accept callers: %w", err)
		}
		s.start(ctx, wire, local)
	}
}

// acceptPause is the wait after an accept that failed, in milliseconds.
const acceptPause clock.Millis = 20

func (s *Server) start(ctx context.Context, wire net.Conn, local bool) {
	speak := s.protocol
	if local {
		speak = s.forwarded
	}
	c := &session{server: s, wire: speak(wire), local: local}
	s.mu.Lock()
	s.last++
	c.id = s.last
	if len(s.sessions) >= s.cfg.MaxSessions {
		s.mu.Unlock()
		_ = wire.Close() // over the limit; a caller comes back elsewhere
		return
	}
	s.sessions[c] = struct{}{}
	s.ended.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.ended.Done()
		c.serve(ctx)
		s.mu.Lock()
		delete(s.sessions, c)
		s.mu.Unlock()
	}()
}

// Len is the number of sessions.
func (s *Server) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Shed ends every session that rests outside a transaction, so that its caller connects to another daemon.
func (s *Server) Shed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		c.interrupt()
	}
}

// SetAway says whether callers are better served by another daemon: until then, a session that was refused something ends as soon as it rests outside a transaction.
func (s *Server) SetAway(away bool) { s.away.Store(away) }

// Drain ends every session as soon as it rests outside a transaction, and waits for them until ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.Shed()
	done := make(chan struct{})
	go func() {
		s.ended.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain: %d sessions left: %w", s.Len(), ctx.Err())
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
