package trial

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// settleTimeout bounds the wait for the daemons to serve and for the final state, in milliseconds. It only ends a trial that would
	// never settle: nothing that a trial checks depends on how long a busy machine takes, and 20 s was too short for one at a load of 45.
	settleTimeout = 120 * clock.Second
	// settlePollInterval is the time between two checks of the awaited condition, in milliseconds.
	settlePollInterval clock.Millis = 20
)

// Run runs a trial and returns its report. With a length of 0 it runs the daemons without load until ctx ends and returns nil.
func Run(ctx context.Context, cfg *Config, clk *clock.Clock, log *zap.Logger) (*Report, error) {
	env, err := NewEnvironment(ctx, cfg, clk, log)
	if err != nil {
		return nil, err
	}
	defer env.Close()
	if err := env.awaitReady(ctx); err != nil {
		return nil, err
	}
	if env.cfg.Started != nil {
		env.cfg.Started(env)
	}
	if env.cfg.Length == 0 {
		<-ctx.Done()
		return nil, nil
	}
	return env.measure(ctx)
}

// measure applies the load, checks the outcomes against the final state and returns the report.
func (env *Environment) measure(ctx context.Context) (*Report, error) {
	h := &History{}
	l := &load{clk: env.clk, addresses: env.Addresses(), driver: NewDriver(), history: h, acks: newAckLog(), thinkTime: env.cfg.ThinkTime}
	if env.cfg.Driver != nil {
		env.cfg.Driver(l.driver)
	}
	began := env.clk.Now()
	fault, err := env.runLoad(ctx, l)
	if err != nil {
		return nil, err
	}
	seconds := max(env.cfg.Length, min(env.clk.Now()-began, env.cfg.MaxLength)).Duration().Seconds()
	finalState, err := env.finalState(ctx)
	if err != nil {
		return nil, err
	}
	for _, inst := range env.instances {
		inst.daemon.Flush()
	}
	r := &Report{Fault: env.cfg.Fault, Policy: env.cfg.Policy, Seed: env.cfg.Seed, Seconds: seconds}
	r.Losses = Check(h, finalState)
	r.addHistory(h)
	if env.cfg.Fault.primaryFails() {
		r.FailoverGap = failoverGap(h, fault)
		r.Parts = env.failoverParts(fault.began)
	}
	for _, e := range env.Events {
		r.addEvents(e.Events())
	}
	r.PlatformCalls = env.Platform.Calls().Total()
	r.computeScores(h)
	return r, nil
}

// runLoad runs the load for the configured length, injects the faults in the middle, and returns the times of the injection. With a
// maximum length, the faults wait for requests to be served, and the end of the load for the requests behind them.
func (env *Environment) runLoad(ctx context.Context, l *load) (faultTimes, error) {
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(loadCtx, env.cfg.Sessions, env.cfg.Seed)
	}()
	limit := env.clk.Now() + env.cfg.MaxLength
	end := env.clk.After(env.cfg.Length)
	fault, err := env.inject(ctx, func() { env.awaitProgress(ctx, limit, func() bool { return l.history.servedEachKind() }) })
	select {
	case <-end:
	case <-ctx.Done():
	}
	if err == nil {
		env.awaitProgress(ctx, limit, func() bool { return l.history.complete(env.cfg.Fault, fault) })
	}
	cancel()
	<-done
	return fault, err
}

// awaitProgress waits until ok returns true, but not beyond limit. The checks of the trial show what is missing then.
func (env *Environment) awaitProgress(ctx context.Context, limit clock.Millis, ok func() bool) {
	for env.clk.Now() < limit && !ok() {
		if env.clk.Sleep(ctx, settlePollInterval) != nil {
			return
		}
	}
}

// awaitReady waits until every daemon serves the group.
func (env *Environment) awaitReady(ctx context.Context) error {
	return env.await(ctx, "daemons to serve", func() bool {
		for _, inst := range env.instances {
			if !inst.daemon.Serves(GroupID) {
				return false
			}
		}
		return true
	})
}

// await polls ok until it returns true; it fails after settleTimeout with an error that names the awaited condition.
func (env *Environment) await(ctx context.Context, what string, ok func() bool) error {
	limit := env.clk.Now() + settleTimeout
	for !ok() {
		if env.clk.Now() > limit {
			return fmt.Errorf("timed out after %d ms waiting for %s", settleTimeout, what)
		}
		if err := env.clk.Sleep(ctx, settlePollInterval); err != nil {
			return err
		}
	}
	return nil
}

// finalState reads the rows of the primary once a majority of the targets holds its log.
func (env *Environment) finalState(ctx context.Context) ([]Row, error) {
	if err := env.await(ctx, "a majority of targets to hold the primary's log", env.hasSettled); err != nil {
		return nil, fmt.Errorf("%w: target status: %s", err, env.describeTargets())
	}
	rows, err := env.Primary().Rows(ctx, "SELECT id, lot FROM quotes")
	if err != nil {
		return nil, fmt.Errorf("read final state: %w", err)
	}
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		if len(r) != 2 {
			return nil, errors.New("read final state: row does not have the 2 columns id and lot")
		}
		out = append(out, Row{ID: r[0], Lot: r[1]})
	}
	return out, nil
}

// describeTargets formats the status of each target for error messages.
func (env *Environment) describeTargets() string {
	var b strings.Builder
	for _, t := range env.Targets {
		fmt.Fprintf(&b, "%s %+v; ", t.ID(), t.Status())
	}
	return b.String()
}

// hasSettled reports whether a majority of the targets holds the log of the primary and follows it.
func (env *Environment) hasSettled() bool {
	p := env.Primary()
	top := p.Status().Received
	n := 0
	for _, t := range env.Targets {
		if st := t.Status(); st.Received == top && (t == p || st.Following == p.ID()) {
			n++
		}
	}
	return p.Status().Primary && n > TargetCount/2
}

// computeLatencies sets the median and the 95th percentile of the latency of acknowledged requests.
func (r *Report) computeLatencies(h *History) {
	var writes, reads []clock.Millis
	for i := range h.Writes {
		if w := &h.Writes[i]; w.Outcome == Acknowledged {
			writes = append(writes, w.Finished-w.Began)
		}
	}
	for i := range h.Reads {
		if e := &h.Reads[i]; e.Outcome == Acknowledged {
			reads = append(reads, e.Took)
		}
	}
	r.WriteMedian, r.Write95 = quantiles(writes)
	r.ReadMedian, r.Read95 = quantiles(reads)
}

// quantiles sorts all and returns its median and its 95th percentile, both 0 if it is empty.
func quantiles(all []clock.Millis) (median, p95 clock.Millis) {
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*95/100]
}
