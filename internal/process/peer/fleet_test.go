package peer

import (
	"fmt"
	"math/rand/v2"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const testPeriod = clock.Second

// cluster simulates daemons whose tables exchange heartbeats by function calls under a manual clock.
type cluster struct {
	now    clock.Millis
	random *rand.Rand
	tables map[group.DaemonID]*Table
	ids    []group.DaemonID
	// lost reports whether a message is lost; it applies to requests and replies.
	lost func(from, to group.DaemonID) bool
	// messages counts requests and replies.
	messages int
	// seen holds the incarnations that tables have recorded as dead or left.
	seen map[endedIncarnation]bool
	// restarts counts the restarts of all members.
	restarts int
}

// endedIncarnation states that daemon by has recorded an incarnation of daemon id as dead or left.
type endedIncarnation struct {
	by, id      group.DaemonID
	incarnation Incarnation
}

// newCluster returns n daemons that know each other, in equal numbers per data centre. It passes the settings of each daemon to change.
func newCluster(n, centres int, seed uint64, change func(*Settings)) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 1)),
		tables: map[group.DaemonID]*Table{},
		seen:   map[endedIncarnation]bool{},
		lost:   func(_, _ group.DaemonID) bool { return false },
	}
	var all []Entry
	for i := range n {
		m := Member{
			ID:          group.DaemonID(fmt.Sprintf("d%03d", i)),
			Address:     fmt.Sprintf("10.0.0.%d:1", i),
			DataCentre:  group.DataCentre(fmt.Sprint("dc-", i%centres)),
			Incarnation: 1,
		}
		set := c.settings(uint64(i))
		change(&set)
		c.ids = append(c.ids, m.ID)
		c.tables[m.ID] = NewTable(m, set)
		all = append(all, Entry{Member: m, State: Alive})
	}
	for _, t := range c.tables {
		t.Merge(0, all)
		t.updates = map[group.DaemonID]int{}
	}
	return c
}

func (c *cluster) settings(seed uint64) Settings {
	set := Defaults(testPeriod)
	set.Random = rand.New(rand.NewPCG(c.random.Uint64(), seed))
	return set
}

// period advances the clock by one period and calls Tick for each daemon, in random order.
func (c *cluster) period() {
	c.now += testPeriod
	for _, i := range c.random.Perm(len(c.ids)) {
		t, ok := c.tables[c.ids[i]]
		if !ok {
			continue
		}
		probes, _ := t.Tick(c.now)
		for _, p := range probes {
			c.probe(t, p)
		}
	}
}

// probe performs the exchange of a probe and, if a neighbour does not reply, the probes through helpers.
func (c *cluster) probe(t *Table, p Probe) {
	if c.exchange(t, p) || p.Kind != Neighbour {
		return
	}
	for _, h := range t.HelpersFor(p.ID) {
		c.messages += 2
		helper := c.tables[h.ID]
		if helper != nil && !c.lost(t.self.ID, h.ID) && c.exchange(helper, p) && !c.lost(h.ID, t.self.ID) {
			return
		}
	}
	t.MarkSuspect(c.now, p.ID, p.Incarnation)
}

// exchange performs one exchange of heartbeats and reports whether a reply arrived.
func (c *cluster) exchange(from *Table, p Probe) bool {
	id := p.ID
	all := from.NeedsAll(p)
	request := from.Heartbeat(c.now, id, all)
	c.messages++
	to, ok := c.tables[id]
	if !ok || c.lost(from.self.ID, id) {
		return false
	}
	to.MergeHeartbeat(c.now, request)
	answer := to.Heartbeat(c.now, from.self.ID, all)
	c.messages++
	if c.lost(id, from.self.ID) {
		return false
	}
	from.MergeHeartbeat(c.now, answer)
	return true
}

// stop stops daemons without an announcement.
func (c *cluster) stop(ids ...group.DaemonID) {
	for _, id := range ids {
		delete(c.tables, id)
	}
}

// restart starts a stopped member again with a higher incarnation. It receives the entries that a seed would send.
func (c *cluster) restart(id group.DaemonID) {
	if _, runs := c.tables[id]; runs {
		return
	}
	for _, other := range c.ids {
		t, ok := c.tables[other]
		if !ok || t.Self().State == Left {
			continue
		}
		c.restarts++
		self, _ := t.Entry(id)
		if self.ID == "" {
			return
		}
		self.Incarnation = Incarnation(1000 * c.restarts)
		c.tables[id] = NewTable(self.Member, c.settings(uint64(c.restarts)))
		c.tables[id].Merge(c.now, t.All(c.now))
		c.forget(id)
		return
	}
}

// forget removes the records of seen that an earlier run of a restarted member made.
func (c *cluster) forget(id group.DaemonID) {
	for s := range c.seen {
		if s.by == id {
			delete(c.seen, s)
		}
	}
}

// until runs periods until all tables satisfy ok and returns their number, at most limit.
func (c *cluster) until(limit int, ok func(*Table) bool) int {
	for n := range limit {
		if c.all(ok) {
			return n
		}
		c.period()
	}
	return limit
}

// all reports whether all tables satisfy ok.
func (c *cluster) all(ok func(*Table) bool) bool {
	for _, t := range c.tables {
		if !ok(t) {
			return false
		}
	}
	return true
}

// noneLive reports whether t considers none of ids live.
func noneLive(t *Table, ids ...group.DaemonID) bool {
	for _, id := range ids {
		if e, ok := t.Entry(id); ok && e.live() {
			return false
		}
	}
	return true
}
