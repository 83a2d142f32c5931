package peer

import (
	"cmp"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// advancePulse increments the pulse of this daemon's data centre.
func (t *Table) advancePulse(now clock.Millis) {
	p := t.pulse(now, t.self.DataCentre)
	p.count++
	p.advancedAt = now
}

// pulse returns the pulse of a data centre and adds it if it is unknown.
func (t *Table) pulse(now clock.Millis, dc group.DataCentre) *pulse {
	p, ok := t.pulses[dc]
	if !ok {
		p = &pulse{advancedAt: now}
		t.pulses[dc] = p
	}
	return p
}

// MergePulses merges the pulses that another daemon sent. A higher count shows that the data centre was alive after the known count.
func (t *Table) MergePulses(now clock.Millis, received []Pulse) {
	for _, s := range received {
		p := t.pulse(now, s.DataCentre)
		if s.Count > p.count {
			p.count = s.Count
			p.advancedAt = now
		}
	}
}

// Pulses returns the highest known pulse of each data centre, sorted by name.
func (t *Table) Pulses() []Pulse {
	out := make([]Pulse, 0, len(t.pulses))
	for dc, p := range t.pulses {
		out = append(out, Pulse{DataCentre: dc, Count: p.count})
	}
	slices.SortFunc(out, func(a, b Pulse) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// lost reports whether the pulse of another data centre has not advanced for LostAfter periods.
func (t *Table) lost(now clock.Millis, dc group.DataCentre) bool {
	return t.silence(now, dc) >= t.periods(t.set.LostAfter)
}

// silence returns the time since the pulse of another data centre advanced. It is 0 for this daemon's data centre and for unknown ones.
func (t *Table) silence(now clock.Millis, dc group.DataCentre) clock.Millis {
	p, ok := t.pulses[dc]
	if !ok || dc == t.self.DataCentre {
		return 0
	}
	return now - p.advancedAt
}
