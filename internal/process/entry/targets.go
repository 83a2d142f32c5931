package entry

import (
	"context"
	"net"
	"sync"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/process/probe"
	"github.com/cactusfork/cactusfork/internal/request/admission"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// sweepInterval is the time between two sweeps that close connections past their idle timeout.
const sweepInterval = 5 * clock.Second

// poolKey identifies a pool of interchangeable connections.
type poolKey struct {
	address  string
	database string
}

// targets holds the connection pools and the slot gates of all targets that the daemon uses.
type targets struct {
	cfg       TargetConfig
	clk       *clock.Clock
	mu        sync.Mutex
	pools     map[poolKey]*target.Pool
	slotGates map[group.TargetID]*slotGate
}

// TargetConfig holds the credentials for targets and the limits of the connection pools and queues.
type TargetConfig struct {
	User     string
	Password string
	// Warm is the number of connections that each pool keeps open.
	Warm        int
	DialTimeout clock.Millis
	IdleTimeout clock.Millis
	// Queue is the largest number of requests that wait for one target.
	Queue int
	// Dial opens connections to targets; nil means TCP.
	Dial func(ctx context.Context, hostPort string) (net.Conn, error)
}

func newTargets(cfg *TargetConfig, clk *clock.Clock) *targets {
	return &targets{
		cfg:       *cfg,
		clk:       clk,
		pools:     make(map[poolKey]*target.Pool),
		slotGates: make(map[group.TargetID]*slotGate),
	}
}

// pool returns the connection pool of t for a database and creates it on first use.
func (s *targets) pool(t *group.Target, database string) *target.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := poolKey{address: t.Address, database: database}
	p := s.pools[key]
	if p == nil {
		p = target.NewPool(s.address(t, database), target.PoolConfig{
			Minimum:     s.cfg.Warm,
			Maximum:     max(t.Connections, 1),
			IdleTimeout: s.cfg.IdleTimeout,
			Clock:       s.clk,
		})
		s.pools[key] = p
	}
	return p
}

func (s *targets) address(t *group.Target, database string) target.Address {
	return target.Address{HostPort: t.Address, User: s.cfg.User, Password: s.cfg.Password, Database: database, Dial: s.cfg.Dial}
}

// slotGate returns the slot gate of t and creates it on first use.
func (s *targets) slotGate(t *group.Target) *slotGate {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.slotGates[t.ID]
	if g == nil {
		g = newSlotGate(t, s.cfg.Queue, s.clk)
		s.slotGates[t.ID] = g
	}
	return g
}

// load returns the number of this daemon's requests that are in flight or waiting at a target.
func (s *targets) load(id group.TargetID) admission.Load {
	s.mu.Lock()
	g := s.slotGates[id]
	s.mu.Unlock()
	if g == nil {
		return admission.Load{}
	}
	return g.gate.Load()
}

// resize divides n connections to an address among its pools. Each pool may open at least one.
func (s *targets) resize(address string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var pools []*target.Pool
	for key, p := range s.pools {
		if key.address == address {
			pools = append(pools, p)
		}
	}
	for _, p := range pools {
		size := max(n/len(pools), 1)
		p.Resize(min(s.cfg.Warm, size), size)
	}
}

// connections returns the number of open connections to an address.
func (s *targets) connections(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key, p := range s.pools {
		if key.address == address {
			n += p.Counts().Open
		}
	}
	return n
}

// dial opens a connection for the status probes of a target.
func (s *targets) dial(ctx context.Context, t group.Target) (probe.Link, error) {
	c, err := target.Dial(ctx, s.address(&t, controlDatabase))
	if err != nil {
		return probe.Link{}, err
	}
	return probe.Link{Status: c.Status, Close: c.Close}, nil
}

// order sends an order to t over a new connection and returns the status in the reply.
func (s *targets) order(ctx context.Context, t group.Target, o group.Order) (group.Status, error) {
	c, err := target.Dial(ctx, s.address(&t, controlDatabase))
	if err != nil {
		return group.Status{}, err
	}
	return c.Order(ctx, o)
}

// run closes idle connections until ctx ends, and then closes all pools.
func (s *targets) run(ctx context.Context) {
	for s.clk.Sleep(ctx, sweepInterval) == nil {
		for _, p := range s.allPools() {
			p.Sweep()
		}
	}
	for _, p := range s.allPools() {
		p.Close()
	}
}

func (s *targets) allPools() []*target.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*target.Pool, 0, len(s.pools))
	for _, p := range s.pools {
		out = append(out, p)
	}
	return out
}

// controlDatabase is the database that probes and orders connect to.
const controlDatabase = "postgres"
