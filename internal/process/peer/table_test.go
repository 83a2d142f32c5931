package peer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func testTable() *Table {
	self := Member{ID: "d0", Address: "10.0.0.1:1", DataCentre: "dc-0", Incarnation: 5}
	return NewTable(self, Defaults(testPeriod))
}

func entry(id group.DaemonID, incarnation Incarnation, s State) Entry {
	m := Member{ID: id, Address: "at-" + string(id), DataCentre: "dc-0", Incarnation: incarnation}
	return Entry{Member: m, State: s}
}

func TestTableMerge(t *testing.T) {
	tests := []struct {
		name        string
		received    []Entry
		incarnation Incarnation
		state       State
	}{
		{"duplicate heartbeat", []Entry{entry("d1", 1, Alive), entry("d1", 1, Alive)}, 1, Alive},
		{"suspicion", []Entry{entry("d1", 1, Alive), entry("d1", 1, Suspect)}, 1, Suspect},
		{"old heartbeat after suspicion", []Entry{entry("d1", 1, Suspect), entry("d1", 1, Alive)}, 1, Suspect},
		{"refutation", []Entry{entry("d1", 1, Suspect), entry("d1", 2, Alive)}, 2, Alive},
		{"suspicion after refutation", []Entry{entry("d1", 2, Alive), entry("d1", 1, Suspect)}, 2, Alive},
		{"old heartbeat after death", []Entry{entry("d1", 1, Alive), entry("d1", 1, Dead), entry("d1", 1, Alive)}, 1, Dead},
		{"old heartbeat after leaving", []Entry{entry("d1", 1, Left), entry("d1", 1, Alive)}, 1, Left},
		{"left overrides dead", []Entry{entry("d1", 1, Dead), entry("d1", 1, Left)}, 1, Left},
		{"restart after leaving", []Entry{entry("d1", 1, Left), entry("d1", 2, Alive)}, 2, Alive},
		{"old incarnation", []Entry{entry("d1", 3, Alive), entry("d1", 2, Dead)}, 3, Alive},
		{"state out of range", []Entry{entry("d1", 3, Alive), entry("d1", 4, 9)}, 3, Alive},
	}
	for _, tt := range tests {
		table := testTable()
		table.Merge(0, tt.received)
		got, _ := table.Entry("d1")
		if got.Incarnation != tt.incarnation || got.State != tt.state {
			t.Errorf("%s: got incarnation %d state %d, want %d %d", tt.name, got.Incarnation, got.State, tt.incarnation, tt.state)
		}
	}
}

