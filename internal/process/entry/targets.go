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

// sweepEvery is the time between two looks for connections that have idled too long.
const sweepEvery = 5 * clock.Second

// poolKey names the connections that may stand in for each other.
type poolKey struct {
	address  string
	database string
}

// targets holds the connections and the gates of all targets that the daemon uses.
type targets struct {
	cfg       TargetConfig
	clk       *clock.Clock
	mu        sync.Mutex
	pools     map[poolKey]*target.Pool
	slotGates map[group.TargetID]*slotGate
}

// TargetConfig says how the daemon logs in to targets and how many connections it keeps.
type TargetConfig struct {
	User        string
	Password    string
	Warm        int
	DialTimeout clock.Millis
	IdleTimeout clock.Millis
	Queue       int
	// Dial opens connections to targets; nil means over TCP.
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

// pool returns the connections to t for a database, opening the pool at first use.
func (s *targets) pool(t *group.Target, database string) *target.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := poolKey{address: t.Address, database: database}
	p := s.pools[key]
	if p == nil {
		p = target.NewPool(s.address(t, database), target.PoolConfig{
			Minimum:   s.cfg.Warm,
			Maximum:   max(t.Connections, 1),
			IdleLimit: s.cfg.IdleTimeout,
			Clock:     s.clk,
		})
		s.pools[key] = p
	}
	return p
}

func (s *targets) address(t *group.Target, database string) target.Address {
	return target.Address{HostPort: t.Address, User: s.cfg.User, Password: s.cfg.Password, Database: database, Dial: s.cfg.Dial}
}

// slotGate returns the place where requests to t wait.
func (s *targets) slotGate(t *group.Target) *slotGate {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.slotGates[t.ID]
	if d == nil {
		d = newSlotGate(t, s.cfg.Queue, s.clk)
		s.slotGates[t.ID] = d
	}
	return d
}

// load is what this daemon has at work and waiting at a target.
func (s *targets) load(id group.TargetID) admission.Load {
	s.mu.Lock()
	d := s.slotGates[id]
	s.mu.Unlock()
	if d == nil {
		return admission.Load{}
	}
	return d.gate.Load()
}

// resize divides n connections to an address among its pools, each of which keeps one at least.
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
		most := max(n/len(pools), 1)
		p.Resize(min(s.cfg.Warm, most), most)
	}
}

// connections is the number of open connections to an address.
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

// dial opens the link over which a target is asked for its status.
func (s *targets) dial(ctx context.Context, t group.Target) (probe.Link, error) {
	c, err := target.Dial(ctx, s.address(&t, controlDatabase))
	if err != nil {
		return probe.Link{}, err
	}
	return probe.Link{Status: c.Status, Close: c.Close}, nil
}

// order gives an order over a connection of its own.
func (s *targets) order(ctx context.Context, t group.Target, o group.Order) (group.Status, error) {
	c, err := target.Dial(ctx, s.address(&t, controlDatabase))
	if err != nil {
		return group.Status{}, err
	}
	return c.Order(ctx, o)
}

// run sweeps idle connections until ctx ends, and closes all of them then.
func (s *targets) run(ctx context.Context) {
	for s.clk.Sleep(ctx, sweepEvery) == nil {
		for _, p := range s.all() {
			p.Sweep()
		}
	}
	for _, p := range s.all() {
		p.Close()
	}
}

func (s *targets) all() []*target.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*target.Pool, 0, len(s.pools))
	for _, p := range s.pools {
		out = append(out, p)
	}
	return out
}

// controlDatabase is the database over which targets are asked and ordered.
const controlDatabase = "postgres"
