package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// ErrStopped is returned once the mesh no longer runs.
var ErrStopped = errors.New("mesh has stopped")

// ErrNoPeers is returned when no peer answered.
var ErrNoPeers = errors.New("no peer answered")

// DefaultPeriod is the time between two rounds of probes where none is configured.
const DefaultPeriod = clock.Second / 2

// Config says who this daemon is among its peers.
type Config struct {
	ID      group.DaemonID
	Address string
	// AdminAddress is told to peers, for operators who know one daemon only.
	AdminAddress string
	DataCentre   group.DataCentre
	// Period is the time between two rounds of probes and bounds each call; 0 means DefaultPeriod.
	Period clock.Millis
	// TLS is used for calls to peers, with this daemon's certificate for mutual TLS; nil means cleartext.
	TLS *tls.Config
	// Wrap sees every call to a peer, to add what travels with all of them; nil adds nothing.
	Wrap func(http.RoundTripper) http.RoundTripper
}

// Seams are what the mesh needs from the rest of the daemon; a nil field is never called.
type Seams struct {
	// Seeds returns addresses of daemons from the settings and the platform; they may be stale.
	Seeds func(ctx context.Context) ([]string, error)
	// View returns this daemon's last sight of a target.
	View func(g group.ID, t group.TargetID) View
	// Objects returns the objects of which this daemon holds a newer version than held, or which held lacks.
	Objects func(held []KeyVersion) []platform.Object
	// Digest sums up the objects that this daemon holds; it must not wait.
	Digest func() Digest
	// Demand returns what this daemon wants of the targets; it must not wait.
	Demand func() []Demand
	// Learnt takes in objects that a peer holds newer.
	Learnt func(objects []platform.Object)
	// Changed is called when the live members have changed; it must not wait.
	Changed func()
}

// Mesh runs the membership of this daemon; Run owns the table and everything else reads snapshots.
type Mesh struct {
	cfg   Config
	clk   *clock.Clock
	seams Seams
	table *Table
	call  *caller
	inbox chan message
	done  chan struct{}
	live  atomic.Pointer[[]Member]
	work  sync.WaitGroup

	// The fields below are touched by the goroutine of Run only.
	ticks     uint64
	pulling   bool
	fruitless map[group.DaemonID][2]uint64
}

// New returns a mesh that is not running yet.
func New(cfg Config, clk *clock.Clock, s Seams) *Mesh {
	if cfg.Period <= 0 {
		cfg.Period = DefaultPeriod
	}
	self := Member{
		ID:           cfg.ID,
		Address:      cfg.Address,
		AdminAddress: cfg.AdminAddress,
		DataCentre:   cfg.DataCentre,
		Incarnation:  Incarnation(max(1, clk.Wall())),
	}
	m := &Mesh{
		cfg:       cfg,
		clk:       clk,
		seams:     s.filled(),
		table:     NewTable(self, Defaults(cfg.Period)),
		call:      newCaller(&cfg, clk),
		inbox:     make(chan message),
		done:      make(chan struct{}),
		fruitless: map[group.DaemonID][2]uint64{},
	}
	m.live.Store(&[]Member{})
	return m
}

// filled puts harmless functions where a seam is nil.
func (s Seams) filled() Seams {
	if s.Seeds == nil {
		s.Seeds = func(context.Context) ([]string, error) { return nil, nil }
	}
	if s.View == nil {
		s.View = func(group.ID, group.TargetID) View { return View{} }
	}
	if s.Objects == nil {
		s.Objects = func([]KeyVersion) []platform.Object { return nil }
	}
	if s.Digest == nil {
		s.Digest = func() Digest { return Digest{} }
	}
	if s.Demand == nil {
		s.Demand = func() []Demand { return nil }
	}
	if s.Learnt == nil {
		s.Learnt = func([]platform.Object) {}
	}
	if s.Changed == nil {
		s.Changed = func() {}
	}
	return s
}

// Live returns the other daemons held to run, in order of their ids; the slice must not be changed.
func (m *Mesh) Live() []Member { return *m.live.Load() }

// AskView asks up to k live peers, those of the own data centre first, what they saw of a target; a peer that does not answer in time is left out.
func (m *Mesh) AskView(ctx context.Context, g group.ID, t group.TargetID, k int) []View {
	peers := m.nearest(k)
	views := make([]View, len(peers))
	m.each(peers, func(i int, p Member) {
		v, err := m.call.view(ctx, p.Address, g, t)
		if err == nil {
			views[i] = v
		}
	})
	return slices.DeleteFunc(views, func(v View) bool { return v.Daemon == "" })
}

// FetchObjects asks peers, the nearest first, for the objects newer than those held until one answers; ErrNoPeers when none does.
func (m *Mesh) FetchObjects(ctx context.Context) ([]platform.Object, error) {
	held := m.seams.Digest().Held
	for _, p := range m.nearest(maxFetchFrom) {
		objects, err := m.call.objects(ctx, p.Address, held)
		if err == nil {
			return objects, nil
		}
	}
	return nil, ErrNoPeers
}

// Leave announces a graceful stop to peers; the mesh goes on answering until the context of Run ends.
func (m *Mesh) Leave(ctx context.Context) error {
	reply := make(chan beat, 1)
	if err := m.send(ctx, leave{reply: reply}); err != nil {
		return err
	}
	b := <-reply
	m.each(m.nearest(maxFarewells), func(_ int, p Member) {
		_, _ = m.call.exchange(ctx, p.Address, b.out(), false)
	})
	return nil
}

// Nudge exchanges heartbeats at once with a few peers, so that a change of the objects spreads faster than by the period.
func (m *Mesh) Nudge(ctx context.Context) error { return m.send(ctx, nudge{}) }

// nearest returns up to k live peers in a random order, those of the own data centre first and the lost last.
func (m *Mesh) nearest(k int) []Member {
	peers := shuffled(m.Live())
	slices.SortStableFunc(peers, func(a, b Member) int { return m.distance(a) - m.distance(b) })
	return peers[:min(k, len(peers))]
}

func (m *Mesh) distance(p Member) int {
	switch {
	case p.Lost:
		return 2
	case p.DataCentre != m.cfg.DataCentre:
		return 1
	}
	return 0
}

// each calls f for all peers at once and waits for the calls to end.
func (m *Mesh) each(peers []Member, f func(i int, p Member)) {
	var all sync.WaitGroup
	for i, p := range peers {
		all.Go(func() { f(i, p) })
	}
	all.Wait()
}

// send hands a message to the goroutine of Run.
func (m *Mesh) send(ctx context.Context, msg message) error {
	select {
	case m.inbox <- msg:
		return nil
	case <-m.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
