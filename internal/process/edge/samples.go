package edge

import (
	"context"
	"errors"
	"sync"

	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// sampleRetryPause is the wait before a primary that could not be sampled is asked again, in milliseconds.
const sampleRetryPause clock.Millis = 20

// sampler keeps the recent samples of each group's position, and lets all that wait for a new one share one request to the primary.
type sampler struct {
	mu     sync.Mutex
	groups map[group.ID]*groupSamples
}

// groupSamples holds the samples of one group.
type groupSamples struct {
	history placement.History
	// done is closed at the end of the pending request, and nil while none is pending.
	done chan struct{}
}

func newSampler() *sampler { return &sampler{groups: make(map[group.ID]*groupSamples)} }

func (s *sampler) forGroup(g group.ID) *groupSamples {
	e := s.groups[g]
	if e == nil {
		e = &groupSamples{}
		s.groups[g] = e
	}
	return e
}

// add records a sample.
func (s *sampler) add(g group.ID, n placement.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forGroup(g).history.Add(n)
}

// get returns the oldest sample requested at or after since. Without one it returns the channel that closes at the end of the pending request; start tells the caller to start that request.
func (s *sampler) get(g group.ID, since clock.Millis) (n placement.Sample, done chan struct{}, start bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.forGroup(g)
	if n, ok := e.history.Oldest(since); ok {
		return n, nil, false
	}
	if e.done == nil {
		e.done, start = make(chan struct{}), true
	}
	return placement.Sample{}, e.done, start
}

// candidates returns the group's targets for a statement of a workspace, with how long each is expected to lag behind the floor of a
// read.
func (s *sampler) candidates(g *groupView, ws workspace.ID, floor position.Point, now clock.Millis) []placement.Candidate {
	list := g.candidates(ws)
	if floor == (position.Point{}) {
		return list
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &s.forGroup(g.id).history
	for i := range list {
		list[i].ExpectedLag = h.ExpectedLag(list[i].Point, list[i].PointAt, floor, now)
	}
	return list
}

// newestTerm returns the newest term of which a sample is known.
func (s *sampler) newestTerm(g group.ID) position.Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forGroup(g).history.Newest().Point.Term
}

// finish ends the pending request of a group.
func (s *sampler) finish(g group.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.forGroup(g)
	close(e.done)
	e.done = nil
}

// sample returns a sample requested at or after since, and waits for one until the deadline. Its error is a *statement.Refusal or that of ctx.
func (d *Daemon) sample(ctx context.Context, g group.ID, since, deadline clock.Millis) (placement.Sample, error) {
	for {
		now := d.clk.Now()
		n, done, start := d.samples.get(g, since)
		if done == nil {
			return n, nil
		}
		if start {
			go d.samplePrimary(ctx, g, since)
		}
		gv := d.view.Load().groups[g]
		if now >= deadline || gv != nil && placement.ShouldFailFast(gv.outageSince(), d.failoverSince(), now) {
			return n, &statement.Refusal{Code: statement.Busy, Text: "primary cannot be asked for its position, come back in 300 ms"}
		}
		select {
		case <-done:
		case <-d.clk.After(deadline - now):
		case <-ctx.Done():
			return n, ctx.Err()
		}
	}
}

// samplePrimary requests a new sample, at since at the earliest: it has the group's primary prove its role.
func (d *Daemon) samplePrimary(ctx context.Context, g group.ID, since clock.Millis) {
	defer d.samples.finish(g)
	if wait := since - d.clk.Now(); wait > 0 && d.clk.Sleep(ctx, wait) != nil {
		return // the waiting sessions see the end of ctx
	}
	gv := d.view.Load().groups[g]
	var t *target
	if gv != nil {
		t = gv.target(gv.primary)
	}
	if t == nil || t.candidate(true).BackoffUntil > d.clk.Now() {
		_ = d.clk.Sleep(ctx, sampleRetryPause) // the waiting sessions see the end of ctx
		return
	}
	if _, err := d.verifyPrimary(ctx, g, t); err != nil {
		_ = d.clk.Sleep(ctx, sampleRetryPause) // the waiting sessions see the end of ctx
	}
}

// verifyPrimary has a target prove that it is the primary and returns its position. It records a failure to answer.
func (d *Daemon) verifyPrimary(ctx context.Context, g group.ID, t *target) (position.Point, error) {
	sentAt := d.clk.Now()
	p, err := d.provePrimary(ctx, g, t)
	if err != nil && !errors.Is(err, errNotPrimary) {
		d.handleFailure(g, t.meta.Load().ID, sentAt, err)
	}
	return p, err
}

var errNotPrimary = errors.New("target is not the primary")

// provePrimary asks a target to begin and end a transaction, which only the primary accepts. It returns the position of the primary.
func (d *Daemon) provePrimary(ctx context.Context, g group.ID, t *target) (position.Point, error) {
	deadline := d.clk.Now() + probeTimeout
	conn, err := t.pool.GetOrOpen(ctx, deadline)
	if err != nil {
		return position.Point{}, err
	}
	defer t.pool.Put(conn)
	sentAt := d.clk.Now()
	r, err := conn.ProvePrimary(deadline)
	if err != nil {
		return position.Point{}, err
	}
	d.handleReply(g, t.meta.Load().ID, &r, 0)
	if !r.Completed {
		return position.Point{}, errNotPrimary
	}
	d.handlePrimaryProof(g, t.meta.Load().ID, placement.Sample{Point: r.Point, RequestedAt: sentAt})
	return r.Point, nil
}
