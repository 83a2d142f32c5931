package peer

import (
	"context"
	"fmt"
	"slices"

	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1"
	"github.com/cactusfork/cactusfork/internal/version/group"
)

const (
	// seedEvery is the number of periods between two looks at the seeds.
	seedEvery = 10
	// maxSeeds is the number of seeds tried at a time.
	maxSeeds = 3
	// nudged is the number of peers told at once of new objects.
	nudged = 4
	// maxFruitless is the number of peers of which a fetch without result is remembered.
	maxFruitless = 1024
)

// beat is a heartbeat as it is sent, detached from the table.
type beat struct {
	Beat
	objects uint64
	// address is where a third daemon is reached, for a probe on another's behalf.
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

// Run probes the peers and takes in what they say until ctx ends; it returns the error of ctx.
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

// period takes in messages until the next tick is due.
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

// start exchanges heartbeats with one peer beside the goroutine of Run.
func (m *Mesh) start(ctx context.Context, p Probe) {
	all := m.table.WantAll(p)
	b := m.compose(p.ID, all)
	m.work.Go(func() { m.exchange(ctx, p, b, all) })
}

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

// seed reaches for seeds that are not live yet.
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

// takeIn merges a heartbeat into the table.
func (m *Mesh) takeIn(ctx context.Context, h *peerv1.Heartbeat) {
	now := m.clk.Now()
	if b, ok := beatIn(now, h); ok && m.table.Hear(now, b) {
		m.publish(true)
	}
	m.pull(ctx, h)
}

// publish replaces the snapshot when members changed or a data centre was lost or found.
func (m *Mesh) publish(changed bool) {
	live := m.table.Live(m.clk.Now())
	if !changed && slices.EqualFunc(live, m.Live(), func(a, b Member) bool { return a.Lost == b.Lost }) {
		return
	}
	m.live.Store(&live)
	m.seams.Changed()
}

// pull fetches objects from a peer that holds others than this daemon, unless the same difference gave nothing before.
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
