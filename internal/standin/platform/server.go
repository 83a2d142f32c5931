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
	defaultListen     = "127.0.0.1:0"
	defaultWatchWait  = 30 * clock.Second
	readHeaderTimeout = 10 * time.Second
)

// Config configures the stand-in. Its zero value uses the defaults.
type Config struct {
	// Listen is the address to listen on, by default a free port of 127.0.0.1.
	Listen string
	// WatchWait is how long a watch without a change is held, by default 30 s.
	WatchWait clock.Millis
	// Clock is by default the clock of this machine.
	Clock *clock.Clock
}

// Calls counts the calls of each kind. A watch is one call however long it waits.
type Calls struct {
	Gets    uint64
	Puts    uint64
	Lists   uint64
	Watches uint64
	VMs     uint64
}

// Total returns the number of calls of all kinds.
func (c Calls) Total() uint64 { return c.Gets + c.Puts + c.Lists + c.Watches + c.VMs }

// Server is a running stand-in. Its state is in memory only.
type Server struct {
	clk       *clock.Clock
	watchWait clock.Millis
	url       string

	mu      sync.Mutex
	objects map[api.Key]api.Object
	version api.Version
	// changed is closed and replaced on each change.
	changed chan struct{}
	calls   Calls
	vms     vmList

	down bool
	// responseDelay is added before each response.
	responseDelay clock.Millis
	// responsesToDrop is how many further updates take effect without a response.
	responsesToDrop int
}

// Start starts a stand-in that serves until ctx ends.
func Start(ctx context.Context, cfg Config) (*Server, error) {
	if cfg.Listen == "" {
		cfg.Listen = defaultListen
	}
	if cfg.WatchWait == 0 {
		cfg.WatchWait = defaultWatchWait
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System()
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{
		clk:       cfg.Clock,
		watchWait: cfg.WatchWait,
		url:       "http://" + listener.Addr().String(),
		objects:   make(map[api.Key]api.Object),
		changed:   make(chan struct{}),
	}
	s.serve(ctx, listener)
	return s, nil
}

func (s *Server) serve(ctx context.Context, listener net.Listener) {
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		err := server.Serve(listener)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = listener.Close()
		}
	}()
}

// URL returns the root of the API, without a trailing slash.
func (s *Server) URL() string { return s.url }

// Calls returns the counts so far, including calls that failed or got no response.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetDown sets whether the server closes the connection of every call, waiting watches included, without a response.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeWatches()
}

// SetDelay delays every response by the given time.
func (s *Server) SetDelay(delay clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseDelay = delay
}

// DropResponses makes the next n updates take effect without a response.
func (s *Server) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToDrop = n
}

// wakeWatches makes waiting watches check for changes again; the caller holds s.mu.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
