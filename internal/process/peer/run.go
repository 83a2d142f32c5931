package peer

import (
	"context"
	"fmt"
	"slices"

	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1"
	"github.com/cactusfork/cactusfork/internal/version/group"
)

const (
	// seedEvery is the number of periods between two attempts to contact seeds.
	seedEvery = 10
	// maxSeeds is the largest number of seeds contacted in one attempt.
	maxSeeds = 3
	// nudged is the largest number of peers informed at once of new objects.
	nudged = 4
	// maxFruitless is the largest number of peers for which a fetch without result is recorded.
	maxFruitless = 1024
)

// beat is an outgoing heartbeat, independent of later changes of the table.
type beat struct {
	Beat
	// objects is the hash of the objects that this daemon holds.
	objects uint64
	// address is the address of the third daemon, for a probe on behalf of a peer.
	address string
}

func (b beat) out() *peerv1.Heartbeat {
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
	defer m.call.http.CloseIdleConnections()
	defer m.work.Wait()
	defer close(m.done)
	for {
		m.tick(ctx)
		if err := m.period(ctx); err != nil {
			return fmt.Errorf("mesh of %s: %w", m.cfg.ID, err)
		}
	}
}

// period handles messages until the next tick is due.
func (m *Mesh) period(ctx context.Context) error {
	due := m.clk.After(m.cfg.Period)
	for {
		select {
		case msg := <-m.inbox:
			msg.take(ctx, m)
		case <-due:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tick starts the probes of a period and, every seedEvery periods, an attempt to contact seeds.
func (m *Mesh) tick(ctx context.Context) {
	m.table.SetDemand(m.seams.Demand())
	probes, changed := m.table.Tick(m.clk.Now())
	m.publish(changed)
	for _, p := range probes {
		m.start(ctx, p)
	}
	if m.ticks%seedEvery == 0 && m.table.Self().State != Left {
		m.work.Go(func() { m.seed(ctx) })
	}
	m.ticks++
}

// start exchanges heartbeats with one peer in a goroutine of its own.
func (m *Mesh) start(ctx context.Context, p Probe) {
	all := m.table.WantAll(p)
	b := m.compose(p.ID, all)
	m.work.Go(func() { m.exchange(ctx, p, b, all) })
}

// exchange performs the exchange of a probe and reports its outcome to the goroutine of Run.
func (m *Mesh) exchange(ctx context.Context, p Probe, b beat, all bool) {
	got, err := m.call.exchange(ctx, p.Address, b.out(), all)
	if err == nil && sane(got.GetSelf()) {
		_ = m.send(ctx, answered{probe: p, beat: got})
		return
	}
	if p.Kind == Neighbour {
		_ = m.send(ctx, missed{probe: p})
	}
}

// seed looks up the seeds and passes them to the goroutine of Run, which contacts those that are not live.
func (m *Mesh) seed(ctx context.Context) {
	ctx, cancel := within(ctx, m.clk, seedEvery*m.cfg.Period)
	defer cancel()
	addresses, err := m.seams.Seeds(ctx)
	if err != nil {
		return
	}
	_ = m.send(ctx, seeds{addresses: addresses})
}

// compose returns the heartbeat for a peer.
func (m *Mesh) compose(to group.DaemonID, all bool) beat {
	return beat{
		Beat:    m.table.Beat(m.clk.Now(), to, all),
		objects: m.seams.Digest().Hash,
	}
}

// takeIn merges a heartbeat into the table and fetches objects if the peer holds others.
func (m *Mesh) takeIn(ctx context.Context, h *peerv1.Heartbeat) {
	now := m.clk.Now()
	if b, ok := beatIn(now, h); ok && m.table.Hear(now, b) {
		m.publish(true)
	}
	m.pull(ctx, h)
}

// publish replaces the snapshot of the live members if they changed, or if the connection to a data centre was lost or restored.
func (m *Mesh) publish(changed bool) {
	live := m.table.Live(m.clk.Now())
	if !changed && slices.EqualFunc(live, m.Live(), func(a, b Member) bool { return a.Lost == b.Lost }) {
		return
	}
	m.live.Store(&live)
	m.seams.Changed()
}

// pull fetches objects from a peer whose hash of the objects differs. It does nothing while another fetch runs, or if a fetch for the
// same pair of hashes brought nothing new before.
func (m *Mesh) pull(ctx context.Context, beat *peerv1.Heartbeat) {
	mine := m.seams.Digest()
	difference := [2]uint64{mine.Hash, beat.GetObjectsHash()}
	from := group.DaemonID(beat.GetSelf().GetId())
	if mine.Hash == beat.GetObjectsHash() || m.pulling || m.fruitless[from] == difference {
		return
	}
	m.pulling = true
	address := beat.GetSelf().GetAddress()
	m.work.Go(func() {
		objects, err := m.call.objects(ctx, address, mine.Held)
		if len(objects) > 0 {
			m.seams.Learnt(objects)
		}
		_ = m.send(ctx, pulled{from: from, difference: difference, err: err})
	})
}
