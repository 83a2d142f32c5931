package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
)

const (
	// minDirectConnections is the number of connections to each target that a daemon needs to serve a group itself.
	minDirectConnections = 3
	// connectionsPerHome is the intended number of connections to each target for one home.
	connectionsPerHome = 6
	// maxHomes is the maximum number of homes of a group in one data centre: few homes schedule the work better, and two tolerate the loss of one.
	maxHomes = 2
)

// Peer is a daemon that is registered in the store, this one included.
type Peer struct {
	ID         group.DaemonID
	DataCentre group.DataCentre
	Address    string
	// MirrorAddress is the address at which the daemon serves its copy of the store; empty if it serves none.
	MirrorAddress string
}

// Homes returns the homes of a group in a data centre, best first: the daemons that serve the group for all others there.
// It returns none if connections, the limit of each target, allows every daemon its own connections, or if there is no limit (0).
func Homes(g group.ID, peers []Peer, dataCentre group.DataCentre, connections int) []Peer {
	if connections <= 0 || connections >= minDirectConnections*len(peers) {
		return nil
	}
	// Homes runs for each group and for many statements, and a linear search of the few data centres is faster than a map.
	var centres []group.DataCentre
	best := make([]Peer, 0, maxHomes+1)
	var ranks [maxHomes + 1]uint64
	for i := range peers {
		p := &peers[i]
		if !slices.Contains(centres, p.DataCentre) {
			centres = append(centres, p.DataCentre)
		}
		if p.DataCentre != dataCentre {
			continue
		}
		r := rank(g, p.ID)
		index := len(best)
		for index > 0 && ranks[index-1] < r {
			index--
		}
		if index == maxHomes {
			continue
		}
		best = slices.Insert(best, index, *p)
		copy(ranks[index+1:], ranks[index:])
		ranks[index] = r
		best = best[:min(len(best), maxHomes)]
	}
	n := min(max(1, connections/connectionsPerHome/max(len(centres), 1)), len(best))
	return best[:n]
}

// inFlightFactor is the number of statements per slot that all homes together run or queue at a target:
// enough to keep it busy, and few enough that urgent statements do not wait long.
const inFlightFactor = 4

// Window returns how many statements one home may run or queue at a target with the given number of slots.
func Window(slots, homes int) int { return max(1, (inFlightFactor*slots+homes-1)/max(homes, 1)) }

// initialConnectionsDivisor divides a target's connections to get the number that daemons open at first.
// After a power loss the target may still count connections from before as open.
const initialConnectionsDivisor = 2

// InitialConnections returns how many connections each daemon opens to a target at first, so that every daemon gets some.
func InitialConnections(connections, daemons int) int {
	return connections / initialConnectionsDivisor / max(daemons, 1)
}

const (
	// controlConnections is the number of connections to each target that ConnectionShare leaves for probes and changes of primary.
	controlConnections = 2
	// localShareDivisor divides a target's connections to get the part of the homes in the target's own data centre. They send it the
	// reads of their data centre and, if it is the primary, what only the primary can serve.
	localShareDivisor = 3
)

// ConnectionShare returns how many connections to a target a home may hold while connections belong to workspaces and idle ones are
// kept. It is local if it is in the target's data centre; locals and remotes are the numbers of homes there and elsewhere. All shares
// together leave controlConnections free, unless there are more homes than connections.
func ConnectionShare(connections int, local bool, locals, remotes int) int {
	available := connections - controlConnections
	share := available / max(locals+remotes, 1)
	switch {
	case locals == 0 || remotes == 0:
	case local:
		share = available / localShareDivisor / locals
	default:
		share = (available - available/localShareDivisor) / remotes
	}
	return max(1, share)
}

// FleetHomes returns the homes of a group in all data centres. It returns none if every daemon serves the group itself.
func FleetHomes(g group.ID, peers []Peer, connections int) []Peer {
	var centres []group.DataCentre
	var all []Peer
	for i := range peers {
		if dc := peers[i].DataCentre; !slices.Contains(centres, dc) {
			centres = append(centres, dc)
			all = append(all, Homes(g, peers, dc, connections)...)
		}
	}
	return all
}

// minHomeRate is the limit of a workspace, in operations per second for each home of each group, from which the homes of every data
// centre serve it. Below it, a connection of the workspace would be idle for so long that another one takes its place.
const minHomeRate = 1.0

// HasOneHome reports whether one home in the whole fleet serves all sessions of a workspace at a group. It answers the load of many
// small workspaces: connections to targets are fewer than workspaces times data centres, and opening one takes nearly as much of a
// target as a statement, which the way to another data centre does not.
func HasOneHome(l workspace.Limit, groups, homes int) bool {
	return l.PerSecond < minHomeRate*float64(max(groups, 1)*max(homes, 1))
}

// HomeFor returns the home that serves the sessions of a workspace. The same workspace goes to the same home, so that fewer
// connections to targets have to be opened for other workspaces; a workspace without a name goes to the home that pick selects.
func HomeFor(homes []Peer, w workspace.ID, pick func(n int) int) Peer {
	if w == "" {
		return homes[pick(len(homes))]
	}
	best, bestRank := 0, uint64(0)
	for i := range homes {
		if r := rank(group.ID(w), homes[i].ID); r >= bestRank {
			best, bestRank = i, r
		}
	}
	return homes[best]
}

// rank returns the rendezvous hash of a daemon for a group: the order of the daemons differs between groups and is the same on every daemon.
func rank(g group.ID, d group.DaemonID) uint64 {
	return xxhash.Sum64String(string(g) + "\x00" + string(d))
}
