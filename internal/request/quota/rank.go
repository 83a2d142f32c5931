package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
)

const (
	// MaxParts is the largest number of data centres among which a limit is divided. More parts leave less for the data centre
	// with the most demand, and one operation asks each of them at most.
	MaxParts = 4
	// slotsPerCentre is the number of parts into which the workspaces are divided by hash, each with an issuer in every data centre.
	// With few of them few connections are needed, and the asks for several workspaces share a message.
	//
	// A slot has its own order of all daemons. Were the issuers the highest few of one order, a daemon that joins would displace one
	// that still grants, in favour of one that is ready at once, while some daemons have the older list.
	slotsPerCentre = 4
	// issuersPerSlot is the number of daemons that may issue the tokens of a slot, one after the other. Were they all daemons that
	// have just joined, one of them would be forced to grant beside an older one: with 4, in a data centre that grows from 2 daemons
	// to 10 within 7 s, one window got 4 % too many.
	issuersPerSlot = 8
	// slotKey ranks the daemons for a slot; the NUL byte rules out a clash with the name of a workspace.
	slotKey = "\x00issuer"
)

// Fleet holds the daemons that issue tokens, by data centre. It does not change.
type Fleet struct {
	centres []centre
}

// centre is a data centre with its issuers.
type centre struct {
	id    group.DataCentre
	slots [slotsPerCentre][]placement.Peer
}

// NewFleet selects the issuers from a list of daemons. Daemons without a mirror address can't be asked and are left out.
func NewFleet(peers []placement.Peer) *Fleet {
	f := &Fleet{}
	byCentre := make(map[group.DataCentre][]placement.Peer)
	for i := range peers {
		if peers[i].MirrorAddress != "" {
			byCentre[peers[i].DataCentre] = append(byCentre[peers[i].DataCentre], peers[i])
		}
	}
	for id, list := range byCentre {
		c := centre{id: id}
		for i := range c.slots {
			slices.SortFunc(list, compareRank(slotKey+string(rune('0'+i))))
			c.slots[i] = slices.Clone(list[:min(issuersPerSlot, len(list))])
		}
		f.centres = append(f.centres, c)
	}
	return f
}

// Issuers returns the issuers of a workspace by data centre, each list in rank order; the caller must not change the lists. The data centre of the requester comes first;
// the order of the others differs between requesters' data centres, so that none of them gets the asks of all.
func (f *Fleet) Issuers(w workspace.ID, dataCentre group.DataCentre) [][]placement.Peer {
	centres := slices.Clone(f.centres)
	if len(centres) > MaxParts {
		sortCentres(centres, string(w))
		centres = centres[:MaxParts]
	}
	sortCentres(centres, string(w)+"\x00"+string(dataCentre))
	slices.SortStableFunc(centres, func(a, b centre) int {
		switch {
		case a.id == b.id:
			return 0
		case a.id == dataCentre:
			return -1
		case b.id == dataCentre:
			return 1
		}
		return 0
	})
	lists := make([][]placement.Peer, len(centres))
	for i, c := range centres {
		lists[i] = c.slots[xxhash.Sum64String(string(w))%slotsPerCentre]
	}
	return lists
}

// Issuers returns the issuers of a workspace in a list of daemons; see Fleet.Issuers.
func Issuers(w workspace.ID, peers []placement.Peer, dataCentre group.DataCentre) [][]placement.Peer {
	return NewFleet(peers).Issuers(w, dataCentre)
}

// sortCentres sorts data centres by their rank for a key.
func sortCentres(centres []centre, key string) {
	slices.SortFunc(centres, func(a, b centre) int {
		return cmp.Or(cmp.Compare(rank(key, string(b.id)), rank(key, string(a.id))), cmp.Compare(a.id, b.id))
	})
}

// compareRank returns a comparison that puts the daemon with the highest rank for a key first.
func compareRank(key string) func(a, b placement.Peer) int {
	return func(a, b placement.Peer) int {
		return cmp.Or(cmp.Compare(rank(key, string(b.ID)), rank(key, string(a.ID))), cmp.Compare(a.ID, b.ID))
	}
}

// rank returns a rendezvous hash.
func rank(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
