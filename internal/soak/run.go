package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform/standin"
)

const (
	groupName    = "g"
	groupTargets = 3
	// applyLimit is the time within which an acknowledged configuration has to be in force, in milliseconds.
	applyLimit = 3 * clock.Second
	// contactTime is how long the store and a daemon must have been undisturbed before limits hold, in milliseconds.
	contactTime = 4 * clock.Second
	// regressLimit is how long after a daemon has shown a configuration it may still serve by an older one, in milliseconds.
	regressLimit clock.Millis = 250
)

// Config selects a run.
type Config struct {
	// Seed selects the series of faults.
	Seed uint64
	// Daemons is how many daemons run.
	Daemons int
	// SyncReplicas is how many replicas must have received a commit before it is acknowledged. With it, replicas fail, too, and targets carry out commands late.
	SyncReplicas int
	// Length is how long faults occur, in milliseconds.
	Length clock.Millis
	// Log gets the lines of all daemons.
	Log *zap.Logger
}

// Report tells what a run did and which rules were broken.
type Report struct {
	Versions, Restores, Outages, Restarts, PrimaryFaults, ReplicaFaults, ForgottenTerms, LateCommands int64
	// Writes is how many writes were acknowledged, and Probes how often a configuration was asked for.
	Writes, Probes int64
	// Broken has a line for each broken rule.
	Broken []string
}

// soak is the state of a run.
type soak struct {
	cfg Config
	// run is the number of the run in its process.
	run    uint32
	clk    *clock.Clock
	store  *standin.Store
	group  *standin.Group
	fleet  []*daemon
	config *operator

	versions, restores, outages, restarts, primaryFaults, replicaFaults, forgottenTerms, lateCommands atomic.Int64
	writes, probes                                                                                    atomic.Int64

	// storeMu is held while the store is disturbed. storeCalmAt is when the last disturbance ended.
	storeMu     sync.Mutex
	storeCalmAt atomic.Int64
	// primaryMu is held while a fault of the primary lasts.
	primaryMu sync.Mutex
	// stopped is closed when no more faults occur.
	stopped chan struct{}

	mu     sync.Mutex
	broken []string
	acked  []string
}

// Run carries out one run. Its error means that the run could not take place.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	s := &soak{cfg: cfg, run: runs.Add(1), clk: clock.System(), store: standin.NewStore(), stopped: make(chan struct{})}
	defer s.store.Close()
	s.config = newOperator(s)
	s.config.publish()
	g, err := standin.NewGroup(ctx, s.store, groupName, groupTargets)
	if err != nil {
		return nil, fmt.Errorf("start targets: %w", err)
	}
	defer g.Close()
	g.SyncReplicas = cfg.SyncReplicas
	s.group = g
	if cfg.SyncReplicas > 0 {
		s.delayPromotions(ctx)
	}
	for i := range cfg.Daemons {
		d, err := newDaemon(ctx, s, i)
		if err != nil {
			return nil, fmt.Errorf("start daemon: %w", err)
		}
		s.fleet = append(s.fleet, d)
	}
	ctx, cancel := context.WithCancel(ctx)
	var work sync.WaitGroup
	for _, d := range s.fleet {
		work.Go(func() { d.run(ctx) })
		work.Go(func() { s.probeConfig(ctx, d) })
		work.Go(func() { s.write(ctx, d) })
	}
	s.disturb(ctx)
	s.checkEnd(ctx)
	cancel()
	work.Wait()
	return &Report{
		Versions: s.versions.Load(), Restores: s.restores.Load(), Outages: s.outages.Load(), Restarts: s.restarts.Load(),
		PrimaryFaults: s.primaryFaults.Load(), ReplicaFaults: s.replicaFaults.Load(), ForgottenTerms: s.forgottenTerms.Load(), LateCommands: s.lateCommands.Load(), Writes: s.writes.Load(), Probes: s.probes.Load(), Broken: s.broken,
	}, nil
}

// disturb causes faults until the run's length has passed. The series of the store, of daemons, of primaries and of configurations overlap.
func (s *soak) disturb(ctx context.Context) {
	_ = s.clk.Sleep(ctx, contactTime) // the daemons start
	end := s.clk.Now() + s.cfg.Length
	series := []func(ctx context.Context, r *rand.Rand){s.disturbStore, s.restartDaemon, s.silencePrimary, s.config.change}
	if s.cfg.SyncReplicas > 0 {
		series = append(series, s.silenceReplica, s.delayCommands)
	} else {
		series = append(series, s.forgetTerm)
	}
	copies := newCopies(s)
	var work sync.WaitGroup
	work.Go(func() { copies.collect(ctx) })
	s.config.copies = copies
	for n, next := range series {
		work.Go(func() {
			r := rand.New(rand.NewPCG(s.cfg.Seed, uint64(n)))
			for s.clk.Now() < end && ctx.Err() == nil {
				next(ctx, r)
			}
		})
	}
	work.Go(func() {
		_ = s.clk.Sleep(ctx, end-s.clk.Now()) // the end of ctx ends the run too
		close(s.stopped)
	})
	work.Wait()
}

// checkEnd checks what has to hold once all is calm again.
func (s *soak) checkEnd(ctx context.Context) {
	_ = s.clk.Sleep(ctx, applyLimit+contactTime)
	newest, _ := s.config.newest()
	for _, d := range s.fleet {
		if !s.store.Has("cactusfork-daemons", d.id) {
			s.report("%s: entry is missing in the store at the end", d.id)
		}
		if got := d.ask(ctx, database(newest), "READ a"); !standin.HasRow(got, "") {
			s.report("%s: got %q for version %d at the end, want it in force", d.id, got, newest)
		}
		if got := d.ask(ctx, entriesDatabase, "WRITE end 1"); !standin.Completed(got) {
			s.report("%s: got %q for a write at the end, want it served", d.id, got)
		}
	}
	// Writes go on, so those that are looked for are taken before the log.
	s.mu.Lock()
	acked := s.acked
	s.mu.Unlock()
	primary := s.group.Primary()
	if primary == nil {
		s.report("no primary at the end")
		return
	}
	found := make(map[string]int)
	for _, entry := range primary.Log() {
		found[entry]++
	}
	for _, w := range acked {
		if found[w] != 1 {
			s.report("acknowledged write %q is %d times in the log, want once", w, found[w])
		}
	}
}

func (s *soak) report(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}
