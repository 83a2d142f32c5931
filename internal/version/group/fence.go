package group

// addFenced keeps the status of a target that has promised the term of the change under way to this daemon and follows nobody; what a replica then holds is final.
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

// fence orders all targets to promise the new term until enough have.
func (m *Machine) fence() {
	c := m.change
	for _, t := range m.rec.Targets {
		if _, ok := c.fenced[t.ID]; !ok && !c.rejectedBy[t.ID] {
			m.sendOrder(t.ID, Fence)
		}
	}
	best, ok := choose(m.rec, c.fenced, m.isLeaving)
	if !ok || best.ID == c.avoid {
		if m.now-c.since >= m.settings.StepTimeout {
			m.abandon("no majority fenced")
		}
		return
	}
	if c.majorityFencedAt == 0 {
		c.majorityFencedAt = m.now
		m.report(ReportFenced, best.ID, c.term, "")
	}
	if !m.allResponded() && m.now-c.majorityFencedAt < m.settings.ThirdWait {
		return
	}
	c.chosen = best
	m.report(ReportChosen, best.ID, c.term, c.fenced[best.ID].Received.String())
	m.startRecording()
}

func (m *Machine) isLeaving(id TargetID) bool { return m.members[id].leaving }

// allResponded reports whether no target that answers is still to be heard.
func (m *Machine) allResponded() bool {
	for id, t := range m.members {
		_, ok := m.change.fenced[id]
		if !ok && t.up() && !m.change.rejectedBy[id] {
			return false
		}
	}
	return true
}

// promote orders the chosen target to be primary until it says that it is.
func (m *Machine) promote() {
	c := m.change
	if m.members[c.chosen.ID].down {
		m.abandon("the chosen target does not answer")
		return
	}
	if m.now-c.since >= m.settings.StepTimeout {
		m.abandon("the chosen target was not promoted")
		return
	}
	m.sendOrder(c.chosen.ID, Promote)
}
