package placement

import (
	"cmp"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

const (
	// mirrors is how many daemons of a data centre know the store for the others, and how many of those read it: two bear the loss of one.
	mirrors = 2
	// leastMirrored is how many daemons a data centre must have for mirrors to spare calls worth their delay.
	leastMirrored = 3 * mirrors
	// mirrorKey ranks daemons as mirrors; no group has that name, as it is not a word.
	mirrorKey group.ID = "\x00mirror"
	// rootKey ranks the mirrors of all data centres.
	rootKey group.ID = "\x00root"
)

// Role is how a daemon comes by what lies in the store.
type Role int

// The roles.
const (
	// Alone reads the store for itself.
	Alone Role = iota
	// ForOthers reads the store for others too.
	ForOthers
	// ByMirror asks another daemon.
	ByMirror
)

// Mirror returns the role of d, and the daemon that it asks if there is one; in a small data centre every daemon reads alone.
//
// Of the mirrors of several data centres two read the store for the others, so that the calls do not grow with the data centres either.
func Mirror(d group.DaemonID, peers []Peer, here group.DataCentre) (Peer, Role) {
	centres := make(map[group.DataCentre][]Peer)
	for _, p := range peers {
		if p.Mirror != "" {
			centres[p.DataCentre] = append(centres[p.DataCentre], p)
		}
	}
	if len(centres[here]) < leastMirrored {
		return Peer{}, Alone
	}
	var all []Peer
	for _, near := range centres {
		if len(near) >= leastMirrored {
			all = append(all, top(mirrorKey, near)...)
		}
	}
	roots := top(rootKey, all)
	if Contains(roots, d) {
		return Peer{}, ForOthers
	}
	if near := top(mirrorKey, centres[here]); !Contains(near, d) {
		return near[rank(mirrorKey, d)%mirrors], ByMirror
	}
	return roots[rank(rootKey, d)%mirrors], ByMirror
}

// top returns the mirrors among the daemons.
func top(key group.ID, list []Peer) []Peer {
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(rank(key, b.ID), rank(key, a.ID)) })
	return list[:min(mirrors, len(list))]
}

// Contains reports whether the daemon is among the peers.
func Contains(list []Peer, d group.DaemonID) bool {
	return slices.ContainsFunc(list, func(p Peer) bool { return p.ID == d })
}
