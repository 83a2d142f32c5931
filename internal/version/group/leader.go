package group

import "github.com/cactusfork/cactusfork/pkg/position"

// leader is the primary of the highest term that this daemon knows of.
type leader struct {
	id   TargetID
	term position.Term
	// seen is true once the target has said that it writes at term.
	seen bool
}

// lead brings the known leader up to date; its term never falls.
func (m *Machine) lead() {
	l := m.findLeader()
	if l.term < m.leader.term {
		l = m.leader
		l.seen = m.members[l.id] != nil && m.members[l.id].status.writes() == l.term
	}
	if l.seen && (!m.leader.seen || l.term > m.leader.term) {
		m.trigger.attempts = 0
		m.report(ReportAdopted, l.id, l.term, "")
	}
	if l.id != m.leader.id || l.term != m.leader.term {
		m.stall = stall{since: m.now, moved: m.now}
		m.forgetStrays()
	}
	m.leader = l
}

func (m *Machine) findLeader() leader {
	best := leader{id: m.rec.Primary, term: m.rec.Term}
	for _, t := range m.rec.Targets {
		w := m.members[t.ID].status.writes()
		if w == 0 || w < best.term {
			continue
		}
		if w > m.rec.Term && !m.backed(w) {
			continue
		}
		if w > best.term || best.id == t.ID || best.id == "" {
			best = leader{id: t.ID, term: w, seen: true}
		}
	}
	return best
}

// backed reports whether a majority has promised at least term, without which nobody can have been promoted at it.
func (m *Machine) backed(term position.Term) bool {
	n := 0
	for _, t := range m.members {
		if t.status.Promise >= term {
			n++
		}
	}
	return n >= m.rec.Majority()
}

// blocked reports whether a majority has promised a term above the leader's, so that its writes cannot be acknowledged.
func (m *Machine) blocked() bool { return m.backed(m.leader.term + 1) }

// leads reports whether the leader answers as the primary of its term.
func (m *Machine) leads() bool {
	t := m.members[m.leader.id]
	return t != nil && t.up() && t.status.writes() == m.leader.term
}
