package peer

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Heartbeat is a heartbeat: the membership data that one daemon sends to another.
type Heartbeat struct {
	// Now is the time of the sender's clock; the ages of the entries are relative to it.
	Now     clock.Millis
	Self    Entry
	Members []Entry
	Pulses  []Pulse
	// Hash is the sender's hash of the members that it considers live.
	Hash uint64
}

// Heartbeat returns the heartbeat for a member. With all, it contains all members, otherwise the queued updates. It always contains the
// receiver's own entry if that is not Alive, so that the receiver can refute it.
func (t *Table) Heartbeat(now clock.Millis, to group.DaemonID, all bool) Heartbeat {
	b := Heartbeat{
		Now:    now,
		Self:   t.self,
		Pulses: t.Pulses(),
		Hash:   t.Hash(),
	}
	if all {
		b.Members = t.All(now)
		return b
	}
	b.Members = t.Updates(now)
	if e, ok := t.entries[to]; ok && e.State != Alive {
		b.Members = append(b.Members, *e)
	}
	limitDemands(b.Members)
	return b
}

// MergeHeartbeat merges a heartbeat into the table and reports whether the live members changed. The times of its entries already refer to
// the local clock.
func (t *Table) MergeHeartbeat(now clock.Millis, b Heartbeat) bool {
	t.MergePulses(now, b.Pulses)
	changed := t.Merge(now, b.Members)
	if t.Merge(now, []Entry{b.Self}) {
		changed = true
	}
	t.CompareHash(b.Self.DataCentre, b.Hash)
	return changed
}
