package peer

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// rumourRounds is the number of heartbeats that carry a changed state, per bit of the number of members. This follows the
// logarithmic spread of gossip.
const rumourRounds = 3

// demandRounds is the number of heartbeats that carry a changed demand. It is lower than for a changed state, which is therefore
// sent first.
const demandRounds = 6

// Merge merges the entries that another daemon sent and reports whether the live members or their demands changed.
func (t *Table) Merge(now clock.Millis, said []Entry) bool {
	changed := false
	for i := range said {
		if t.merge(now, &said[i]) {
			changed = true
		}
	}
	return changed
}

// merge merges one entry. A higher incarnation replaces the known entry; a lower one is ignored.
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

// add inserts a member that was unknown so far.
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

// mergeSame merges two entries of the same incarnation. The higher state and the higher sequence of the demand win independently of
// each other.
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

// enter changes the state of a member and queues the change for the next heartbeats.
func (t *Table) enter(now clock.Millis, e *Entry, s State) {
	e.State = s
	t.touch()
	e.Since = now
	t.tell(e.ID)
}

// deny refutes an entry about this daemon by raising its incarnation above it. The entry claims that the daemon has failed, or
// stems from an earlier run with a higher incarnation. A daemon that has left does not refute.
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

// replace marks older members with the address of a live new one as dead.
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

// tell queues a member for the next heartbeats.
func (t *Table) tell(id group.DaemonID) {
	t.rumours[id] = rumourRounds * bits.Len(uint(len(t.entries)+1))
}

// Rumours returns the members with queued updates, those sent least often first, and counts them as sent.
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

// appendRumour counts one transmission of a member's update and appends its entry if it may still be sent.
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

// Compared compares this daemon's hash of the live members with that of a daemon of dc. The heartbeat of that daemon has been merged
// before.
func (t *Table) Compared(dc group.DataCentre, theirs uint64) {
	if theirs == t.Hash() {
		delete(t.mismatches, dc)
		return
	}
	t.mismatches[dc]++
}

// mismatchesBeforeAll is the number of consecutive exchanges with a data centre after which differing hashes lead to an exchange of
// all members. Queued updates resolve most differences before that.
const mismatchesBeforeAll = 3

// WantAll reports whether a probe has to exchange all members. This is the case if the probed daemon is unknown or was dead, or if
// the queued updates have not resolved a difference with its data centre.
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
