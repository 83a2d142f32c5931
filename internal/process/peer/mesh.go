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

// ErrStopped is returned after Run has ended.
var ErrStopped = errors.New("mesh has stopped")

// ErrNoPeers is returned if no peer replied.
var ErrNoPeers = errors.New("no peer answered")

// DefaultPeriod is the time between two rounds of probes if none is configured.
const DefaultPeriod = clock.Second / 2

// Config holds the identity of this daemon and the settings of its calls to peers.
type Config struct {
	ID      group.DaemonID
	Address string
	// AdminAddress is sent to the peers, so that an operator who knows one daemon can find the others.
	AdminAddress string
	DataCentre   group.DataCentre
	// Period is the time between two rounds of probes and the timeout of a call; 0 means DefaultPeriod.
	Period clock.Millis
	// TLS configures calls to peers and contains this daemon's certificate for mutual TLS; nil means cleartext.
	TLS *tls.Config
	// Wrap wraps the transport of all calls to peers, for example to add headers; nil leaves the transport as it is.
	Wrap func(http.RoundTripper) http.RoundTripper
}

// Dependencies holds the functions by which the mesh uses the rest of the daemon. A nil field is replaced by a function that does nothing.
type Dependencies struct {
	// Seeds returns addresses of daemons from the settings and the platform. The addresses may be stale.
	Seeds func(ctx context.Context) ([]string, error)
	// View returns this daemon's latest view of a target.
	View func(g group.ID, t group.TargetID) View
	// Objects returns the objects that are missing in held or that this daemon holds in a newer version.
	Objects func(held []KeyVersion) []platform.Object
	// Digest returns the digest of the objects that this daemon holds. It must not block.
	Digest func() Digest
	// Demand returns this daemon's demand for each target. It must not block.
	Demand func() []Demand
	// ApplyObjects receives objects of which a peer holds a newer version.
	ApplyObjects func(objects []platform.Object)
	// MembersChanged is called after the live members have changed. It must not block.
	MembersChanged func()
}

// Mesh maintains this daemon's membership among its peers. The goroutine of Run owns the table; other goroutines read snapshots.
type Mesh struct {
	cfg    Config
	clk    *clock.Clock
	deps   Dependencies
	table  *Table
	client *client
	inbox  chan message
	done   chan struct{}
	live   atomic.Pointer[[]Member]
	work   sync.WaitGroup

	// Only the goroutine of Run uses the fields below.
	ticks uint64
	// fetching is true while a fetch of objects runs.
	fetching bool
	// fruitlessFetches holds the last pair of own and peer hashes for which a fetch from a peer changed nothing.
	fruitlessFetches map[group.DaemonID][2]uint64
}

// New returns a mesh, which starts with Run.
func New(cfg Config, clk *clock.Clock, s Dependencies) *Mesh {
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
		cfg:              cfg,
		clk:              clk,
		deps:             s.withDefaults(),
		table:            NewTable(self, Defaults(cfg.Period)),
		client:           newClient(&cfg, clk),
		inbox:            make(chan message),
		done:             make(chan struct{}),
		fruitlessFetches: map[group.DaemonID][2]uint64{},
	}
	m.live.Store(&[]Member{})
	return m
}

// withDefaults returns s with nil functions replaced by functions that do nothing.
func (s Dependencies) withDefaults() Dependencies {
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
	if s.ApplyObjects == nil {
		s.ApplyObjects = func([]platform.Object) {}
	}
	if s.MembersChanged == nil {
		s.MembersChanged = func() {}
	}
	return s
}

// Live returns the other daemons that are considered live, sorted by id. The caller must not modify the slice.
func (m *Mesh) Live() []Member { return *m.live.Load() }

// RequestViews returns the views that up to k live peers have of a target. Peers in the same data centre are preferred; a peer that does
// not reply in time is left out.
func (m *Mesh) RequestViews(ctx context.Context, g group.ID, t group.TargetID, k int) []View {
	peers := m.nearest(k)
	views := make([]View, len(peers))
	m.forEach(peers, func(i int, p Member) {
		v, err := m.client.view(ctx, p.Address, g, t)
		if err == nil {
			views[i] = v
		}
	})
	return slices.DeleteFunc(views, func(v View) bool { return v.Daemon == "" })
}

// FetchObjects returns the objects of which a peer holds a newer version. It asks up to maxFetchFrom peers, the nearest first, until
// one replies, and returns ErrNoPeers if none does.
func (m *Mesh) FetchObjects(ctx context.Context) ([]platform.Object, error) {
	held := m.deps.Digest().Held
	for _, p := range m.nearest(maxFetchFrom) {
		objects, err := m.client.objects(ctx, p.Address, held)
		if err == nil {
			return objects, nil
		}
	}
	return nil, ErrNoPeers
}

// Leave announces a graceful stop to peers. The mesh still replies to peers until the context of Run ends.
func (m *Mesh) Leave(ctx context.Context) error {
	reply := make(chan outgoingHeartbeat, 1)
	if err := m.send(ctx, leaveRequest{reply: reply}); err != nil {
		return err
	}
	b := <-reply
	m.forEach(m.nearest(maxLeaveCalls), func(_ int, p Member) {
		_, _ = m.client.exchange(ctx, p.Address, b.out(), false)
	})
	return nil
}

// ExchangeNow starts an exchange of heartbeats with a few peers at once, so that a change of the objects spreads without waiting for the
// next period.
func (m *Mesh) ExchangeNow(ctx context.Context) error { return m.send(ctx, exchangeNow{}) }

// nearest returns up to k live peers in random order: first those of the same data centre, last those of lost data centres.
func (m *Mesh) nearest(k int) []Member {
	peers := shuffled(m.Live())
	slices.SortStableFunc(peers, func(a, b Member) int { return m.distance(a) - m.distance(b) })
	return peers[:min(k, len(peers))]
}

// distance ranks a peer for nearest; a lower value is nearer.
func (m *Mesh) distance(p Member) int {
	switch {
	case p.Lost:
		return 2
	case p.DataCentre != m.cfg.DataCentre:
		return 1
	}
	return 0
}

// forEach calls f for all peers concurrently and waits until all calls have returned.
func (m *Mesh) forEach(peers []Member, f func(i int, p Member)) {
	var all sync.WaitGroup
	for i, p := range peers {
		all.Go(func() { f(i, p) })
	}
	all.Wait()
}

// send passes a message to the goroutine of Run. It returns ErrStopped if Run has ended.
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
