package peer

import (
	"cmp"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// beat counts a period of the own data centre.
func (t *Table) beat(now clock.Millis) {
	p := t.pulse(now, t.self.DataCentre)
	p.count++
	p.heard = now
}

func (t *Table) pulse(now clock.Millis, dc group.DataCentre) *pulse {
	p, ok := t.pulses[dc]
	if !ok {
		p = &pulse{heard: now}
		t.pulses[dc] = p
	}
	return p
}

// MergePulses takes in how far another daemon has heard the data centres count.
func (t *Table) MergePulses(now clock.Millis, said []Pulse) {
	for _, s := range said {
		p := t.pulse(now, s.DataCentre)
		if s.Count > p.count {
			p.count = s.Count
			p.heard = now
		}
	}
}

// Pulses returns how far the data centres were heard to count, in order of their names.
func (t *Table) Pulses() []Pulse {
	out := make([]Pulse, 0, len(t.pulses))
	for dc, p := range t.pulses {
		out = append(out, Pulse{DataCentre: dc, Count: p.count})
	}
	slices.SortFunc(out, func(a, b Pulse) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// lost reports whether nothing was heard of another data centre for long.
func (t *Table) lost(now clock.Millis, dc group.DataCentre) bool {
	return t.silent(now, dc) >= t.periods(t.set.LostAfter)
}

// silent is how long nothing was heard of another data centre.
func (t *Table) silent(now clock.Millis, dc group.DataCentre) clock.Millis {
	p, ok := t.pulses[dc]
	if !ok || dc == t.self.DataCentre {
		return 0
	}
	return now - p.heard
}
