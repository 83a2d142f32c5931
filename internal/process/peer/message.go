package peer

import (
	"context"
	"slices"

	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1"
	"github.com/cactusfork/cactusfork/internal/version/group"
)

// message is a message to the goroutine of Run, which owns the table.
type message interface {
	take(ctx context.Context, m *Mesh)
}

// heard carries a heartbeat that a peer sent and the channel for this daemon's reply.
type heard struct {
	beat  *peerv1.Heartbeat
	all   bool
	reply chan<- beat
}

func (h heard) take(ctx context.Context, m *Mesh) {
	m.takeIn(ctx, h.beat)
	h.reply <- m.compose(group.DaemonID(h.beat.GetSelf().GetId()), h.all)
}

// answered carries the reply to a probe.
type answered struct {
	probe Probe
	beat  *peerv1.Heartbeat
}

func (a answered) take(ctx context.Context, m *Mesh) { m.takeIn(ctx, a.beat) }

// missed reports that a neighbour did not reply to a probe. Its handler asks helpers to probe the neighbour.
type missed struct{ probe Probe }

func (s missed) take(ctx context.Context, m *Mesh) {
	helpers := m.table.Missed(s.probe.ID)
	m.work.Go(func() {
		reached := make([]bool, len(helpers))
		m.each(helpers, func(i int, h Member) {
			reached[i], _ = m.call.probe(ctx, h.Address, s.probe.ID)
		})
		if !slices.Contains(reached, true) {
			_ = m.send(ctx, unconfirmed(s))
		}
	})
}

// unconfirmed reports that no helper reached the neighbour either.
type unconfirmed struct{ probe Probe }

func (u unconfirmed) take(_ context.Context, m *Mesh) {
	m.table.Unconfirmed(m.clk.Now(), u.probe.ID, u.probe.Incarnation)
}

// compose requests a heartbeat for a third daemon, which this daemon probes on behalf of a peer.
type compose struct {
	to    group.DaemonID
	reply chan<- beat
}

func (c compose) take(_ context.Context, m *Mesh) {
	b := m.compose(c.to, false)
	if e, ok := m.table.Entry(c.to); ok && c.to != m.cfg.ID {
		b.address = e.Address
	}
	c.reply <- b
}

// seeds carries addresses at which daemons may be reached.
type seeds struct{ addresses []string }

func (s seeds) take(ctx context.Context, m *Mesh) {
	known := map[string]bool{m.cfg.Address: true}
	for _, p := range m.table.Live(m.clk.Now()) {
		known[p.Address] = true
	}
	fresh := slices.DeleteFunc(slices.Clone(s.addresses), func(a string) bool { return known[a] })
	m.table.set.Random.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	for _, a := range fresh[:min(len(fresh), maxSeeds)] {
		m.start(ctx, Probe{Kind: Retry, Address: a})
	}
}

// leave marks this daemon as left and requests the heartbeat that announces it.
type leave struct{ reply chan<- beat }

func (l leave) take(_ context.Context, m *Mesh) {
	m.table.Leave(m.clk.Now())
	l.reply <- m.compose("", false)
}

// nudge starts exchanges before the next period.
type nudge struct{}

func (nudge) take(ctx context.Context, m *Mesh) {
	for _, p := range m.nearest(nudged) {
		m.start(ctx, Probe{Kind: Bridge, ID: p.ID, Address: p.Address})
	}
}

// pulled reports the end of a fetch of objects. Without an error and with an unchanged digest the fetch brought nothing new, and the
// same pair of hashes does not start another fetch.
type pulled struct {
	from       group.DaemonID
	difference [2]uint64
	err        error
}

func (p pulled) take(_ context.Context, m *Mesh) {
	m.pulling = false
	if p.err != nil || m.seams.Digest().Hash != p.difference[0] {
		return
	}
	if len(m.fruitless) >= maxFruitless {
		clear(m.fruitless)
	}
	m.fruitless[p.from] = p.difference
}
