package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

const (
	// directConnections is how many connections to each target a daemon must be able to have to serve a group itself.
	directConnections = 3
	// homeConnections is how many connections to each target a home of a group is to have.
	homeConnections = 6
	// mostHomes is how many homes a group has in each data centre at most: fewer homes order their work better, and two bear the loss of one.
	mostHomes = 2
)

// Peer is another daemon, or this one, as the store names it.
type Peer struct {
	ID         group.DaemonID
	DataCentre group.DataCentre
	Address    string
	// Mirror is where the daemon serves what it has read of the store; empty when it does not.
	Mirror string
}

// Homes returns the daemons of a data centre that serve a group for all others there, best first; none when every daemon can have connections of its own.
func Homes(g group.ID, peers []Peer, here group.DataCentre, connections int) []Peer {
	if connections <= 0 || connections >= directConnections*len(peers) {
		return nil
	}
	// Few, so that they are counted faster than by a map: this runs for each group and many statements.
	var centres []group.DataCentre
	best := make([]Peer, 0, mostHomes+1)
	var ranks [mostHomes + 1]uint64
	for i := range peers {
		p := &peers[i]
		if !slices.Contains(centres, p.DataCentre) {
			centres = append(centres, p.DataCentre)
		}
		if p.DataCentre != here {
			continue
		}
		r := rank(g, p.ID)
		at := len(best)
		for at > 0 && ranks[at-1] < r {
			at--
		}
		if at == mostHomes {
			continue
		}
		best = slices.Insert(best, at, *p)
		copy(ranks[at+1:], ranks[at:])
		ranks[at] = r
		best = best[:min(len(best), mostHomes)]
	}
	n := min(max(1, connections/homeConnections/max(len(centres), 1)), len(best))
	return best[:n]
}

// backlog is how many times its slots a target is to have at work and waiting from all homes together: enough to be busy, few enough that urgent work need not wait long.
const backlog = 4

// Window is how many statements a home may have at work at a target with so many slots.
func Window(slots, homes int) int { return max(1, (backlog*slots+homes-1)/max(homes, 1)) }

// earlyPart is the part of a target's connections, one in so many, that daemons open at first: the others may still be counted for connections of before a loss of power.
const earlyPart = 2

// Early is how many connections each of so many daemons opens to a target at first, so that all of them find a place.
func Early(connections, daemons int) int { return connections / earlyPart / max(daemons, 1) }

// rank orders the daemons differently for each group, and alike on all daemons.
func rank(g group.ID, d group.DaemonID) uint64 {
	return xxhash.Sum64String(string(g) + "\x00" + string(d))
}
