package control

import (
	"slices"

	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
)

// view returns the view for routing: the state of the machine, the samples and the load from this daemon.
// If the machine knows a primary of a later term than the record, the view has that term and its primary, which is empty during a change.
func (m *managedGroup) view() *route.View {
	state := m.machine.View()
	v := &route.View{Record: state.Record, Changing: state.Changing, Samples: m.samples}
	if state.Term > v.Record.Term {
		v.Record.Term = state.Term
		v.Record.Primary = state.Primary
	}
	for i := range state.Targets {
		v.Targets = append(v.Targets, m.targetView(&state.Targets[i]))
	}
	return v
}

func (m *managedGroup) targetView(t *group.TargetState) route.TargetView {
	load := m.l.deps.Load(t.ID)
	return route.TargetView{
		Target:      t.Target,
		Status:      t.Status,
		RequestedAt: t.RequestedAt,
		Down:        t.Down,
		Leaving:     t.Leaving,
		Outstanding: load.Total(),
		Writes:      load.Writes,
	}
}

// sameRouting reports whether both views route requests alike, apart from the load.
func sameRouting(a, b *route.View) bool {
	if a.Changing != b.Changing || a.Record.Term != b.Record.Term || a.Record.Primary != b.Record.Primary {
		return false
	}
	return slices.EqualFunc(a.Targets, b.Targets, func(s, t route.TargetView) bool {
		return s.Down == t.Down && s.Leaving == t.Leaving && s.RequestedAt == t.RequestedAt
	})
}
