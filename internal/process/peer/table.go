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

// Settings holds the parameters of a Table. Durations are numbers of periods, except Period itself.
type Settings struct {
	// Period is the time between two calls to Tick.
	Period clock.Millis
	// Fanout is the number of neighbours probed in each period.
	Fanout int
	// Helpers is the number of other members that probe a silent neighbour before it becomes suspect.
	Helpers int
	// SuspectFor is the time that a suspect member has to refute the suspicion before it counts as dead.
	SuspectFor int
	// RetainFor is the time that dead and left members are kept, so that old heartbeats cannot add them again.
	RetainFor int
	// RetryEvery is the time between two probes of a dead member, which may only have been cut off.
	RetryEvery int
	// LostAfter is the time without a pulse of a data centre after which its members count as lost.
	LostAfter int
	// Bridges is the number of daemons in each data centre that probe other data centres.
	Bridges int
	// MaxUpdates is the largest number of changed members that a heartbeat contains.
	MaxUpdates int
	// Choose selects the neighbours to probe; nil means RoundRobin.
	Choose Chooser
	// Random is the source of random choices.
	Random *rand.Rand
}

// Defaults returns the default settings for the given period.
func Defaults(period clock.Millis) Settings {
	return Settings{
		Period:     period,
		Fanout:     1,
		Helpers:    3,
		SuspectFor: 4,
		RetainFor:  600,
		RetryEvery: 5,
		LostAfter:  30,
		Bridges:    2,
		MaxUpdates: 12,
		Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Table is the membership as seen by one daemon. It performs no I/O and is not safe for concurrent use.
type Table struct {
	set     Settings
	self    Entry
	entries map[group.DaemonID]*Entry
	// updates holds the number of heartbeats that still have to carry the update of a member.
	updates     map[group.DaemonID]int
	pulses      map[group.DataCentre]*pulse
	ticks       uint64
	cachedIndex *liveIndex
	// mismatches counts the consecutive exchanges with each data centre that ended with different hashes.
	mismatches map[group.DataCentre]int
}

// pulse is the highest known count of a data centre and the local time at which it was received.
type pulse struct {
	count      uint64
	advancedAt clock.Millis
}

// NewTable returns the table of a daemon that knows no other members.
func NewTable(self Member, set Settings) *Table {
	if set.Choose == nil {
		set.Choose = RoundRobin(set.Random)
	}
	return &Table{
		set:     set,
		self:    Entry{Member: self, State: Alive},
		entries: map[group.DaemonID]*Entry{},
		updates: map[group.DaemonID]int{},
		pulses:  map[group.DataCentre]*pulse{},

		mismatches: map[group.DataCentre]int{},
	}
}

// Self returns the entry of this daemon.
func (t *Table) Self() Entry { return t.self }

// Leave marks this daemon as left. No entry received later reverts that.
func (t *Table) Leave(now clock.Millis) {
	t.self.State = Left
	t.self.Since = now
	t.resetIndex()
}

// SetDemand replaces this daemon's demand, which the next heartbeats carry. Only the first maxMemberDemands items are kept.
func (t *Table) SetDemand(d []Demand) {
	d = d[:min(len(d), maxMemberDemands)]
	if slices.Equal(t.self.Demand, d) {
		return
	}
	t.self.Demand = slices.Clone(d)
	t.self.Sequence++
}

// Entry returns the entry of a member and whether it is known.
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

// Live returns the members that are considered live, without this daemon, sorted by id.
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

// All returns the entries of this daemon and of all members that may be sent, sorted by id. Demands beyond maxHeartbeatDemands are omitted.
func (t *Table) All(now clock.Millis) []Entry {
	out := []Entry{t.self}
	for _, e := range t.entries {
		if t.maySend(now, e) {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	limitDemands(out)
	return out
}

// limitDemands removes demands beyond a total of maxHeartbeatDemands. Sequence 0 marks a removed demand as unknown.
func limitDemands(es []Entry) {
	total := 0
	for i := range es {
		total += len(es[i].Demand)
		if total > maxHeartbeatDemands {
			es[i].Demand = nil
			es[i].Sequence = 0
		}
	}
}

// maySend reports whether an entry may be sent to other daemons. A dead or left member is sent for half of RetainFor only;
// otherwise daemons that have removed it would receive and add it again without end.
func (t *Table) maySend(now clock.Millis, e *Entry) bool {
	return e.live() || now-e.Since < t.periods(t.set.RetainFor)/2
}

// Hash returns a hash of the live members, this daemon included.
func (t *Table) Hash() uint64 { return t.index().hash }

// hashEntry returns a hash of the id, incarnation and state of e.
func hashEntry(e *Entry) uint64 {
	var buf [64]byte
	b := append(buf[:0], e.ID...)
	b = binary.BigEndian.AppendUint64(b, uint64(e.Incarnation))
	b = append(b, byte(e.State))
	return xxhash.Sum64(b)
}

func (t *Table) periods(n int) clock.Millis { return clock.Millis(n) * t.set.Period }
