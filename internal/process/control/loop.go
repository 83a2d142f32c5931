package control

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/process/probe"
	"github.com/cactusfork/cactusfork/internal/request/admission"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
)

const (
	// inbox is the number of messages that may wait for the loop.
	inbox = 4096
	// tick is the time between two looks at timeouts, in milliseconds.
	tick clock.Millis = 20
)

// View is what another daemon says of a target.
type View struct {
	Daemon    group.DaemonID
	Reachable group.ViewAnswer
}

// Seams are what the loop needs from the process.
type Seams struct {
	Dial     func(ctx context.Context, t group.Target) (probe.Link, error)
	Order    func(ctx context.Context, t group.Target, o group.Order) (group.Status, error)
	AskViews func(ctx context.Context, id group.ID, t group.TargetID) []View
	Store    *platform.Store
	Random   func() float64
	Load     func(id group.TargetID) admission.Load
	Report   func(e event.Event)
}

// Config says who the daemon is and how fast it works.
type Config struct {
	Self     group.DaemonID
	Machine  group.Settings
	Probe    probe.Settings
	OrderFor clock.Millis // time for one order
	StoreFor clock.Millis // time for one call of the platform
	PeersFor clock.Millis // time for the views of peers
}

// Published are the checked objects in force.
type Published struct {
	Services map[service.Name]*service.Service
	Groups   map[group.ID]Versioned
}

// Versioned is a group's record with the version of its object.
type Versioned struct {
	Record  group.Record
	Version platform.Version
}

// message is what the loop takes; exactly one field is set.
type message struct {
	id        group.ID
	event     group.Event
	published *Published
	leaving   []group.TargetID
	marks     bool
}

// Loop owns the control state.
type Loop struct {
	cfg   Config
	clk   *clock.Clock
	seams Seams
	in    chan message
	snap  atomic.Pointer[Snapshot]
	home  map[group.ID]*member
	work  sync.WaitGroup
}

// New returns a loop that runs nothing before Run.
func New(cfg *Config, clk *clock.Clock, seams Seams) *Loop {
	l := &Loop{
		cfg:   *cfg,
		clk:   clk,
		seams: seams,
		in:    make(chan message, inbox),
		home:  make(map[group.ID]*member),
	}
	l.snap.Store(&Snapshot{})
	return l
}

// Snapshot returns the state in force.
func (l *Loop) Snapshot() *Snapshot { return l.snap.Load() }

// Publish hands over the objects in force.
func (l *Loop) Publish(ctx context.Context, p *Published) { l.send(ctx, message{published: p}) }

// Leaving hands over the targets that are marked as leaving.
func (l *Loop) Leaving(ctx context.Context, all []group.TargetID) {
	l.send(ctx, message{leaving: all, marks: true})
}

// Failed reports a failure that live traffic met at a target.
func (l *Loop) Failed(ctx context.Context, id group.ID, t group.TargetID, cause group.FailureCause) {
	l.send(ctx, message{id: id, event: group.Failed{Target: t, AskedAt: l.clk.Now(), Cause: cause}})
}

func (l *Loop) send(ctx context.Context, m message) {
	select {
	case l.in <- m:
	case <-ctx.Done():
	}
}

// Run works until ctx ends and all work it started has ended.
func (l *Loop) Run(ctx context.Context) {
	defer l.work.Wait()
	next := l.clk.After(tick)
	for {
		select {
		case m := <-l.in:
			l.take(ctx, &m)
		case <-next:
			l.tick(ctx)
			next = l.clk.After(tick)
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) take(ctx context.Context, m *message) {
	switch {
	case m.published != nil:
		l.install(ctx, m.published)
	case m.marks:
		l.mark(ctx, m.leaving)
	default:
		if h := l.home[m.id]; h != nil {
			h.step(ctx, m.event)
		}
	}
}

func (l *Loop) tick(ctx context.Context) {
	for _, h := range l.home {
		h.step(ctx, group.Tick{})
	}
}

func (l *Loop) mark(ctx context.Context, all []group.TargetID) {
	leaving := make(map[group.TargetID]bool, len(all))
	for _, id := range all {
		leaving[id] = true
	}
	for _, h := range l.home {
		for _, t := range h.rec.Targets {
			if h.leaving[t.ID] != leaving[t.ID] {
				h.leaving[t.ID] = leaving[t.ID]
				h.step(ctx, group.Left{Target: t.ID, Leaving: leaving[t.ID]})
			}
		}
	}
}

// install puts published objects into force: new groups start, changed ones learn, dropped ones end.
func (l *Loop) install(ctx context.Context, p *Published) {
	for id, v := range p.Groups {
		h := l.home[id]
		if h == nil || !h.sameTargets(&v.Record) {
			if h != nil {
				h.stop()
			}
			h = l.start(ctx, &v.Record)
			l.home[id] = h
		}
		h.step(ctx, group.Recorded{Record: v.Record, Version: uint64(v.Version)})
	}
	for id, h := range l.home {
		if _, ok := p.Groups[id]; !ok {
			h.stop()
			delete(l.home, id)
		}
	}
	snap := &Snapshot{Services: p.Services, Groups: make(map[group.ID]*Cell)}
	for id, h := range l.home {
		snap.Groups[id] = h.cell
	}
	l.snap.Store(snap)
}
