package entry

import (
	"context"

	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/request/limit"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// shareEvery is the time between two adjustments of the shares, in milliseconds.
const shareEvery clock.Millis = 100

// share divides the slots of every target among the live daemons until ctx ends.
func (d *Daemon) share(ctx context.Context) {
	for d.p.Clock.Sleep(ctx, shareEvery) == nil {
		live := d.mesh.Live()
		now := d.p.Clock.Now()
		for _, c := range d.loop.Snapshot().Groups {
			targets := c.View().Record.Targets
			for i := range targets {
				d.divide(now, &targets[i], live)
			}
		}
	}
}

// divide sets this daemon's share of the slots of t.
func (d *Daemon) divide(now clock.Millis, t *group.Target, live []peer.Member) {
	desk := d.targets.desk(t)
	demands := []limit.Demand{{Daemon: d.cfg.ID, Want: desk.wanted()}}
	for _, m := range live {
		demands = append(demands, limit.Demand{Daemon: m.ID, Want: wantOf(m, t.ID)})
	}
	pool := limit.Pool{Target: t.ID, Total: t.Slots}
	desk.setShare(now, pool.Share(d.cfg.ID, demands))
}

func wantOf(m peer.Member, id group.TargetID) int {
	for _, o := range m.Demand {
		if o.Target == id {
			return o.Statements
		}
	}
	return 0
}
