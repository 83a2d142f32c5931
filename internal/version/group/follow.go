package group

// follow has the other targets follow the leader.
func (m *Machine) follow() {
	if m.change != nil || !m.leader.seen {
		return
	}
	for _, t := range m.rec.Targets {
		o := m.members[t.ID]
		if t.ID == m.leader.id || !m.strays(o) {
			o.loose = false
			continue
		}
		m.bringBack(t.ID, o)
	}
}

// forgetStrays drops the delays that were drawn for another leader.
func (m *Machine) forgetStrays() {
	for _, t := range m.members {
		t.loose = false
	}
}

// strays reports whether a target should be following the leader and is not.
func (m *Machine) strays(o *member) bool {
	if !o.up() || o.status.Promise > m.leader.term {
		return false
	}
	if o.status.Primary {
		return o.status.writes() < m.leader.term
	}
	return o.status.Following != m.leader.id && m.leads()
}

// bringBack orders a target to follow: the promoter at once, the other daemons should that have come to nothing.
func (m *Machine) bringBack(id TargetID, o *member) {
	if !o.loose {
		o.loose = true
		o.followDue = m.now
		if m.promotedTerm != m.leader.term {
			o.followDue += m.s.FollowRetry + m.jitter(m.s.FollowRetry)
		}
	}
	if m.now < o.followDue {
		return
	}
	o.followDue = m.now + m.s.FollowRetry + m.jitter(m.s.FollowRetry)
	primary, _ := m.rec.Target(m.leader.id)
	order := Order{Kind: Follow, Term: m.leader.term, Holder: m.holderFor(o), Primary: primary}
	m.do(SendOrder{Target: id, Order: order})
}

// holderFor is the holder in whose name a target takes an order of the leader's term: which primary that term has is settled, whoever tells.
func (m *Machine) holderFor(o *member) DaemonID {
	l := m.members[m.leader.id].status
	switch m.leader.term {
	case o.status.Promise:
		return o.status.Holder
	case l.Promise:
		return l.Holder
	}
	return m.holder
}
