package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

// maxDemand bounds a demand, so the product of a demand and a number of slots fits into an int.
const maxDemand = 1 << 20

// Demand is the number of slots that a daemon could use now.
type Demand struct {
	Daemon group.DaemonID
	Want   int
}

// Pool is the slots or connections of one target that the daemons divide.
type Pool struct {
	Target group.TargetID
	Total  int
	// Reserve is the part of Total that is not divided; it serves control commands and daemons that some others do not know yet.
	Reserve int
}

// Share returns the part of total that self may use; see Pool.Share.
func Share(total int, self group.DaemonID, peers []Demand, reserve int) int {
	return Pool{Total: total, Reserve: reserve}.Share(self, peers)
}

// Share returns the part of the pool that self may use, or 0 if demands does not include self.
// demands holds the demand of every daemon. If all daemons use the same demands, the parts do not exceed the pool in total.
func (p Pool) Share(self group.DaemonID, demands []Demand) int {
	ranked := p.ranked(demands)
	index := slices.IndexFunc(ranked, func(c rankedDemand) bool { return c.Daemon == self })
	if index < 0 {
		return 0
	}
	available := max(p.Total-p.Reserve, 0)
	if available < len(ranked) {
		return p.shareScarce(ranked, index, available)
	}
	return shareProportionally(ranked, index, available)
}

// rankedDemand is a daemon's demand with the rank that decides between equals.
type rankedDemand struct {
	Demand
	rank uint64
}

// weight is above 0 for an idle daemon too, which leaves it capacity for its first requests.
func (c rankedDemand) weight() int { return c.Want + 1 }

// ranked returns the demands with their ranks, without duplicates and in the same order on every daemon.
func (p Pool) ranked(demands []Demand) []rankedDemand {
	ranked := make([]rankedDemand, 0, len(demands))
	for _, d := range demands {
		d.Want = min(max(d.Want, 0), maxDemand)
		ranked = append(ranked, rankedDemand{d, p.rank(d.Daemon)})
	}
	slices.SortFunc(ranked, func(a, b rankedDemand) int {
		return cmp.Or(cmp.Compare(a.Daemon, b.Daemon), cmp.Compare(b.Want, a.Want))
	})
	return slices.CompactFunc(ranked, func(a, b rankedDemand) bool { return a.Daemon == b.Daemon })
}

// rank returns a rendezvous hash, which gives the leftover slots of different targets to different daemons.
func (p Pool) rank(d group.DaemonID) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(string(p.Target))
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(string(d))
	return h.Sum64()
}

// shareScarce gives one slot each to as many daemons as there are slots. Daemons with a demand come first.
func (p Pool) shareScarce(ranked []rankedDemand, index, available int) int {
	return boolToInt(countBefore(ranked, index, func(c rankedDemand) int { return min(c.Want, 1) }) < available)
}

// shareProportionally gives each daemon one slot and divides the others by weight, using the largest remainder method.
func shareProportionally(ranked []rankedDemand, index, available int) int {
	spare := available - len(ranked)
	sum := 0
	for _, c := range ranked {
		sum += c.weight()
	}
	leftover := spare
	for _, c := range ranked {
		leftover -= spare * c.weight() / sum
	}
	remainder := func(c rankedDemand) int { return spare * c.weight() % sum }
	return 1 + spare*ranked[index].weight()/sum + boolToInt(countBefore(ranked, index, remainder) < leftover)
}

// countBefore returns how many demands come before ranked[index] in descending order of key and then of rank.
func countBefore(ranked []rankedDemand, index int, key func(rankedDemand) int) int {
	n, own := 0, ranked[index]
	for _, c := range ranked {
		if cmp.Or(cmp.Compare(key(own), key(c)), cmp.Compare(own.rank, c.rank), cmp.Compare(own.Daemon, c.Daemon)) < 0 {
			n++
		}
	}
	return n
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
