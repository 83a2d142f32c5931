package peer

import (
	"context"
	"slices"

	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1"
	"github.com/cactusfork/cactusfork/internal/version/group"
)

// message is a message to the goroutine of Run, which owns the table.
type message interface {
	handle(ctx context.Context, m *Mesh)
}

// heartbeatRequest carries a heartbeat that a peer sent and the channel for this daemon's reply.
type heartbeatRequest struct {
	heartbeat *peerv1.Heartbeat
	all       bool
	reply     chan<- outgoingHeartbeat
}

func (h heartbeatRequest) handle(ctx context.Context, m *Mesh) {
	m.mergeHeartbeat(ctx, h.heartbeat)
	h.reply <- m.composeHeartbeat(group.DaemonID(h.heartbeat.GetSelf().GetId()), h.all)
}

// probeReply carries the reply to a probe.
type probeReply struct {
	probe     Probe
	heartbeat *peerv1.Heartbeat
}

func (r probeReply) handle(ctx context.Context, m *Mesh) { m.mergeHeartbeat(ctx, r.heartbeat) }

// probeFailure reports that a neighbour did not reply to a probe. Its handler asks helpers to probe the neighbour.
type probeFailure struct{ probe Probe }

func (f probeFailure) handle(ctx context.Context, m *Mesh) {
	helpers := m.table.HelpersFor(f.probe.ID)
	m.work.Go(func() {
		reached := make([]bool, len(helpers))
		m.forEach(helpers, func(i int, h Member) {
			reached[i], _ = m.client.probe(ctx, h.Address, f.probe.ID)
		})
		if !slices.Contains(reached, true) {
			_ = m.send(ctx, helperFailure(f))
		}
	})
}

// helperFailure reports that no helper reached the neighbour either.
type helperFailure struct{ probe Probe }

func (f helperFailure) handle(_ context.Context, m *Mesh) {
	m.table.MarkSuspect(m.clk.Now(), f.probe.ID, f.probe.Incarnation)
}

// composeRequest requests a heartbeat for a third daemon, which this daemon probes on behalf of a peer.
type composeRequest struct {
	to    group.DaemonID
	reply chan<- outgoingHeartbeat
}

func (c composeRequest) handle(_ context.Context, m *Mesh) {
	b := m.composeHeartbeat(c.to, false)
	if e, ok := m.table.Entry(c.to); ok && c.to != m.cfg.ID {
		b.address = e.Address
	}
	c.reply <- b
}

// seedAddresses carries addresses at which daemons may be reached.
type seedAddresses struct{ addresses []string }

func (s seedAddresses) handle(ctx context.Context, m *Mesh) {
	known := map[string]bool{m.cfg.Address: true}
	for _, p := range m.table.Live(m.clk.Now()) {
		known[p.Address] = true
	}
	candidates := slices.DeleteFunc(slices.Clone(s.addresses), func(a string) bool { return known[a] })
	m.table.set.Random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, a := range candidates[:min(len(candidates), maxSeeds)] {
		m.startExchange(ctx, Probe{Kind: Retry, Address: a})
	}
}

// leaveRequest marks this daemon as left and requests the heartbeat that announces it.
type leaveRequest struct{ reply chan<- outgoingHeartbeat }

func (l leaveRequest) handle(_ context.Context, m *Mesh) {
	m.table.Leave(m.clk.Now())
	l.reply <- m.composeHeartbeat("", false)
}

// exchangeNow starts exchanges before the next period.
type exchangeNow struct{}

func (exchangeNow) handle(ctx context.Context, m *Mesh) {
	for _, p := range m.nearest(immediateExchanges) {
		m.startExchange(ctx, Probe{Kind: Bridge, ID: p.ID, Address: p.Address})
	}
}

// fetchResult reports the end of a fetch of objects. Without an error and with an unchanged digest the fetch brought nothing new, and the
// same pair of hashes does not start another fetch.
type fetchResult struct {
	from   group.DaemonID
	hashes [2]uint64
	err    error
}

func (p fetchResult) handle(_ context.Context, m *Mesh) {
	m.fetching = false
	if p.err != nil || m.deps.Digest().Hash != p.hashes[0] {
		return
	}
	if len(m.fruitlessFetches) >= maxFruitlessFetches {
		clear(m.fruitlessFetches)
	}
	m.fruitlessFetches[p.from] = p.hashes
}
