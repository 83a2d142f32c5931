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
	// settleLimit bounds the wait for daemons to serve and for the final state to settle.
	settleLimit = 20 * clock.Second
	// settlePoll is the time between two looks while waiting, in milliseconds.
	settlePoll clock.Millis = 20
)

// Run sets a trial up and returns its figures.
func Run(ctx context.Context, cfg *Config, clk *clock.Clock, log *zap.Logger) (*Report, error) {
	s, err := NewEnvironment(ctx, cfg, clk, log)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	if s.cfg.Started != nil {
		s.cfg.Started(s)
	}
	if s.cfg.Length == 0 {
		<-ctx.Done()
		return nil, nil
	}
	return s.measure(ctx)
}

func (s *Environment) measure(ctx context.Context) (*Report, error) {
	h := &History{}
	l := &load{clk: s.clk, addresses: s.Addresses(), driver: NewDriver(), history: h, acks: newAckLog(), think: s.cfg.ThinkTime}
	if s.cfg.Driver != nil {
		s.cfg.Driver(l.driver)
	}
	fault, err := s.play(ctx, l)
	if err != nil {
		return nil, err
	}
	final, err := s.final(ctx)
	if err != nil {
		return nil, err
	}
	for _, a := range s.instances {
		a.daemon.Flush()
	}
	r := &Report{Fault: s.cfg.Fault, Policy: s.cfg.Policy, Seed: s.cfg.Seed, Seconds: s.cfg.Length.Duration().Seconds()}
	r.Losses = Check(h, final)
	r.tally(h)
	if s.cfg.Fault.primaryFails() {
		r.FailoverGap = gap(h, fault)
		r.Parts = s.parts(fault.began)
	}
	for _, e := range s.Events {
		r.count(e.Events())
	}
	r.PlatformCalls = s.Platform.Calls().Total()
	r.score(h)
	return r, nil
}

// play runs the load with the fault in the middle, and returns when that was.
func (s *Environment) play(ctx context.Context, l *load) (outage, error) {
	within, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(within, s.cfg.Sessions, s.cfg.Seed)
	}()
	end := s.clk.After(s.cfg.Length)
	fault, err := s.inject(ctx, s.cfg.Length)
	select {
	case <-end:
	case <-ctx.Done():
	}
	cancel()
	<-done
	return fault, err
}

// awaitReady waits until every daemon serves.
func (s *Environment) awaitReady(ctx context.Context) error {
	return s.await(ctx, "daemons to serve", func() bool {
		for _, a := range s.instances {
			if !a.daemon.Serves(GroupID) {
				return false
			}
		}
		return true
	})
}

func (s *Environment) await(ctx context.Context, what string, ok func() bool) error {
	limit := s.clk.Now() + settleLimit
	for !ok() {
		if s.clk.Now() > limit {
			return fmt.Errorf("waited %d ms for %s", settleLimit, what)
		}
		if err := s.clk.Sleep(ctx, settlePoll); err != nil {
			return err
		}
	}
	return nil
}

// final reads the rows of the leading primary once a majority holds its log.
func (s *Environment) final(ctx context.Context) ([]Row, error) {
	if err := s.await(ctx, "a primary with a majority", s.settled); err != nil {
		return nil, fmt.Errorf("%w: %s", err, s.describe())
	}
	rows, err := s.Primary().Rows(ctx, "SELECT id, lot FROM quotes")
	if err != nil {
		return nil, fmt.Errorf("read final state: %w", err)
	}
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		if len(r) != 2 {
			return nil, errors.New("final state has other columns than asked for")
		}
		out = append(out, Row{ID: r[0], Lot: r[1]})
	}
	return out, nil
}

// describe tells what each target says of itself, for errors.
func (s *Environment) describe() string {
	var b strings.Builder
	for _, t := range s.Targets {
		fmt.Fprintf(&b, "%s %+v; ", t.ID(), t.Status())
	}
	return b.String()
}

func (s *Environment) settled() bool {
	p := s.Primary()
	top := p.Status().Received
	n := 0
	for _, t := range s.Targets {
		if st := t.Status(); st.Received == top && (t == p || st.Following == p.ID()) {
			n++
		}
	}
	return p.Status().Primary && n > Members/2
}

// latency fills in the times of acknowledged requests.
func (r *Report) latency(h *History) {
	var writes, reads []clock.Millis
	for i := range h.Writes {
		if w := &h.Writes[i]; w.Fate == Acknowledged {
			writes = append(writes, w.Finished-w.Began)
		}
	}
	for i := range h.Reads {
		if e := &h.Reads[i]; e.Fate == Acknowledged {
			reads = append(reads, e.Took)
		}
	}
	r.WriteMedian, r.Write95 = quantiles(writes)
	r.ReadMedian, r.Read95 = quantiles(reads)
}

// quantiles returns the median and the 95th percentile.
func quantiles(all []clock.Millis) (median, p95 clock.Millis) {
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)*95/100]
}
