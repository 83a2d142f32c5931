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
	// inboxSize is the number of messages that may be queued for the loop; senders block while the queue is full.
	inboxSize = 4096
	// tickInterval is the time between two checks of timeouts, in milliseconds.
	tickInterval clock.Millis = 20
)

// PeerView is the view that another daemon has of a target.
type PeerView struct {
	Daemon group.DaemonID
	// Reachability tells whether that daemon reaches the target.
	Reachability group.Reachability
}

// Dependencies are the functions and the store that the loop needs from the process.
type Dependencies struct {
	// Dial connects to a target for status requests.
	Dial func(ctx context.Context, t group.Target) (probe.Link, error)
	// Order sends an order to a target and returns the status after it.
	// It returns a *target.OutrankedError if the target has promised a higher term, or the same term to another daemon.
	Order func(ctx context.Context, t group.Target, o group.Order) (group.Status, error)
	// RequestPeerViews requests the views that other daemons have of a target of the group id, and returns those received in time.
	RequestPeerViews func(ctx context.Context, id group.ID, t group.TargetID) []PeerView
	Store            *platform.Store
	// Random returns a random number in [0, 1) for the jitter of the state machines.
	Random func() float64
	// Load returns the requests of this daemon that run or wait at a target.
	Load func(id group.TargetID) admission.Load
	// Report adds an event to the time line.
	Report func(e event.Event)
}

// Config holds the identity of the daemon and its time limits.
type Config struct {
	Self         group.DaemonID
	Machine      group.Settings
	Probe        probe.Settings
	OrderTimeout clock.Millis // time limit of one order
	StoreTimeout clock.Millis // time limit of one call to the platform's store
	PeersTimeout clock.Millis // time limit of one request for the views of peers
}

// PublishedObjects holds the validated objects that are in force.
type PublishedObjects struct {
	Services map[service.Name]*service.Service
	Groups   map[group.ID]VersionedRecord
}

// VersionedRecord is the record of a group with the version of its object in the platform's store.
type VersionedRecord struct {
	Record  group.Record
	Version platform.Version
}

// message is the input of the loop: an event of one group, published objects, or the list of leaving targets.
type message struct {
	// id is the group of event.
	id        group.ID
	event     group.Event
	published *PublishedObjects
	leaving   []group.TargetID
	// setLeaving is true if the message carries leaving, which may be empty.
	setLeaving bool
}

// Loop owns the control state; Run is its only writer.
type Loop struct {
	cfg      Config
	clk      *clock.Clock
	deps     Dependencies
	inbox    chan message
	snapshot atomic.Pointer[Snapshot]
	// groups is used by the goroutine of Run only.
	groups map[group.ID]*managedGroup
	// tasks counts the goroutines that probe targets and carry out actions.
	tasks sync.WaitGroup
}

// New returns a loop that is idle until Run is called.
func New(cfg *Config, clk *clock.Clock, deps Dependencies) *Loop {
	l := &Loop{
		cfg:    *cfg,
		clk:    clk,
		deps:   deps,
		inbox:  make(chan message, inboxSize),
		groups: make(map[group.ID]*managedGroup),
	}
	l.snapshot.Store(&Snapshot{})
	return l
}

// Snapshot returns the current state.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Publish replaces the objects in force.
func (l *Loop) Publish(ctx context.Context, p *PublishedObjects) { l.send(ctx, message{published: p}) }

// SetLeaving replaces the set of targets whose VMs are marked as leaving.
func (l *Loop) SetLeaving(ctx context.Context, all []group.TargetID) {
	l.send(ctx, message{leaving: all, setLeaving: true})
}

// ReportFailure reports a failed request or connection of a caller's traffic to a target.
func (l *Loop) ReportFailure(ctx context.Context, id group.ID, t group.TargetID, cause group.FailureCause) {
	l.send(ctx, message{id: id, event: group.RequestFailure{Target: t, RequestedAt: l.clk.Now(), Cause: cause}})
}

// send queues a message for the loop and drops it if ctx ends first.
func (l *Loop) send(ctx context.Context, m message) {
	select {
	case l.inbox <- m:
	case <-ctx.Done():
	}
}

// Run processes messages until ctx ends, and returns once all goroutines that it started have ended.
func (l *Loop) Run(ctx context.Context) {
	defer l.tasks.Wait()
	next := l.clk.After(tickInterval)
	for {
		select {
		case m := <-l.inbox:
			l.handle(ctx, &m)
		case <-next:
			l.tick(ctx)
			next = l.clk.After(tickInterval)
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) handle(ctx context.Context, m *message) {
	switch {
	case m.published != nil:
		l.applyPublished(ctx, m.published)
	case m.setLeaving:
		l.applyLeaving(ctx, m.leaving)
	default:
		if g := l.groups[m.id]; g != nil {
			g.step(ctx, m.event)
		}
	}
}

func (l *Loop) tick(ctx context.Context) {
	for _, g := range l.groups {
		g.step(ctx, group.Tick{})
	}
}

func (l *Loop) applyLeaving(ctx context.Context, all []group.TargetID) {
	leaving := make(map[group.TargetID]bool, len(all))
	for _, id := range all {
		leaving[id] = true
	}
	for _, g := range l.groups {
		for _, t := range g.rec.Targets {
			if g.leaving[t.ID] != leaving[t.ID] {
				g.leaving[t.ID] = leaving[t.ID]
				g.step(ctx, group.LeavingUpdate{Target: t.ID, Leaving: leaving[t.ID]})
			}
		}
	}
}

// applyPublished puts published objects into force: it starts new groups, restarts groups whose targets changed, updates the others and stops removed ones.
func (l *Loop) applyPublished(ctx context.Context, p *PublishedObjects) {
	for id, v := range p.Groups {
		g := l.groups[id]
		if g == nil || !g.sameTargets(&v.Record) {
			if g != nil {
				g.stop()
			}
			g = l.startGroup(ctx, &v.Record)
			l.groups[id] = g
		}
		g.step(ctx, group.RecordUpdate{Record: v.Record, Version: uint64(v.Version)})
	}
	for id, g := range l.groups {
		if _, ok := p.Groups[id]; !ok {
			g.stop()
			delete(l.groups, id)
		}
	}
	snapshot := &Snapshot{Services: p.Services, Groups: make(map[group.ID]*GroupState)}
	for id, g := range l.groups {
		snapshot.Groups[id] = g.state
	}
	l.snapshot.Store(snapshot)
}
