package link

import (
	"math"

	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// demandHalfLife is the time after which a use of a connection counts half.
	demandHalfLife = 30 * clock.Second
	// minDemand is the demand below which a workspace is forgotten: one use that is six half-lives old.
	minDemand = 1.0 / 64
)

// demand holds how much each workspace has used a target recently. It decides which idle connection gives way when far more
// workspaces use a target than it has connections: opening one takes a slot of the target for longer than many statements do.
type demand map[workspace.ID]usage

// usage is a count of uses that decays with demandHalfLife, as of a time.
type usage struct {
	count float64
	at    clock.Millis
}

func (u usage) decayed(now clock.Millis) float64 {
	return u.count * math.Exp2(-float64(now-u.at)/float64(demandHalfLife))
}

// record counts one use by a workspace.
func (d demand) record(ws workspace.ID, now clock.Millis) {
	d[ws] = usage{count: d[ws].decayed(now) + 1, at: now}
}

// forget drops the workspaces that have not used the target for long.
func (d demand) forget(now clock.Millis) {
	for ws, u := range d {
		if u.decayed(now) < minDemand {
			delete(d, ws)
		}
	}
}

// leastUseful returns the index of the connection that is least likely to be used soon, and of equals the one that was idle longest.
// A further idle connection of a workspace is needed only when several of its statements run at once, so the demand is divided by the
// square of their number. The list must not be empty.
func (d demand) leastUseful(idle []*Conn, now clock.Millis) int {
	counts := make(map[workspace.ID]int, len(idle))
	for _, c := range idle {
		counts[c.workspace]++
	}
	worst, least := 0, math.Inf(1)
	for i, c := range idle {
		if use := d[c.workspace].decayed(now) / float64(counts[c.workspace]*counts[c.workspace]); use < least {
			worst, least = i, use
		}
	}
	return worst
}
