package peer

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// updateRounds is the number of heartbeats that carry a changed state, per bit of the number of members. This follows the
// logarithmic spread of gossip.
const updateRounds = 3

// demandRounds is the number of heartbeats that carry a changed demand. It is lower than for a changed state, which is therefore
// sent first.
const demandRounds = 6

// Merge merges the entries that another daemon sent and reports whether the live members or their demands changed.
func (t *Table) Merge(now clock.Millis, received []Entry) bool {
	changed := false
	for i := range received {
		if t.merge(now, &received[i]) {
			changed = true
		}
	}
	return changed
}

// merge merges one entry. A higher incarnation replaces the known entry; a lower one is ignored.
func (t *Table) merge(now clock.Millis, received *Entry) bool {
	if received.ID == "" || received.State < Alive || received.State > Left {
		return false
	}
	if received.ID == t.self.ID {
		t.refute(received)
		return false
	}
	known, ok := t.entries[received.ID]
	if !ok {
		return t.add(now, received)
	}
	if received.Incarnation < known.Incarnation {
		return false
	}
	if received.Incarnation == known.Incarnation {
		return t.mergeSame(now, known, received)
	}
	wasLive := known.live()
	*known = *received
	t.resetIndex()
	t.queueUpdate(received.ID)
	t.markReplaced(now, received)
	return wasLive || known.live()
}

// add inserts a member that was unknown so far.
func (t *Table) add(now clock.Millis, received *Entry) bool {
	if !t.maySend(now, received) {
		return false
	}
	e := *received
	t.entries[e.ID] = &e
	t.pulse(now, e.DataCentre)
	t.resetIndex()
	t.queueUpdate(e.ID)
	t.markReplaced(now, &e)
	return e.live()
}

// mergeSame merges two entries of the same incarnation. The higher state and the higher sequence of the demand win independently of
// each other.
func (t *Table) mergeSame(now clock.Millis, known, received *Entry) bool {
	changed := false
	if received.State > known.State {
		changed = received.State >= Dead
		t.setState(now, known, received.State)
		known.Since = received.Since
	}
	if received.Sequence > known.Sequence {
		known.Sequence = received.Sequence
		known.Demand = received.Demand
		t.updates[known.ID] = max(t.updates[known.ID], demandRounds)
		changed = true
	}
	return changed
}

// setState changes the state of a member and queues the change for the next heartbeats.
func (t *Table) setState(now clock.Millis, e *Entry, s State) {
	e.State = s
	t.resetIndex()
	e.Since = now
	t.queueUpdate(e.ID)
}

// refute refutes an entry about this daemon by raising its incarnation above it. The entry claims that the daemon has failed, or
// stems from an earlier run with a higher incarnation. A daemon that has left does not refute.
func (t *Table) refute(received *Entry) {
	if received.Incarnation < t.self.Incarnation {
		return
	}
	if received.Incarnation == t.self.Incarnation && received.State == Alive {
		return
	}
	if t.self.State == Left {
		return
	}
	t.self.Incarnation = received.Incarnation + 1
	t.resetIndex()
	t.queueUpdate(t.self.ID)
}

// markReplaced marks older members with the address of a live new one as dead.
func (t *Table) markReplaced(now clock.Millis, by *Entry) {
	if !by.live() || by.Address == "" {
		return
	}
	for _, e := range t.entries {
		older := e.ID != by.ID && e.Address == by.Address && e.Incarnation < by.Incarnation
		if older && e.live() {
			t.setState(now, e, Dead)
		}
	}
}

// queueUpdate queues a member for the next heartbeats.
func (t *Table) queueUpdate(id group.DaemonID) {
	t.updates[id] = updateRounds * bits.Len(uint(len(t.entries)+1))
}

// Updates returns the members with queued updates, those sent least often first, and counts them as sent.
func (t *Table) Updates(now clock.Millis) []Entry {
	ids := make([]group.DaemonID, 0, len(t.updates))
	for id := range t.updates {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b group.DaemonID) int {
		return cmp.Or(cmp.Compare(t.updates[b], t.updates[a]), cmp.Compare(a, b))
	})
	var out []Entry
	for _, id := range ids[:min(len(ids), t.set.MaxUpdates)] {
		out = t.appendUpdate(out, now, id)
	}
	return out
}

// appendUpdate counts one transmission of a member's update and appends its entry if it may still be sent.
func (t *Table) appendUpdate(out []Entry, now clock.Millis, id group.DaemonID) []Entry {
	t.updates[id]--
	if t.updates[id] <= 0 {
		delete(t.updates, id)
	}
	e, ok := t.entries[id]
	if !ok || !t.maySend(now, e) {
		return out
	}
	return append(out, *e)
}

// CompareHash compares this daemon's hash of the live members with that of a daemon of dc. The heartbeat of that daemon has been merged
// before.
func (t *Table) CompareHash(dc group.DataCentre, peerHash uint64) {
	if peerHash == t.Hash() {
		delete(t.mismatches, dc)
		return
	}
	t.mismatches[dc]++
}

// maxHashMismatches is the number of consecutive exchanges with a data centre after which differing hashes lead to an exchange of
// all members. Queued updates resolve most differences before that.
const maxHashMismatches = 3

// NeedsAll reports whether a probe has to exchange all members. This is the case if the probed daemon is unknown or was dead, or if
// the queued updates have not resolved a difference with its data centre.
func (t *Table) NeedsAll(p Probe) bool {
	e, ok := t.entries[p.ID]
	if !ok || p.Kind == Retry {
		return true
	}
	if t.mismatches[e.DataCentre] < maxHashMismatches {
		return false
	}
	delete(t.mismatches, e.DataCentre)
	return true
}
