package peer

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// rumourRounds is how often a change is told, times the logarithm of the number of members.
const rumourRounds = 3

// demandRounds is how often a changed demand is told; fewer than a changed state, which thereby goes first.
const demandRounds = 6

// Merge takes in what another daemon said of members and reports whether the live members changed.
func (t *Table) Merge(now clock.Millis, said []Entry) bool {
	changed := false
	for i := range said {
		if t.merge(now, &said[i]) {
			changed = true
		}
	}
	return changed
}

func (t *Table) merge(now clock.Millis, said *Entry) bool {
	if said.ID == "" || said.State < Alive || said.State > Left {
		return false
	}
	if said.ID == t.self.ID {
		t.deny(said)
		return false
	}
	held, ok := t.entries[said.ID]
	if !ok {
		return t.add(now, said)
	}
	if said.Incarnation < held.Incarnation {
		return false
	}
	if said.Incarnation == held.Incarnation {
		return t.mergeSame(now, held, said)
	}
	wasLive := held.live()
	*held = *said
	t.touch()
	t.tell(said.ID)
	t.replace(now, said)
	return wasLive || held.live()
}

func (t *Table) add(now clock.Millis, said *Entry) bool {
	if !t.tellable(now, said) {
		return false
	}
	e := *said
	t.entries[e.ID] = &e
	t.pulse(now, e.DataCentre)
	t.touch()
	t.tell(e.ID)
	t.replace(now, &e)
	return e.live()
}

// mergeSame joins two entries of one incarnation; the state and the demand rise each for itself.
func (t *Table) mergeSame(now clock.Millis, held, said *Entry) bool {
	changed := false
	if said.State > held.State {
		changed = said.State >= Dead
		t.enter(now, held, said.State)
		held.Since = said.Since
	}
	if said.Sequence > held.Sequence {
		held.Sequence = said.Sequence
		held.Demand = said.Demand
		t.rumours[held.ID] = max(t.rumours[held.ID], demandRounds)
		changed = true
	}
	return changed
}

func (t *Table) enter(now clock.Millis, e *Entry, s State) {
	e.State = s
	t.touch()
	e.Since = now
	t.tell(e.ID)
}

// deny raises this daemon's incarnation over a rumour that it has failed or that an earlier life of it was higher.
func (t *Table) deny(said *Entry) {
	if said.Incarnation < t.self.Incarnation {
		return
	}
	if said.Incarnation == t.self.Incarnation && said.State == Alive {
		return
	}
	if t.self.State == Left {
		return
	}
	t.self.Incarnation = said.Incarnation + 1
	t.touch()
	t.tell(t.self.ID)
}

// replace ends the older members that were at the address of a new one.
func (t *Table) replace(now clock.Millis, by *Entry) {
	if !by.live() || by.Address == "" {
		return
	}
	for _, e := range t.entries {
		older := e.ID != by.ID && e.Address == by.Address && e.Incarnation < by.Incarnation
		if older && e.live() {
			t.enter(now, e, Dead)
		}
	}
}

// tell makes a member part of the next heartbeats.
func (t *Table) tell(id group.DaemonID) {
	t.rumours[id] = rumourRounds * bits.Len(uint(len(t.entries)+1))
}

// Rumours returns the members that changed of late, the least told first.
func (t *Table) Rumours(now clock.Millis) []Entry {
	ids := make([]group.DaemonID, 0, len(t.rumours))
	for id := range t.rumours {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b group.DaemonID) int {
		return cmp.Or(cmp.Compare(t.rumours[b], t.rumours[a]), cmp.Compare(a, b))
	})
	var out []Entry
	for _, id := range ids[:min(len(ids), t.set.Rumours)] {
		out = t.appendRumour(out, now, id)
	}
	return out
}

func (t *Table) appendRumour(out []Entry, now clock.Millis, id group.DaemonID) []Entry {
	t.rumours[id]--
	if t.rumours[id] <= 0 {
		delete(t.rumours, id)
	}
	e, ok := t.entries[id]
	if !ok || !t.tellable(now, e) {
		return out
	}
	return append(out, *e)
}

// Compared takes in the hash of the live members that a daemon of dc has, once an exchange with it has been merged.
func (t *Table) Compared(dc group.DataCentre, theirs uint64) {
	if theirs == t.Hash() {
		delete(t.mismatches, dc)
		return
	}
	t.mismatches[dc]++
}

// mismatchesBeforeAll is the number of exchanges in a row that rumours have to even out a difference with a data centre.
const mismatchesBeforeAll = 3

// WantAll reports whether all members should be exchanged in a probe: rumours did not even out a difference, or the probed daemon was out of reach.
func (t *Table) WantAll(p Probe) bool {
	e, ok := t.entries[p.ID]
	if !ok || p.Kind == Retry {
		return true
	}
	if t.mismatches[e.DataCentre] < mismatchesBeforeAll {
		return false
	}
	delete(t.mismatches, e.DataCentre)
	return true
}
