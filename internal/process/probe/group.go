package probe

import (
	"context"
	"errors"
	"sync"

	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// ErrReplaced means that the term of a point has ended, so that no majority will confirm the point any more.
var ErrReplaced = errors.New("the primary of this term was replaced")

// Link is a connection over which the status of one target is requested.
type Link struct {
	Status func(ctx context.Context) (group.Status, error)
	Close  func()
}

// Dependencies are the functions that a GroupProber needs from the process.
type Dependencies struct {
	// Dial connects to a target.
	Dial func(ctx context.Context, t group.Target) (Link, error)
	// Report receives each status reply and each failure as an event of the group.
	Report func(e group.Event)
}

// Settings are the times of probing, in milliseconds.
type Settings struct {
	// Interval is the time that follows the pause before the next status request to a target, unless a call requests it earlier.
	Interval clock.Millis
	// Timeout is the time limit of a status request, including that of the connection if none is open.
	Timeout clock.Millis
	// Pause is the minimum time between the end of a status request and the next one; only the first request of a Sample or Confirm call skips it.
	Pause clock.Millis
}

// StatusReply is the last status reply of a target.
type StatusReply struct {
	Status group.Status
	// RequestedAt is when the status request was sent, by the local clock in milliseconds.
	RequestedAt clock.Millis
	// round is the number that the request took from the group's counter.
	round uint64
}

// GroupProber probes the targets of one group.
type GroupProber struct {
	rec  group.Record
	set  Settings
	clk  *clock.Clock
	deps Dependencies
	mu   sync.Mutex
	// round counts status requests and Sample calls; a reply with a higher round was requested later.
	round   uint64
	term    position.Term
	replies map[group.TargetID]StatusReply
	// changed is closed and replaced when a reply or a new term arrives.
	changed chan struct{}
	probers []*targetProber
}

// New returns a prober of rec's targets; it sends nothing before Run is called.
func New(rec *group.Record, set Settings, clk *clock.Clock, deps Dependencies) *GroupProber {
	g := &GroupProber{
		rec:     *rec,
		set:     set,
		clk:     clk,
		deps:    deps,
		replies: make(map[group.TargetID]StatusReply),
		changed: make(chan struct{}),
	}
	for _, t := range rec.Targets {
		g.probers = append(g.probers, newTargetProber(g, t))
	}
	return g
}

// Run probes until ctx ends.
func (g *GroupProber) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range g.probers {
		wg.Go(func() { p.run(ctx) })
	}
	wg.Wait()
}

// SetTerm sets the current term, so that Confirm calls for points of earlier terms end with ErrReplaced.
func (g *GroupProber) SetTerm(t position.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t <= g.term {
		return
	}
	g.term = t
	g.broadcast()
}

// ProbeSoon probes all targets after the pause and without the interval.
func (g *GroupProber) ProbeSoon() {
	for _, p := range g.probers {
		signal(p.soon)
	}
}

// probeNow probes all targets without the pause and the interval; each wait does so once, when it begins.
func (g *GroupProber) probeNow() {
	for _, p := range g.probers {
		signal(p.now)
	}
}

// Sample probes the targets and returns once a majority has replied to requests sent after the call.
// It fails only with the error of ctx.
func (g *GroupProber) Sample(ctx context.Context) (route.Sample, error) {
	requestedAt := g.clk.Now()
	round := g.nextRound()
	for probe := g.probeNow; ; probe = g.ProbeSoon {
		point, n, changed := g.receivedSince(round)
		if n >= g.rec.Majority() {
			return route.Sample{Point: point, RequestedAt: requestedAt}, nil
		}
		probe()
		if err := wait(ctx, changed); err != nil {
			return route.Sample{}, err
		}
	}
}

// LatestSample returns the newest sample that the last replies give, and false if fewer than a majority of the targets have replied.
func (g *GroupProber) LatestSample() (route.Sample, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	replies := make([]route.StatusReply, 0, len(g.replies))
	for id, r := range g.replies {
		replies = append(replies, route.StatusReply{Target: id, Status: r.Status, RequestedAt: r.RequestedAt})
	}
	return route.MakeSample(&g.rec, replies)
}

// Confirm returns once a majority holds p in the term of p; the primary of that term, which reported p, counts as holding it.
// It fails with ErrReplaced once a later term is set, or with the error of ctx.
func (g *GroupProber) Confirm(ctx context.Context, p position.Point) error {
	for probe := g.probeNow; ; probe = g.ProbeSoon {
		n, term, changed := g.countHolders(p)
		if n >= g.rec.Majority() {
			return nil
		}
		if term > p.Term {
			return ErrReplaced
		}
		probe()
		if err := wait(ctx, changed); err != nil {
			return err
		}
	}
}

func wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// receivedSince returns the highest received point among the replies to requests after the round, and the number of these replies.
func (g *GroupProber) receivedSince(round uint64) (position.Point, int, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var highest position.Point
	n := 0
	for _, r := range g.replies {
		if r.round > round {
			n++
			highest = position.Max(highest, r.Status.Received)
		}
	}
	return highest, n, g.changed
}

// countHolders returns the number of targets that hold p, and the current term.
func (g *GroupProber) countHolders(p position.Point) (int, position.Term, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.replies {
		if route.Holds(&r.Status, p) {
			n++
		}
	}
	return n, g.term, g.changed
}

func (g *GroupProber) nextRound() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.round++
	return g.round
}

// recordReply stores the reply if it is newer than the last one of the target, and reports it in any case.
func (g *GroupProber) recordReply(t group.TargetID, r StatusReply) {
	g.mu.Lock()
	if g.replies[t].round < r.round {
		g.replies[t] = r
		g.broadcast()
	}
	g.mu.Unlock()
	g.deps.Report(group.ProbeReply{Target: t, RequestedAt: r.RequestedAt, Status: r.Status})
}

// broadcast wakes all waits; g.mu must be held.
func (g *GroupProber) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}
