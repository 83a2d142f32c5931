package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

// maxWant bounds a demand, so that products of shares stay within an int.
const maxWant = 1 << 20

// Demand is how many slots a daemon could use now.
type Demand struct {
	Daemon group.DaemonID
	Want   int
}

// Pool is what the daemons divide: the slots, or the connections, of one target.
type Pool struct {
	Target group.TargetID
	Total  int
	// Reserve is kept back for orders and for daemons that are not in every view yet.
	Reserve int
}

// Share returns the part of total that self may use; see Pool.Share.
func Share(total int, self group.DaemonID, peers []Demand, reserve int) int {
	return Pool{Total: total, Reserve: reserve}.Share(self, peers)
}

// Share returns the part that self may use; demands holds every daemon, self among them, and equal demands give parts that add up to no more than the pool.
func (p Pool) Share(self group.DaemonID, demands []Demand) int {
	claims := p.claims(demands)
	at := slices.IndexFunc(claims, func(c claim) bool { return c.Daemon == self })
	if at < 0 {
		return 0
	}
	free := max(p.Total-p.Reserve, 0)
	if free < len(claims) {
		return p.scarce(claims, at, free)
	}
	return divide(claims, at, free)
}

// claim is a daemon's demand with its rank among equals.
type claim struct {
	Demand
	rank uint64
}

// weight leaves an idle daemon enough to begin with.
func (c claim) weight() int { return c.Want + 1 }

// claims returns the demands in one order for all daemons.
func (p Pool) claims(demands []Demand) []claim {
	claims := make([]claim, 0, len(demands))
	for _, d := range demands {
		d.Want = min(max(d.Want, 0), maxWant)
		claims = append(claims, claim{d, p.rank(d.Daemon)})
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.Daemon, b.Daemon), cmp.Compare(b.Want, a.Want))
	})
	return slices.CompactFunc(claims, func(a, b claim) bool { return a.Daemon == b.Daemon })
}

// rank is a rendezvous hash, so that the odd slots of different targets go to different daemons.
func (p Pool) rank(d group.DaemonID) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(string(p.Target))
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(string(d))
	return h.Sum64()
}

// scarce gives one slot each to as many daemons as there are slots, those with a demand first.
func (p Pool) scarce(claims []claim, at, free int) int {
	return boolean(place(claims, at, func(c claim) int { return min(c.Want, 1) }) < free)
}

// divide gives each daemon one slot and the others by largest remainder.
func divide(claims []claim, at, free int) int {
	rest := free - len(claims)
	sum := 0
	for _, c := range claims {
		sum += c.weight()
	}
	odd := rest
	for _, c := range claims {
		odd -= rest * c.weight() / sum
	}
	remainder := func(c claim) int { return rest * c.weight() % sum }
	return 1 + rest*claims[at].weight()/sum + boolean(place(claims, at, remainder) < odd)
}

// place is how many claims come before claims[at] by key, the greatest first, and then by rank.
func place(claims []claim, at int, key func(claim) int) int {
	n, own := 0, claims[at]
	for _, c := range claims {
		if cmp.Or(cmp.Compare(key(own), key(c)), cmp.Compare(own.rank, c.rank), cmp.Compare(own.Daemon, c.Daemon)) < 0 {
			n++
		}
	}
	return n
}

func boolean(b bool) int {
	if b {
		return 1
	}
	return 0
}
