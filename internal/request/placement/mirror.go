package placement

import (
	"cmp"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

const (
	// mirrorCount is the number of daemons in a data centre that serve copies of the store to the others, and the number of daemons
	// among all those that read the store itself: two tolerate the loss of one.
	mirrorCount = 2
	// minMirroredDaemons is the number of daemons from which a data centre uses mirrors; below it, the saved calls are not worth the extra delay.
	minMirroredDaemons = 3 * mirrorCount
	// mirrorRankKey ranks the daemons of a data centre as mirrors; the NUL byte rules out a clash with the ID of a group.
	mirrorRankKey group.ID = "\x00mirror"
	// rootRankKey ranks the mirrors of all data centres as readers of the store.
	rootRankKey group.ID = "\x00root"
)

// Role says how a daemon gets the contents of the store.
type Role int

// The roles.
const (
	// Standalone is a daemon that reads the store for itself only.
	Standalone Role = iota
	// RootMirror is a daemon that reads the store and serves its copy to others.
	RootMirror
	// MirrorClient is a daemon that reads the copy of another daemon.
	MirrorClient
)

// Mirror returns the role of d, and the daemon whose copy it reads if there is one. In a small data centre every daemon reads the store itself.
//
// Two of the mirrors of all data centres read the store for the rest, so the number of calls does not grow with the number of data centres.
func Mirror(d group.DaemonID, peers []Peer, dataCentre group.DataCentre) (Peer, Role) {
	centres := make(map[group.DataCentre][]Peer)
	for _, p := range peers {
		if p.MirrorAddress != "" {
			centres[p.DataCentre] = append(centres[p.DataCentre], p)
		}
	}
	if len(centres[dataCentre]) < minMirroredDaemons {
		return Peer{}, Standalone
	}
	var all []Peer
	for _, candidates := range centres {
		if len(candidates) >= minMirroredDaemons {
			all = append(all, topRanked(mirrorRankKey, candidates)...)
		}
	}
	roots := topRanked(rootRankKey, all)
	if Contains(roots, d) {
		return Peer{}, RootMirror
	}
	if mirrors := topRanked(mirrorRankKey, centres[dataCentre]); !Contains(mirrors, d) {
		return mirrors[rank(mirrorRankKey, d)%mirrorCount], MirrorClient
	}
	return roots[rank(rootRankKey, d)%mirrorCount], MirrorClient
}

// topRanked returns the mirrors with the highest rank for key; it reorders list.
func topRanked(key group.ID, list []Peer) []Peer {
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(rank(key, b.ID), rank(key, a.ID)) })
	return list[:min(mirrorCount, len(list))]
}

// Contains reports whether list has a peer with the ID d.
func Contains(list []Peer, d group.DaemonID) bool {
	return slices.ContainsFunc(list, func(p Peer) bool { return p.ID == d })
}
