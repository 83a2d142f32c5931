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

// ErrReplaced means that a point's term has ended, so that no majority will confirm it.
var ErrReplaced = errors.New("the primary of this term was replaced")

// Link asks one target over one connection.
type Link struct {
	Status func(ctx context.Context) (group.Status, error)
	Close  func()
}

// Seams are what a Group needs from the process.
type Seams struct {
	// Dial opens a link to a target.
	Dial func(ctx context.Context, t group.Target) (Link, error)
	// Report takes each answer and failure as an event of the group.
	Report func(e group.Event)
}

// Settings are the times of probing, in milliseconds.
type Settings struct {
	// Interval is the time between two questions to a target when nobody waits.
	Interval clock.Millis
	// Timeout ends a question without an answer.
	Timeout clock.Millis
	// Pause is the least time between two questions while somebody waits.
	Pause clock.Millis
}

// Answer is what a target said last, with the round in which it was asked.
type Answer struct {
	Status  group.Status
	AskedAt clock.Millis
	round   uint64
}

// Group watches the targets of one group.
type Group struct {
	rec     group.Record
	set     Settings
	clk     *clock.Clock
	seams   Seams
	mu      sync.Mutex
	round   uint64
	term    position.Term
	answers map[group.TargetID]Answer
	changed chan struct{}
	probers []*prober
}

// New returns a watcher of rec's targets; nothing runs before Run.
func New(rec *group.Record, set Settings, clk *clock.Clock, seams Seams) *Group {
	g := &Group{
		rec:     *rec,
		set:     set,
		clk:     clk,
		seams:   seams,
		answers: make(map[group.TargetID]Answer),
		changed: make(chan struct{}),
	}
	for _, t := range rec.Targets {
		g.probers = append(g.probers, newProber(g, t))
	}
	return g
}

// Run probes until ctx ends.
func (g *Group) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range g.probers {
		wg.Go(func() { p.run(ctx) })
	}
	wg.Wait()
}

// SetTerm tells the term now in force, so that waits for an earlier one end with ErrReplaced.
func (g *Group) SetTerm(t position.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t <= g.term {
		return
	}
	g.term = t
	g.broadcast()
}

// Kick asks all targets at once instead of at their next interval.
func (g *Group) Kick() {
	for _, p := range g.probers {
		signal(p.kick)
	}
}

// urge asks all targets without the pause between two questions, once for each wait that begins.
func (g *Group) urge() {
	for _, p := range g.probers {
		signal(p.urge)
	}
}

// Sample asks the targets and returns once a majority has answered questions sent after the call.
func (g *Group) Sample(ctx context.Context) (route.Sample, error) {
	asked := g.clk.Now()
	want := g.nextRound()
	for ask := g.urge; ; ask = g.Kick {
		point, n, changed := g.since(want)
		if n >= g.rec.Majority() {
			return route.Sample{Point: point, AskedAt: asked}, nil
		}
		ask()
		if err := wait(ctx, changed); err != nil {
			return route.Sample{}, err
		}
	}
}

// Standing returns the newest sample that the answers at hand give.
func (g *Group) Standing() (route.Sample, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	answers := make([]route.StatusReply, 0, len(g.answers))
	for id, a := range g.answers {
		answers = append(answers, route.StatusReply{Target: id, Status: a.Status, RequestedAt: a.AskedAt})
	}
	return route.MakeSample(&g.rec, answers)
}

// Confirm returns once a majority holds p in the term of p; the primary of that term, which reported p, counts as holding it.
func (g *Group) Confirm(ctx context.Context, p position.Point) error {
	for ask := g.urge; ; ask = g.Kick {
		n, term, changed := g.holders(p)
		if n >= g.rec.Majority() {
			return nil
		}
		if term > p.Term {
			return ErrReplaced
		}
		ask()
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

func (g *Group) since(round uint64) (position.Point, int, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var top position.Point
	n := 0
	for _, a := range g.answers {
		if a.round > round {
			n++
			top = position.Max(top, a.Status.Received)
		}
	}
	return top, n, g.changed
}

func (g *Group) holders(p position.Point) (int, position.Term, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, a := range g.answers {
		if route.Holds(&a.Status, p) {
			n++
		}
	}
	return n, g.term, g.changed
}

func (g *Group) nextRound() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.round++
	return g.round
}

func (g *Group) answered(t group.TargetID, a Answer) {
	g.mu.Lock()
	if g.answers[t].round < a.round {
		g.answers[t] = a
		g.broadcast()
	}
	g.mu.Unlock()
	g.seams.Report(group.Answered{Target: t, AskedAt: a.AskedAt, Status: a.Status})
}

func (g *Group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}
