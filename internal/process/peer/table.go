package peer

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Settings are the bounds of a Table; durations are counted in periods.
type Settings struct {
	// Period is the time between two calls of Tick.
	Period clock.Millis
	// Fanout is the number of neighbours probed in a period.
	Fanout int
	// Helpers is the number of others asked before a silent member is suspected.
	Helpers int
	// SuspectFor is how long a suspect has to deny before it is dead.
	SuspectFor int
	// RememberFor is how long dead and left members are kept against old rumours.
	RememberFor int
	// RetryEvery is how often one dead member is probed, in case it was cut off.
	RetryEvery int
	// LostAfter is how long nothing is heard of a data centre before its members are lost.
	LostAfter int
	// Bridges is the number of daemons of a data centre that probe other data centres.
	Bridges int
	// Rumours is the number of changed members sent along with a heartbeat.
	Rumours int
	// Choose picks the neighbours to probe; nil means RoundRobin.
	Choose Chooser
	// Random is the source of choices.
	Random *rand.Rand
}

// Defaults returns the settings for a period.
func Defaults(period clock.Millis) Settings {
	return Settings{
		Period:      period,
		Fanout:      1,
		Helpers:     3,
		SuspectFor:  4,
		RememberFor: 600,
		RetryEvery:  5,
		LostAfter:   30,
		Bridges:     2,
		Rumours:     12,
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Table is the membership as one daemon sees it; it does no input or output and is owned by one goroutine.
type Table struct {
	set     Settings
	self    Entry
	entries map[group.DaemonID]*Entry
	rumours map[group.DaemonID]int
	pulses  map[group.DataCentre]*pulse
	ticks   uint64
	cached  *census
	// mismatches counts, for each data centre, the exchanges in a row that ended in different hashes.
	mismatches map[group.DataCentre]int
}

type pulse struct {
	count uint64
	heard clock.Millis
}

// NewTable returns the table of a daemon that knows only itself.
func NewTable(self Member, set Settings) *Table {
	if set.Choose == nil {
		set.Choose = RoundRobin(set.Random)
	}
	return &Table{
		set:     set,
		self:    Entry{Member: self, State: Alive},
		entries: map[group.DaemonID]*Entry{},
		rumours: map[group.DaemonID]int{},
		pulses:  map[group.DataCentre]*pulse{},

		mismatches: map[group.DataCentre]int{},
	}
}

// Self returns what this daemon says of itself.
func (t *Table) Self() Entry { return t.self }

// Leave marks this daemon as left; nothing heard later takes it back.
func (t *Table) Leave(now clock.Millis) {
	t.self.State = Left
	t.self.Since = now
	t.touch()
}

// SetDemand replaces this daemon's demand and spreads it; what goes beyond maxDemand is left out.
func (t *Table) SetDemand(d []Demand) {
	d = d[:min(len(d), maxDemand)]
	if slices.Equal(t.self.Demand, d) {
		return
	}
	t.self.Demand = slices.Clone(d)
	t.self.Sequence++
}

// Entry returns what is known of a member.
func (t *Table) Entry(id group.DaemonID) (Entry, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	e, ok := t.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Live returns the members held to run, without this daemon, in order of their ids.
func (t *Table) Live(now clock.Millis) []Member {
	var out []Member
	for _, e := range t.entries {
		if !e.live() {
			continue
		}
		m := e.Member
		m.Lost = t.lost(now, m.DataCentre)
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// All returns this daemon's entry and those of all members fit to be told, in order of their ids; demands beyond maxDemands are left out.
func (t *Table) All(now clock.Millis) []Entry {
	out := []Entry{t.self}
	for _, e := range t.entries {
		if t.tellable(now, e) {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	bound(out)
	return out
}

// bound leaves out demands beyond maxDemands; sequence 0 says that a demand is not known.
func bound(es []Entry) {
	total := 0
	for i := range es {
		total += len(es[i].Demand)
		if total > maxDemands {
			es[i].Demand = nil
			es[i].Sequence = 0
		}
	}
}

// tellable keeps nearly forgotten members from going round for ever.
func (t *Table) tellable(now clock.Millis, e *Entry) bool {
	return e.live() || now-e.Since < t.periods(t.set.RememberFor)/2
}

// Hash sums up the members held to be live, this daemon included.
func (t *Table) Hash() uint64 { return t.census().hash }

func hashEntry(e *Entry) uint64 {
	var buf [64]byte
	b := append(buf[:0], e.ID...)
	b = binary.BigEndian.AppendUint64(b, uint64(e.Incarnation))
	b = append(b, byte(e.State))
	return xxhash.Sum64(b)
}

func (t *Table) periods(n int) clock.Millis { return clock.Millis(n) * t.set.Period }
