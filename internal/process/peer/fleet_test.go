package peer

import (
	"fmt"
	"math/rand/v2"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const testPeriod = clock.Second

// fleet simulates daemons whose tables exchange heartbeats by function calls under a manual clock.
type fleet struct {
	now    clock.Millis
	random *rand.Rand
	tables map[group.DaemonID]*Table
	ids    []group.DaemonID
	// lost reports whether a message is lost; it applies to requests and replies.
	lost func(from, to group.DaemonID) bool
	// messages counts requests and replies.
	messages int
	// seen holds the incarnations that tables have recorded as dead or left.
	seen map[seenEnded]bool
	// lives counts the restarts of all members.
	lives int
}

// seenEnded states that daemon by has recorded an incarnation of daemon id as dead or left.
type seenEnded struct {
	by, id group.DaemonID
	in     Incarnation
}

// newFleet returns n daemons that know each other, in equal numbers per data centre. It passes the settings of each daemon to change.
func newFleet(n, centres int, seed uint64, change func(*Settings)) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)),
		tables: map[group.DaemonID]*Table{},
		seen:   map[seenEnded]bool{},
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
		set := f.settings(uint64(i))
		change(&set)
		f.ids = append(f.ids, m.ID)
		f.tables[m.ID] = NewTable(m, set)
		all = append(all, Entry{Member: m, State: Alive})
	}
	for _, t := range f.tables {
		t.Merge(0, all)
		t.rumours = map[group.DaemonID]int{}
	}
	return f
}

func (f *fleet) settings(seed uint64) Settings {
	set := Defaults(testPeriod)
	set.Random = rand.New(rand.NewPCG(f.random.Uint64(), seed))
	return set
}

// period advances the clock by one period and calls Tick for each daemon, in random order.
func (f *fleet) period() {
	f.now += testPeriod
	for _, i := range f.random.Perm(len(f.ids)) {
		t, ok := f.tables[f.ids[i]]
		if !ok {
			continue
		}
		probes, _ := t.Tick(f.now)
		for _, p := range probes {
			f.probe(t, p)
		}
	}
}

// probe performs the exchange of a probe and, if a neighbour does not reply, the probes through helpers.
func (f *fleet) probe(t *Table, p Probe) {
	if f.exchange(t, p) || p.Kind != Neighbour {
		return
	}
	for _, h := range t.Missed(p.ID) {
		f.messages += 2
		helper := f.tables[h.ID]
		if helper != nil && !f.lost(t.self.ID, h.ID) && f.exchange(helper, p) && !f.lost(h.ID, t.self.ID) {
			return
		}
	}
	t.Unconfirmed(f.now, p.ID, p.Incarnation)
}

// exchange performs one exchange of heartbeats and reports whether a reply arrived.
func (f *fleet) exchange(from *Table, p Probe) bool {
	id := p.ID
	all := from.WantAll(p)
	request := from.Beat(f.now, id, all)
	f.messages++
	to, ok := f.tables[id]
	if !ok || f.lost(from.self.ID, id) {
		return false
	}
	to.Hear(f.now, request)
	answer := to.Beat(f.now, from.self.ID, all)
	f.messages++
	if f.lost(id, from.self.ID) {
		return false
	}
	from.Hear(f.now, answer)
	return true
}

// stop stops daemons without an announcement.
func (f *fleet) stop(ids ...group.DaemonID) {
	for _, id := range ids {
		delete(f.tables, id)
	}
}

// restart starts a stopped member again with a higher incarnation. It receives the entries that a seed would send.
func (f *fleet) restart(id group.DaemonID) {
	if _, runs := f.tables[id]; runs {
		return
	}
	for _, other := range f.ids {
		t, ok := f.tables[other]
		if !ok || t.Self().State == Left {
			continue
		}
		f.lives++
		self, _ := t.Entry(id)
		if self.ID == "" {
			return
		}
		self.Incarnation = Incarnation(1000 * f.lives)
		f.tables[id] = NewTable(self.Member, f.settings(uint64(f.lives)))
		f.tables[id].Merge(f.now, t.All(f.now))
		f.forget(id)
		return
	}
}

// forget removes the records of seen that an earlier run of a restarted member made.
func (f *fleet) forget(id group.DaemonID) {
	for s := range f.seen {
		if s.by == id {
			delete(f.seen, s)
		}
	}
}

// until runs periods until all tables satisfy ok and returns their number, at most limit.
func (f *fleet) until(limit int, ok func(*Table) bool) int {
	for n := range limit {
		if f.all(ok) {
			return n
		}
		f.period()
	}
	return limit
}

// all reports whether all tables satisfy ok.
func (f *fleet) all(ok func(*Table) bool) bool {
	for _, t := range f.tables {
		if !ok(t) {
			return false
		}
	}
	return true
}

// holdsDead reports whether t considers none of ids live.
func holdsDead(t *Table, ids ...group.DaemonID) bool {
	for _, id := range ids {
		if e, ok := t.Entry(id); ok && e.live() {
			return false
		}
	}
	return true
}
