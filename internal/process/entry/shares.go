package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/request/limit"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// shareInterval is the time between two adjustments of the shares, in milliseconds.
	shareInterval clock.Millis = 100
	// warmInterval is the time between two rounds that open connections in advance, in milliseconds.
	warmInterval clock.Millis = 500
	// controlConnections is the number of a target's connections that are reserved for the probes and orders of each daemon.
	controlConnections = 2
)

// updateShares updates this daemon's share of the slots and connections of every target until ctx ends.
func (d *Daemon) updateShares(ctx context.Context) {
	for d.deps.Clock.Sleep(ctx, shareInterval) == nil {
		live := d.mesh.Live()
		now := d.deps.Clock.Now()
		for _, c := range d.loop.Snapshot().Groups {
			targets := c.View().Record.Targets
			for i := range targets {
				d.updateShare(now, &targets[i], live)
			}
		}
	}
}

// updateShare sets this daemon's share of the slots and the connections of t. The shares of the live daemons follow from their demands.
func (d *Daemon) updateShare(now clock.Millis, t *group.Target, live []peer.Member) {
	gate := d.targets.slotGate(t)
	demands := []limit.Demand{{Daemon: d.cfg.ID, Want: gate.gate.Load().Total()}}
	for _, m := range live {
		demands = append(demands, limit.Demand{Daemon: m.ID, Want: demandOf(m, t.ID)})
	}
	slots := limit.Pool{Target: t.ID, Total: t.Slots}
	gate.setShare(now, slots.Share(d.cfg.ID, demands))
	connections := limit.Pool{Target: t.ID, Total: t.Connections, Reserve: controlConnections * len(demands)}
	d.targets.resize(t.Address, connections.Share(d.cfg.ID, demands))
}

// warmPools opens connections in advance until ctx ends. It includes replicas, since one of them may become primary.
func (d *Daemon) warmPools(ctx context.Context) {
	for d.deps.Clock.Sleep(ctx, warmInterval) == nil {
		snap := d.loop.Snapshot()
		for _, svc := range snap.Services {
			if c, ok := snap.Groups[svc.Group]; ok {
				d.warmGroup(ctx, c.View(), string(svc.Name))
			}
		}
	}
}

func (d *Daemon) warmGroup(ctx context.Context, v *route.View, database string) {
	for i := range v.Targets {
		t := &v.Targets[i]
		if t.Down || t.Leaving {
			continue
		}
		dialCtx, cancel := context.WithTimeout(ctx, d.cfg.Targets.DialTimeout.Duration())
		err := d.targets.pool(&t.Target, database).Warm(dialCtx)
		cancel()
		if err != nil {
			d.deps.Log.Debug("connections not opened in advance", zap.String("target", string(t.ID)), zap.Error(err))
		}
	}
}

// demandOf returns the demand of m for a target, in statements.
func demandOf(m peer.Member, id group.TargetID) int {
	for _, o := range m.Demand {
		if o.Target == id {
			return o.Statements
		}
	}
	return 0
}
