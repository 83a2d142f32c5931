package peer

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Beat is what one daemon tells another of the membership.
type Beat struct {
	// Now is the sender's clock, by which the entries' ages are counted.
	Now     clock.Millis
	Self    Entry
	Members []Entry
	Pulses  []Pulse
	// Hash sums up the members that the sender holds to be live.
	Hash uint64
}

// Beat returns what to tell a member; what is held against that member is always part of it, so that it can deny.
func (t *Table) Beat(now clock.Millis, to group.DaemonID, all bool) Beat {
	b := Beat{
		Now:    now,
		Self:   t.self,
		Pulses: t.Pulses(),
		Hash:   t.Hash(),
	}
	if all {
		b.Members = t.All(now)
		return b
	}
	b.Members = t.Rumours(now)
	if e, ok := t.entries[to]; ok && e.State != Alive {
		b.Members = append(b.Members, *e)
	}
	bound(b.Members)
	return b
}

// Hear takes in a beat whose entries are already counted by the own clock, and reports whether the live members changed.
func (t *Table) Hear(now clock.Millis, b Beat) bool {
	t.MergePulses(now, b.Pulses)
	changed := t.Merge(now, b.Members)
	if t.Merge(now, []Entry{b.Self}) {
		changed = true
	}
	t.Compared(b.Self.DataCentre, b.Hash)
	return changed
}
