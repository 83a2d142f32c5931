package target

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Config describes one stand-in target; a limit of 0 means none.
type Config struct {
	ID         group.TargetID
	DataCentre group.DataCentre
	// Listen is the address to listen on, by default a free port of 127.0.0.1.
	Listen string
	// Slots is the number of statements at work at once.
	Slots int
	// Connections is the number of sessions at once.
	Connections int
	// ConnectDelay passes before the start of a session is answered.
	ConnectDelay clock.Millis
	// Lag passes between receiving and applying a log record on a replica.
	Lag clock.Millis
	// StatementTime is how long every statement holds its slot before it runs.
	StatementTime clock.Millis
}

// ErrUnknownTarget means that no target of that name was started.
var ErrUnknownTarget = errors.New("unknown target")

type link struct{ from, to group.TargetID }

// Network holds the stand-in targets that replicate to each other and the faults between them.
type Network struct {
	clk *clock.Clock

	// mu guards the log, role and faults of all targets.
	mu      sync.Mutex
	targets map[group.TargetID]*Target
	cut     map[link]bool
	cutOff  map[group.TargetID]bool
}

// NewNetwork returns an empty network that takes its time from clk.
func NewNetwork(clk *clock.Clock) *Network {
	return &Network{
		clk:     clk,
		targets: make(map[group.TargetID]*Target),
		cut:     make(map[link]bool),
		cutOff:  make(map[group.TargetID]bool),
	}
}

// Start starts a target that runs until ctx ends; it is an empty replica that follows none.
func (n *Network) Start(ctx context.Context, cfg Config) (*Target, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	t, err := newTarget(ctx, n, cfg)
	if err != nil {
		return nil, fmt.Errorf("new target: %w", err)
	}
	if err := n.register(t); err != nil {
		return nil, err
	}
	if err := t.start(ctx); err != nil {
		return nil, fmt.Errorf("start target: %w", err)
	}
	context.AfterFunc(ctx, t.shutDown)
	return t, nil
}

func (n *Network) register(t *Target) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.targets[t.cfg.ID] != nil {
		return fmt.Errorf("target %s has been started already", t.cfg.ID)
	}
	n.targets[t.cfg.ID] = t
	return nil
}

// Bootstrap makes primary the primary at term, lets the others follow it and gives all of them schema.
func (n *Network) Bootstrap(ctx context.Context, primary group.TargetID, term position.Term, schema ...string) error {
	n.mu.Lock()
	p := n.targets[primary]
	if p == nil {
		n.mu.Unlock()
		return fmt.Errorf("bootstrap %s: %w", primary, ErrUnknownTarget)
	}
	p.primary = true
	p.upstream = ""
	p.logTerm = term
	for _, sql := range schema {
		p.log = append(p.log, entry{record: newRecord(p.end(), term, []logged{{sql: sql}})})
	}
	if len(schema) == 0 {
		p.log = append(p.log, entry{record: newRecord(p.end(), term, nil)})
	}
	var all []*Target
	for _, t := range n.targets {
		t.promise = term
		t.staged.term = term
		if t != p {
			t.upstream = primary
			t.staged.upstream = primary
		}
		all = append(all, t)
	}
	n.connect()
	n.mu.Unlock()
	for _, t := range all {
		if err := t.applyAll(ctx); err != nil {
			return fmt.Errorf("bootstrap %s: %w", t.cfg.ID, err)
		}
	}
	return nil
}

// Cut stops replication from one target to another.
func (n *Network) Cut(from, to group.TargetID) {
	n.fault(func() { n.cut[link{from, to}] = true })
}

// CutOff stops replication from id and to id; callers and daemons still reach it.
func (n *Network) CutOff(id group.TargetID) {
	n.fault(func() { n.cutOff[id] = true })
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.fault(func() {
		clear(n.cut)
		clear(n.cutOff)
	})
}

func (n *Network) fault(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	n.connect()
}

// connect starts and ends the streams as roles and faults now say; the caller holds mu.
func (n *Network) connect() {
	for _, t := range n.targets {
		t.stream()
		t.wake()
	}
}

func (n *Network) passes(from, to *Target) bool {
	if n.cutOff[from.cfg.ID] || n.cutOff[to.cfg.ID] {
		return false
	}
	return !n.cut[link{from.cfg.ID, to.cfg.ID}]
}
