package peer

import (
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

// liveIndex holds values that are derived from the states of the members. It is rebuilt after a change of a state.
type liveIndex struct {
	// hash combines the hashes of all live members and of this daemon.
	hash uint64
	// live lists the other live members of each data centre, sorted.
	live map[group.DataCentre][]group.DaemonID
	// bridges lists the daemons of each data centre that probe other data centres.
	bridges map[group.DataCentre][]group.DaemonID
	// centres lists the other data centres with live members, sorted.
	centres []group.DataCentre
}

// resetIndex discards the derived values. It is called after each change of a member's state or incarnation.
func (t *Table) resetIndex() { t.cachedIndex = nil }

// index returns the derived values and rebuilds them if necessary.
func (t *Table) index() *liveIndex {
	if t.cachedIndex == nil {
		t.cachedIndex = t.buildIndex()
	}
	return t.cachedIndex
}

func (t *Table) buildIndex() *liveIndex {
	c := &liveIndex{
		live:    map[group.DataCentre][]group.DaemonID{},
		bridges: map[group.DataCentre][]group.DaemonID{},
	}
	for _, e := range t.entries {
		c.add(e)
	}
	for dc, ids := range c.live {
		slices.Sort(ids)
		if dc != t.self.DataCentre {
			c.centres = append(c.centres, dc)
			c.bridges[dc] = Rendezvous(string(dc), ids, t.set.Bridges)
		}
	}
	slices.Sort(c.centres)
	here := append(slices.Clone(c.live[t.self.DataCentre]), t.self.ID)
	c.bridges[t.self.DataCentre] = Rendezvous(string(t.self.DataCentre), here, t.set.Bridges)
	if t.self.live() {
		c.hash ^= hashEntry(&t.self)
	}
	return c
}

func (c *liveIndex) add(e *Entry) {
	if !e.live() {
		return
	}
	c.live[e.DataCentre] = append(c.live[e.DataCentre], e.ID)
	c.hash ^= hashEntry(e)
}
