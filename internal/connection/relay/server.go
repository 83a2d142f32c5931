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

// Config holds the limits of a Server.
type Config struct {
	// MaxSessions is the number of sessions that may be open at once.
	MaxSessions int
	// StartupTimeout bounds the wait for the startup message and the first configuration.
	StartupTimeout clock.Millis
	// WriteTimeout bounds the time in which the caller has to read a reply.
	WriteTimeout clock.Millis
	// MaxSetupBytes bounds the text of the values and prepared statements of a session; 0 means no limit.
	MaxSetupBytes int
	// Others returns the number of other connections that count as sessions, such as those to home daemons; nil means none.
	Others func() int
	// SessionRejected is called for each connection beyond MaxSessions; it may be nil.
	SessionRejected func()
}

// Server holds the sessions of a daemon.
type Server struct {
	cfg            Config
	deps           Dependencies
	callerProtocol func(net.Conn) Wire
	// peerProtocol is the protocol in which other daemons forward sessions.
	peerProtocol func(net.Conn) Wire
	// hedges is the budget for reads that are tried on another target while their first attempt is still running.
	hedges *retry.Budget
	// stop holds the times of the stop; nil until the daemon is told to stop.
	stop atomic.Pointer[Stop]
	// isolated is true while this daemon is cut off from the primaries, so that another daemon can serve callers better.
	isolated atomic.Bool

	mu       sync.Mutex
	sessions map[*session]struct{}
	lastID   SessionID
	draining bool
	running  sync.WaitGroup
}

// New returns a server that uses callerProtocol for callers and peerProtocol for other daemons.
func New(cfg Config, deps Dependencies, callerProtocol, peerProtocol func(net.Conn) Wire) *Server {
	return &Server{cfg: cfg, deps: deps, callerProtocol: callerProtocol, peerProtocol: peerProtocol, hedges: retry.NewBudget(deps.Clock.Now()), sessions: make(map[*session]struct{})}
}

// Serve accepts callers from l until l is closed. Their sessions end with ctx.
func (s *Server) Serve(ctx context.Context, l net.Listener) error { return s.serve(ctx, l, false) }

// ServeForwarded accepts sessions that other daemons forward. They are not forwarded again.
func (s *Server) ServeForwarded(ctx context.Context, l net.Listener) error {
	return s.serve(ctx, l, true)
}

func (s *Server) serve(ctx context.Context, l net.Listener, forwarded bool) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		var temporary net.Error
		if errors.As(err, &temporary) {
			// The process is out of file descriptors, or the caller has disconnected already. Other callers are still accepted.
			if err := s.deps.Clock.Sleep(ctx, acceptRetryDelay); err != nil {
				return nil //nolint:nilerr // the end of ctx is not an error
			}
			continue
		}
		if err != nil {
			return fmt.Errorf("accept callers: %w", err)
		}
		s.start(ctx, conn, forwarded)
	}
}

// acceptRetryDelay is the wait after an accept that failed, in milliseconds.
const acceptRetryDelay clock.Millis = 20

func (s *Server) start(ctx context.Context, conn net.Conn, forwarded bool) {
	protocol := s.callerProtocol
	if forwarded {
		protocol = s.peerProtocol
	}
	c := &session{server: s, wire: protocol(conn), forwarded: forwarded}
	s.mu.Lock()
	s.lastID++
	c.id = s.lastID
	if len(s.sessions)+s.others() >= s.cfg.MaxSessions {
		s.mu.Unlock()
		_ = c.wire.Close() // more than MaxSessions; the caller can connect to another daemon
		if s.cfg.SessionRejected != nil {
			s.cfg.SessionRejected()
		}
		return
	}
	s.sessions[c] = struct{}{}
	s.running.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.running.Done()
		c.serve(ctx)
		s.mu.Lock()
		delete(s.sessions, c)
		s.mu.Unlock()
	}()
}

func (s *Server) others() int {
	if s.cfg.Others == nil {
		return 0
	}
	return s.cfg.Others()
}

// Len returns the number of sessions.
func (s *Server) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// CloseIdle closes every session that is idle outside a transaction, so that its caller connects to another daemon.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		c.closeIfIdle()
	}
}

// Recheck ends the sessions whose keys were taken away by a new configuration: idle ones now, the others after their transaction.
func (s *Server) Recheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		c.recheck()
	}
}

// SetIsolated says whether another daemon can serve callers better. While it can, a session that was refused a statement ends as
// soon as it is idle outside a transaction.
func (s *Server) SetIsolated(isolated bool) { s.isolated.Store(isolated) }

// Stop holds the times by which sessions end their work before the process stops.
type Stop struct {
	// TransactionsUntil is the time until which open transactions may run any statement. Later, they may run those whose whole time-out
	// ends before AnswerBy.
	TransactionsUntil clock.Millis
	// AnswerBy is the time by which every statement has its answer.
	AnswerBy clock.Millis
}

// SetStop tells the sessions when the process stops. They go on until Drain ends them.
func (s *Server) SetStop(stop Stop) { s.stop.Store(&stop) }

// answerBy returns the time by which a statement has its answer that would otherwise have it by deadline.
func (s *Server) answerBy(deadline clock.Millis) clock.Millis {
	if stop := s.stop.Load(); stop != nil {
		return min(deadline, stop.AnswerBy)
	}
	return deadline
}

// stopsBefore reports whether the process stops too early for a statement of an open transaction with that time-out.
func (s *Server) stopsBefore(timeout clock.Millis) bool {
	stop := s.stop.Load()
	now := s.deps.Clock.Now()
	return stop != nil && now >= stop.TransactionsUntil && now+timeout > stop.AnswerBy
}

// Drain closes every session as soon as it is idle outside a transaction, and waits for all to end or for ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.CloseIdle()
	done := make(chan struct{})
	go func() {
		s.running.Wait()
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