func TestTableRefutes(t *testing.T) {
	tests := []struct {
		name     string
		received Entry
		left     bool
		want     Incarnation
	}{
		{"suspicion of this incarnation", entry("d0", 5, Suspect), false, 6},
		{"death of this incarnation", entry("d0", 5, Dead), false, 6},
		{"earlier run had a higher incarnation", entry("d0", 9, Alive), false, 10},
		{"earlier incarnation", entry("d0", 4, Dead), false, 5},
		{"own heartbeat", entry("d0", 5, Alive), false, 5},
		{"suspicion after leaving", entry("d0", 5, Suspect), true, 5},
	}
	for _, tt := range tests {
		table := testTable()
		if tt.left {
			table.Leave(0)
		}
		table.Merge(0, []Entry{tt.received})
		if got := table.Self().Incarnation; got != tt.want {
			t.Errorf("%s: got incarnation %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestTableReplacesOlderMemberAtSameAddress(t *testing.T) {
	table := testTable()
	older, newer := entry("old", 1, Alive), entry("new", 2, Alive)
	newer.Address = older.Address
	table.Merge(0, []Entry{newer, older})
	table.Merge(0, []Entry{newer})
	table.Merge(0, []Entry{older, entry("d2", 1, Alive)})
	newer.Incarnation = 3
	table.Merge(0, []Entry{newer})
	got, _ := table.Entry("old")
	if got.State != Dead {
		t.Errorf("got state %d, want %d", got.State, Dead)
	}
}

func TestTableSuspectMemberDiesAndIsRemoved(t *testing.T) {
	table := testTable()
	table.Merge(0, []Entry{entry("d1", 1, Alive)})
	table.MarkSuspect(0, "d1", 0)
	steps := []struct {
		at    clock.Millis
		state State
	}{
		{0, Alive},
		{testPeriod, Suspect},
		{testPeriod + table.periods(table.set.SuspectFor) - 1, Suspect},
		{testPeriod + table.periods(table.set.SuspectFor), Dead},
		{testPeriod + table.periods(table.set.SuspectFor+table.set.RetainFor), 0},
	}
	for i, s := range steps {
		if i == 1 {
			table.MarkSuspect(s.at, "d1", 1)
		}
		table.Tick(s.at)
		got, _ := table.Entry("d1")
		if got.State != s.state {
			t.Fatalf("at %d: got state %d, want %d", s.at, got.State, s.state)
		}
	}
}

func TestTableIgnoresOldDeath(t *testing.T) {
	table := testTable()
	now := table.periods(table.set.RetainFor)
	table.Merge(now, []Entry{entry("d1", 1, Dead)})
	if _, ok := table.Entry("d1"); ok {
		t.Error("got an entry for a member that died more than half of RetainFor ago, want none")
	}
}

func TestLostDataCentreReturns(t *testing.T) {
	c := newCluster(12, 3, 1, func(*Settings) {})
	isolated := func(id group.DaemonID) bool { return c.tables[id].self.DataCentre == "dc-2" }
	lost := func(want int) func(*Table) bool {
		return func(t *Table) bool {
			n := 0
			for _, m := range t.Live(c.now) {
				if m.Lost {
					n++
				}
			}
			live := len(t.Live(c.now)) == 11
			return live && (n == want || isolated(t.self.ID) && n == 2*want)
		}
	}
	c.until(5, func(*Table) bool { return false })
	c.lost = func(from, to group.DaemonID) bool { return isolated(from) != isolated(to) }
	if n := c.until(100, lost(4)); n == 100 {
		t.Error("lost data centre was not detected within 100 periods, or its members were considered dead")
	}
	c.lost = func(_, _ group.DaemonID) bool { return false }
	if n := c.until(100, lost(0)); n == 100 {
		t.Error("data centre still counted as lost 100 periods after its connection returned")
	}
}

func TestMessagesPerDaemonDependOnDataCentresOnly(t *testing.T) {
	for _, centres := range []int{1, 2, 4} {
		c := newCluster(12*centres, centres, 1, func(*Settings) {})
		c.until(20, func(*Table) bool { return false })
		pairs := 2 * centres * (centres - 1)
		want := 20 * 2 * (12*centres + pairs)
		if c.messages != want {
			t.Errorf("%d centres: got %d messages, want %d", centres, c.messages, want)
		}
	}
}

// TestViewsConverge checks that all members agree on the live ones once messages arrive again, after a time in which messages are lost
// at random and members stop, leave and restart.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(rt, "members")
		c := newCluster(n, rapid.IntRange(1, 2).Draw(rt, "centres"), rapid.Uint64().Draw(rt, "seed"), func(*Settings) {})
		losses := rapid.IntRange(0, 90).Draw(rt, "loss percentage")
		c.lost = func(_, _ group.DaemonID) bool { return c.random.IntN(100) < losses }
		ended := map[group.DaemonID]Incarnation{}
		for range rapid.IntRange(1, 30).Draw(rt, "periods") {
			disturb(rt, c, ended)
			c.period()
			checkNoRevival(rt, c, ended)
		}
		c.lost = func(_, _ group.DaemonID) bool { return false }
		took := c.until(400, func(t *Table) bool { return t.Self().State == Left || sameView(c, t) })
		checkNoRevival(rt, c, ended)
		if took == 400 {
			rt.Fatalf("views still differ 400 periods after the last lost message")
		}
	})
}

// disturb stops, removes or restarts a random member in some of its calls.
func disturb(rt *rapid.T, c *cluster, ended map[group.DaemonID]Incarnation) {
	id := rapid.SampledFrom(c.ids).Draw(rt, "member")
	t, runs := c.tables[id]
	switch rapid.IntRange(0, 9).Draw(rt, "disturbance") {
	case 0:
		if runs && len(c.tables) > 2 {
			c.stop(id)
		}
	case 1:
		if runs && len(c.tables) > 2 {
			ended[id] = t.Self().Incarnation
			t.Leave(c.now)
		}
	case 2:
		c.restart(id)
	}
}

// checkNoRevival fails the test if a table considers an incarnation live that it has recorded as dead or left before, or if a daemon has raised
// its incarnation after leaving.
func checkNoRevival(rt *rapid.T, c *cluster, ended map[group.DaemonID]Incarnation) {
	for by, t := range c.tables {
		for id, e := range t.entries {
			seen := endedIncarnation{by: by, id: id, incarnation: e.Incarnation}
			if !e.live() {
				c.seen[seen] = true
			}
			if e.live() && c.seen[seen] {
				rt.Fatalf("%s revived %s at incarnation %d", by, id, e.Incarnation)
			}
		}
	}
	for id, incarnation := range ended {
		if t, ok := c.tables[id]; ok && t.Self().State == Left && t.Self().Incarnation != incarnation {
			rt.Fatalf("%s raised its incarnation after leaving", id)
		}
	}
}

// sameView reports whether the members that t considers live, apart from lost data centres, are exactly the running ones.
func sameView(c *cluster, t *Table) bool {
	var want []group.DaemonID
	for _, id := range c.ids {
		if o, ok := c.tables[id]; ok && o.Self().State != Left && id != t.self.ID {
			want = append(want, id)
		}
	}
	var got []group.DaemonID
	for _, m := range t.Live(c.now) {
		if !m.Lost {
			got = append(got, m.ID)
		}
	}
	return slices.Equal(got, want)
}
