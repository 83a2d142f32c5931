package control

import (
	"slices"

	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
)

// view joins the machine's state with the samples and this daemon's load for those who route by it.
func (m *member) view() *route.View {
	g := m.machine.View()
	v := &route.View{Record: g.Record, Changing: g.Changing, Samples: m.samples}
	if g.Term > v.Record.Term {
		v.Record.Term = g.Term
		v.Record.Primary = g.Primary
	}
	for i := range g.Targets {
		v.Targets = append(v.Targets, m.target(&g.Targets[i]))
	}
	return v
}

func (m *member) target(t *group.TargetState) route.TargetView {
	l := m.l.seams.Load(t.ID)
	return route.TargetView{
		Target:      t.Target,
		Status:      t.Status,
		AskedAt:     t.AskedAt,
		Down:        t.Down,
		Leaving:     t.Leaving,
		Outstanding: l.Total(),
		Writes:      l.Writes,
	}
}

// same reports whether traffic routes alike by both views, the load aside.
func same(a, b *route.View) bool {
	if a.Changing != b.Changing || a.Record.Term != b.Record.Term || a.Record.Primary != b.Record.Primary {
		return false
	}
	return slices.EqualFunc(a.Targets, b.Targets, func(s, t route.TargetView) bool {
		return s.Down == t.Down && s.Leaving == t.Leaving && s.AskedAt == t.AskedAt
	})
}
