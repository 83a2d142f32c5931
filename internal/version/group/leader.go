package group

import "github.com/cactusfork/cactusfork/pkg/position"

// leader is the primary of the highest term known to this daemon.
type leader struct {
	id   TargetID
	term position.Term
	// observed is true once the target has reported that it writes at term.
	observed bool
}

// updateLeader refreshes the known leader; its term never decreases.
func (m *Machine) updateLeader() {
	l := m.findLeader()
	if l.term < m.leader.term {
		l = m.leader
		l.observed = m.members[l.id] != nil && m.members[l.id].status.writeTerm() == l.term
	}
	if l.observed && (!m.leader.observed || l.term > m.leader.term) {
		m.trigger.attempts = 0
		m.report(ReportAdopted, l.id, l.term, "")
	}
	if l.id != m.leader.id || l.term != m.leader.term {
		m.stall = stall{majorityAt: m.now, progressAt: m.now}
		m.resetFollowDelays()
	}
	m.leader = l
}

func (m *Machine) findLeader() leader {
	best := leader{id: m.rec.Primary, term: m.rec.Term}
	for _, t := range m.rec.Targets {
		w := m.members[t.ID].status.writeTerm()
		if w == 0 || w < best.term {
			continue
		}
		if w > m.rec.Term && !m.promisedByMajority(w) {
			continue
		}
		if w > best.term || best.id == t.ID || best.id == "" {
			best = leader{id: t.ID, term: w, observed: true}
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

// leaderBlocked reports whether a majority has promised a term above the leader's, so that its writes cannot be acknowledged.
func (m *Machine) leaderBlocked() bool { return m.promisedByMajority(m.leader.term + 1) }

// leaderActive reports whether the leader answers as the primary of its term.
func (m *Machine) leaderActive() bool {
	t := m.members[m.leader.id]
	return t != nil && t.up() && t.status.writeTerm() == m.leader.term
}
