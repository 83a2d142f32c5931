package placement

import (
	"cmp"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

const (
	// mirrors is how many daemons of a data centre read the store for the others: two bear the loss of one.
	mirrors = 2
	// leastMirrored is how many daemons a data centre must have for mirrors to spare calls worth their delay.
	leastMirrored = 3 * mirrors
	// mirrorKey ranks daemons as mirrors; no group has that name, as it is not a word.
	mirrorKey group.ID = "\x00mirror"
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
func Mirror(d group.DaemonID, peers []Peer, here group.DataCentre) (Peer, Role) {
	var near []Peer
	for _, p := range peers {
		if p.DataCentre == here && p.Mirror != "" {
			near = append(near, p)
		}
	}
	if len(near) < leastMirrored {
		return Peer{}, Alone
	}
	slices.SortFunc(near, func(a, b Peer) int { return cmp.Compare(rank(mirrorKey, b.ID), rank(mirrorKey, a.ID)) })
	near = near[:mirrors]
	if slices.ContainsFunc(near, func(p Peer) bool { return p.ID == d }) {
		return Peer{}, ForOthers
	}
	return near[rank(mirrorKey, d)%mirrors], ByMirror
}
