package group

import (
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// TargetState is a daemon's view of one target.
type TargetState struct {
	Target
	Status Status
	// RequestedAt is when the request answered by Status was sent, by the local clock; 0 before the first reply.
	RequestedAt clock.Millis
	// Down is true while the target is suspected of having failed.
	Down bool
	// Leaving is true while the target's VM is marked as leaving.
	Leaving bool
}

// View is an immutable copy of a Machine's state.
type View struct {
	Record  Record
	Version uint64
	Targets []TargetState
	// Changing is true from the confirmed failure of the primary, or the start of its replacement, until the next primary is known to take writes.
	Changing bool
	// Primary is the target that may take writes of Term now; it is empty while Changing.
	Primary TargetID
	// Term is the highest term known to have a primary.
	Term position.Term
}

// View returns a copy of the state for routing.
func (m *Machine) View() View {
	v := View{Record: m.rec, Version: m.version, Term: m.primary.term}
	v.Record.Targets = slices.Clone(m.rec.Targets)
	for _, t := range m.rec.Targets {
		o := m.members[t.ID]
		v.Targets = append(v.Targets, TargetState{
			Target:      t,
			Status:      o.status,
			RequestedAt: o.requestedAt,
			Down:        o.down,
			Leaving:     o.leaving,
		})
	}
	v.Changing = m.changing()
	if !v.Changing {
		v.Primary = m.primary.id
	}
	return v
}

func (m *Machine) changing() bool {
	t := m.members[m.primary.id]
	if t == nil || m.change != nil || t.confirmed || m.stall.cutOff || m.primaryBlocked() {
		return true
	}
	return t.known && t.status.writeTerm() != m.primary.term
}
