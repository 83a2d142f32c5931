package group

import "github.com/cactusfork/cactusfork/pkg/position"

// knownPrimary is the primary of the highest term known to this daemon.
type knownPrimary struct {
	id   TargetID
	term position.Term
	// observed is true once the target has reported that it writes at term.
	observed bool
}

// updatePrimary refreshes the known primary; its term never decreases.
func (m *Machine) updatePrimary() {
	p := m.findPrimary()
	if p.term < m.primary.term {
		p = m.primary
		p.observed = m.members[p.id] != nil && m.members[p.id].status.writeTerm() == p.term
	}
	if p.observed && (!m.primary.observed || p.term > m.primary.term) {
		m.trigger.attempts = 0
		m.report(ReportAdopted, p.id, p.term, "")
	}
	if p.id != m.primary.id || p.term != m.primary.term {
		m.stall = stall{majorityAt: m.now, progressAt: m.now}
		m.resetFollowDelays()
	}
	m.primary = p
}

func (m *Machine) findPrimary() knownPrimary {
	best := knownPrimary{id: m.rec.Primary, term: m.rec.Term}
	for _, t := range m.rec.Targets {
		w := m.members[t.ID].status.writeTerm()
		if w == 0 || w < best.term {
			continue
		}
		if w > m.rec.Term && !m.promisedByMajority(w) {
			continue
		}
		if w > best.term || best.id == t.ID || best.id == "" {
			best = knownPrimary{id: t.ID, term: w, observed: true}
		}
	}
	return best
}

// promisedByMajority reports whether a majority has promised at least term; without that, no target can be primary at it.
func (m *Machine) promisedByMajority(term position.Term) bool {
	n := 0
	for _, t := range m.members {
		if t.status.Promise >= term {
			n++
		}
	}
	return n >= m.rec.Majority()
}

// primaryBlocked reports whether a majority has promised a term above the primary's, so that its writes cannot be acknowledged.
func (m *Machine) primaryBlocked() bool { return m.promisedByMajority(m.primary.term + 1) }

// primaryActive reports whether the known primary answers as the primary of its term.
func (m *Machine) primaryActive() bool {
	t := m.members[m.primary.id]
	return t != nil && t.up() && t.status.writeTerm() == m.primary.term
}
