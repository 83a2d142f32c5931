package entry

import (
	"context"
	"sync"

	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/event"
)

// seeds returns the configured addresses of other daemons.
func (d *Daemon) seeds(context.Context) ([]string, error) { return d.cfg.Seeds, nil }

// viewFor returns this daemon's view of a target for a peer. The target counts as unreachable when it is marked down or when its
// last reply belongs to a probe older than three probe intervals.
func (d *Daemon) viewFor(id group.ID, t group.TargetID) peer.View {
	v := peer.View{Daemon: d.cfg.ID}
	state, ok := d.loop.Snapshot().Groups[id]
	if !ok {
		return v
	}
	for _, o := range state.View().Targets {
		if o.ID != t || o.RequestedAt == 0 {
			continue
		}
		v.Age = d.deps.Clock.Now() - o.RequestedAt
		v.Reach = peer.Reachable
		if o.Down || v.Age > 3*d.cfg.Probe.Interval {
			v.Reach = peer.Unreachable
		}
	}
	return v
}

// demand returns the number of statements that this daemon runs or queues for each target. Each heartbeat carries it to the peers.
func (d *Daemon) demand() []peer.Demand {
	var out []peer.Demand
	for id, c := range d.loop.Snapshot().Groups {
		for _, t := range c.View().Record.Targets {
			out = append(out, peer.Demand{Group: id, Target: t.ID, Statements: d.targets.load(t.ID).Total()})
		}
	}
	return out
}

// membersChanged writes the daemons that joined or left since the last change to the time line.
func (d *Daemon) membersChanged() {
	now := make(map[group.DaemonID]bool)
	for _, m := range d.mesh.Live() {
		now[m.ID] = true
	}
	d.lastPeers.mu.Lock()
	defer d.lastPeers.mu.Unlock()
	for id := range now {
		if !d.lastPeers.ids[id] {
			d.event(event.Event{Kind: event.PeerJoined, Detail: string(id)})
		}
	}
	for id := range d.lastPeers.ids {
		if !now[id] {
			d.event(event.Event{Kind: event.PeerLost, Detail: string(id)})
		}
	}
	d.lastPeers.ids = now
}

// peerSet holds the peers that were live at the last change of the membership.
type peerSet struct {
	mu  sync.Mutex
	ids map[group.DaemonID]bool
}
