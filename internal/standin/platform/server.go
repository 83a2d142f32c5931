package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	api "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	defaultListen  = "127.0.0.1:0"
	defaultWaiting = 30 * clock.Second
	headerTimeout  = 10 * time.Second
)

// Config describes the stand-in; its zero value works.
type Config struct {
	// Listen is the address to listen on, by default a free port of 127.0.0.1.
	Listen string
	// Waiting bounds how long a watch waits for a change, by default 30 s.
	Waiting clock.Millis
	// Clock is this machine's by default.
	Clock *clock.Clock
}

// Calls counts the calls of each kind; a watch is one however long it waits.
type Calls struct {
	Gets    uint64
	Puts    uint64
	Lists   uint64
	Watches uint64
	VMs     uint64
}

// Total is the number of calls of all kinds.
func (c Calls) Total() uint64 { return c.Gets + c.Puts + c.Lists + c.Watches + c.VMs }

// Server is a running stand-in.
type Server struct {
	clk     *clock.Clock
	waiting clock.Millis
	url     string

	mu      sync.Mutex
	objects map[api.Key]api.Object
	version api.Version
	changed chan struct{}
	calls   Calls
	vms     vmList

	down   bool
	slow   clock.Millis
	losing int
}

// Start serves until ctx ends.
func Start(ctx context.Context, cfg Config) (*Server, error) {
	if cfg.Listen == "" {
		cfg.Listen = defaultListen
	}
	if cfg.Waiting == 0 {
		cfg.Waiting = defaultWaiting
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System()
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{
		clk:     cfg.Clock,
		waiting: cfg.Waiting,
		url:     "http://" + l.Addr().String(),
		objects: make(map[api.Key]api.Object),
		changed: make(chan struct{}),
	}
	s.serve(ctx, l)
	return s, nil
}

func (s *Server) serve(ctx context.Context, l net.Listener) {
	h := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	context.AfterFunc(ctx, func() { _ = h.Close() })
	go func() {
		err := h.Serve(l)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = l.Close()
		}
	}()
}

// URL is where the API is served, without a slash at its end.
func (s *Server) URL() string { return s.url }

// Calls returns the counts so far, refused and lost calls included.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Down makes every call fail without an answer until it is called with false.
func (s *Server) Down(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// Slow delays every answer.
func (s *Server) Slow(delay clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = delay
}

// LoseAnswers makes the next n updates take effect without an answer.
func (s *Server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing = n
}

// wake lets waiting watches look again; the caller holds mu.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
