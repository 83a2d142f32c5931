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

// Config configures one stand-in target. Slots and Connections of 0 mean no limit; times are in milliseconds.
type Config struct {
	ID         group.TargetID
	DataCentre group.DataCentre
	// Listen is the address to listen on, by default a free port of 127.0.0.1.
	Listen string
	// Slots is the maximum number of concurrent statements.
	Slots int
	// Connections is the maximum number of concurrent sessions.
	Connections int
	// ConnectDelay is the delay before the target replies to the start of a session.
	ConnectDelay clock.Millis
	// Lag is the delay between receiving and applying a log record on a replica.
	Lag clock.Millis
	// StatementTime is how long a statement holds its slot before it runs.
	StatementTime clock.Millis
}

// ErrUnknownTarget means that the network has no target with the given ID.
var ErrUnknownTarget = errors.New("unknown target")

// link is the replication link from one target to another.
type link struct{ from, to group.TargetID }

// Network holds stand-in targets that replicate to each other, and the replication faults between them.
type Network struct {
	clk *clock.Clock

	// mu guards the log, role and faults of all targets.
	mu      sync.Mutex
	targets map[group.TargetID]*Target
	cut     map[link]bool
	cutOff  map[group.TargetID]bool
}

// NewNetwork returns an empty network whose targets use clk.
func NewNetwork(clk *clock.Clock) *Network {
	return &Network{
		clk:     clk,
		targets: make(map[group.TargetID]*Target),
		cut:     make(map[link]bool),
		cutOff:  make(map[group.TargetID]bool),
	}
}

// Start starts a target that runs until ctx ends. The target is an empty replica that follows no primary.
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

// Bootstrap makes primary the primary at term, makes all other targets follow it and applies schema to all of them. It returns
// ErrUnknownTarget if primary was not started.
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
		p.log = append(p.log, logEntry{record: newRecord(p.lastPoint(), term, []loggedStatement{{sql: sql}})})
	}
	if len(schema) == 0 {
		p.log = append(p.log, logEntry{record: newRecord(p.lastPoint(), term, nil)})
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
	n.reconnect()
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
	n.updateFaults(func() { n.cut[link{from, to}] = true })
}

// CutOff stops replication from and to the target id; callers and daemons still reach it.
func (n *Network) CutOff(id group.TargetID) {
	n.updateFaults(func() { n.cutOff[id] = true })
}

// Heal ends the faults of Cut and CutOff.
func (n *Network) Heal() {
	n.updateFaults(func() {
		clear(n.cut)
		clear(n.cutOff)
	})
}

// updateFaults changes the faults and reconnects the targets.
func (n *Network) updateFaults(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	n.reconnect()
}

// reconnect starts and stops the replication streams according to the current roles and faults; the caller holds mu.
func (n *Network) reconnect() {
	for _, t := range n.targets {
		t.followUpstream()
		t.notifyChange()
	}
}

// canReplicate reports whether no fault stops replication from one target to another; the caller holds mu.
func (n *Network) canReplicate(from, to *Target) bool {
	if n.cutOff[from.cfg.ID] || n.cutOff[to.cfg.ID] {
		return false
	}
	return !n.cut[link{from.cfg.ID, to.cfg.ID}]
}
