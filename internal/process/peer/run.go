package peer

import (
	"context"
	"fmt"
	"slices"

	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1"
	"github.com/cactusfork/cactusfork/internal/version/group"
)

const (
	// seedInterval is the number of periods between two attempts to contact seeds.
	seedInterval = 10
	// maxSeeds is the largest number of seeds contacted in one attempt.
	maxSeeds = 3
	// immediateExchanges is the largest number of peers informed at once of new objects.
	immediateExchanges = 4
	// maxFruitlessFetches is the largest number of peers for which a fetch without result is recorded.
	maxFruitlessFetches = 1024
)

// outgoingHeartbeat is an outgoing heartbeat, independent of later changes of the table.
type outgoingHeartbeat struct {
	Heartbeat
	// objects is the hash of the objects that this daemon holds.
	objects uint64
	// address is the address of the third daemon, for a probe on behalf of a peer.
	address string
}

func (b outgoingHeartbeat) out() *peerv1.Heartbeat {
	return &peerv1.Heartbeat{
		Self:        memberOut(b.Now, &b.Self),
		MembersHash: b.Hash,
		ObjectsHash: b.objects,
		Members:     membersOut(b.Now, b.Members),
		Pulses:      pulsesOut(b.Pulses),
	}
}

// Run probes the peers and handles messages until ctx ends, and returns the error of ctx.
func (m *Mesh) Run(ctx context.Context) error {
	defer m.client.http.CloseIdleConnections()
	defer m.work.Wait()
	defer close(m.done)
	for {
		m.tick(ctx)
		if err := m.handleUntilTick(ctx); err != nil {
			return fmt.Errorf("mesh of %s: %w", m.cfg.ID, err)
		}
	}
}

// handleUntilTick handles messages until the next tick is due.
func (m *Mesh) handleUntilTick(ctx context.Context) error {
	due := m.clk.After(m.cfg.Period)
	for {
		select {
		case msg := <-m.inbox:
			msg.handle(ctx, m)
		case <-due:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tick starts the probes of a period and, every seedInterval periods, an attempt to contact seeds.
func (m *Mesh) tick(ctx context.Context) {
	m.table.SetDemand(m.deps.Demand())
	probes, changed := m.table.Tick(m.clk.Now())
	m.publishLive(changed)
	for _, p := range probes {
		m.startExchange(ctx, p)
	}
	if m.ticks%seedInterval == 0 && m.table.Self().State != Left {
		m.work.Go(func() { m.lookUpSeeds(ctx) })
	}
	m.ticks++
}

// startExchange exchanges heartbeats with one peer in a goroutine of its own.
func (m *Mesh) startExchange(ctx context.Context, p Probe) {
	all := m.table.NeedsAll(p)
	b := m.composeHeartbeat(p.ID, all)
	m.work.Go(func() { m.exchange(ctx, p, b, all) })
}

// exchange performs the exchange of a probe and reports its outcome to the goroutine of Run.
func (m *Mesh) exchange(ctx context.Context, p Probe, b outgoingHeartbeat, all bool) {
	got, err := m.client.exchange(ctx, p.Address, b.out(), all)
	if err == nil && validMember(got.GetSelf()) {
		_ = m.send(ctx, probeReply{probe: p, heartbeat: got})
		return
	}
	if p.Kind == Neighbour {
		_ = m.send(ctx, probeFailure{probe: p})
	}
}

// lookUpSeeds looks up the seeds and passes them to the goroutine of Run, which contacts those that are not live.
func (m *Mesh) lookUpSeeds(ctx context.Context) {
	ctx, cancel := withTimeout(ctx, m.clk, seedInterval*m.cfg.Period)
	defer cancel()
	addresses, err := m.deps.Seeds(ctx)
	if err != nil {
		return
	}
	_ = m.send(ctx, seedAddresses{addresses: addresses})
}

// composeHeartbeat returns the heartbeat for a peer.
func (m *Mesh) composeHeartbeat(to group.DaemonID, all bool) outgoingHeartbeat {
	return outgoingHeartbeat{
		Heartbeat: m.table.Heartbeat(m.clk.Now(), to, all),
		objects:   m.deps.Digest().Hash,
	}
}

// mergeHeartbeat merges a heartbeat into the table and fetches objects if the peer holds others.
func (m *Mesh) mergeHeartbeat(ctx context.Context, h *peerv1.Heartbeat) {
	now := m.clk.Now()
	if b, ok := heartbeatIn(now, h); ok && m.table.MergeHeartbeat(now, b) {
		m.publishLive(true)
	}
	m.fetchObjects(ctx, h)
}

// publishLive replaces the snapshot of the live members if they changed, or if the connection to a data centre was lost or restored.
func (m *Mesh) publishLive(changed bool) {
	live := m.table.Live(m.clk.Now())
	if !changed && slices.EqualFunc(live, m.Live(), func(a, b Member) bool { return a.Lost == b.Lost }) {
		return
	}
	m.live.Store(&live)
	m.deps.MembersChanged()
}

// fetchObjects fetches objects from a peer whose hash of the objects differs. It does nothing while another fetch runs, or if a fetch for the
// same pair of hashes brought nothing new before.
func (m *Mesh) fetchObjects(ctx context.Context, heartbeat *peerv1.Heartbeat) {
	mine := m.deps.Digest()
	hashes := [2]uint64{mine.Hash, heartbeat.GetObjectsHash()}
	from := group.DaemonID(heartbeat.GetSelf().GetId())
	if mine.Hash == heartbeat.GetObjectsHash() || m.fetching || m.fruitlessFetches[from] == hashes {
		return
	}
	m.fetching = true
	address := heartbeat.GetSelf().GetAddress()
	m.work.Go(func() {
		objects, err := m.client.objects(ctx, address, mine.Held)
		if len(objects) > 0 {
			m.deps.ApplyObjects(objects)
		}
		_ = m.send(ctx, fetchResult{from: from, hashes: hashes, err: err})
	})
}
