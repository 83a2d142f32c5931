package group

// addFenced stores the status of a target that has promised the term of the change to this daemon and follows no primary.
// From then on a replica receives no more log, so its received point is final.
func (m *Machine) addFenced(id TargetID, s Status) {
	c := m.change
	if c == nil || c.phase != fencing {
		return
	}
	if s.Promise != c.term || s.Holder != m.holder || s.Following != "" {
		return
	}
	c.fenced[id] = s
}

// fence orders all targets to promise the new term, then chooses a successor once enough of them have.
func (m *Machine) fence() {
	c := m.change
	for _, t := range m.rec.Targets {
		if _, ok := c.fenced[t.ID]; !ok && !c.rejectedBy[t.ID] {
			m.sendOrder(t.ID, Fence)
		}
	}
	best, ok := choose(m.rec, c.fenced, m.isLeaving)
	if !ok || best.ID == c.avoid {
		if m.now-c.since >= m.settings.PhaseTimeout {
			m.abandon("no majority fenced")
		}
		return
	}
	if c.majorityFencedAt == 0 {
		c.majorityFencedAt = m.now
		m.report(ReportFenced, best.ID, c.term, "")
	}
	if !m.allResponded() && m.now-c.majorityFencedAt < m.settings.StragglerWait {
		return
	}
	c.chosen = best
	m.report(ReportChosen, best.ID, c.term, c.fenced[best.ID].Received.String())
	m.startRecording()
}

func (m *Machine) isLeaving(id TargetID) bool { return m.members[id].leaving }

// allResponded reports whether every target that is up is either fenced or has promised the term to another holder.
func (m *Machine) allResponded() bool {
	for id, t := range m.members {
		_, ok := m.change.fenced[id]
		if !ok && t.up() && !m.change.rejectedBy[id] {
			return false
		}
	}
	return true
}

// promote orders the chosen target to become primary, until it reports that it is.
func (m *Machine) promote() {
	c := m.change
	if m.members[c.chosen.ID].down {
		m.abandon("the chosen target does not answer")
		return
	}
	if m.now-c.since >= m.settings.PhaseTimeout {
		m.abandon("the chosen target was not promoted")
		return
	}
	m.sendOrder(c.chosen.ID, Promote)
}
