package group

// restoreFollowers has the other targets follow the leader.
func (m *Machine) restoreFollowers() {
	if m.change != nil || !m.leader.observed {
		return
	}
	for _, t := range m.rec.Targets {
		o := m.members[t.ID]
		if t.ID == m.leader.id || !m.mustFollow(o) {
			o.followPending = false
			continue
		}
		m.orderFollow(t.ID, o)
	}
}

// resetFollowDelays drops the delays that were drawn for another leader.
func (m *Machine) resetFollowDelays() {
	for _, t := range m.members {
		t.followPending = false
	}
}

// mustFollow reports whether a target should be following the leader and is not.
func (m *Machine) mustFollow(o *member) bool {
	if !o.up() || o.status.Promise > m.leader.term {
		return false
	}
	if o.status.Primary {
		return o.status.writeTerm() < m.leader.term
	}
	return o.status.Following != m.leader.id && m.leaderActive()
}

// orderFollow orders a target to follow: the promoter at once, the other daemons should that have come to nothing.
func (m *Machine) orderFollow(id TargetID, o *member) {
	if !o.followPending {
		o.followPending = true
		o.followAt = m.now
		if m.promotedTerm != m.leader.term {
			o.followAt += m.settings.FollowRetry + m.jitter(m.settings.FollowRetry)
		}
	}
	if m.now < o.followAt {
		return
	}
	o.followAt = m.now + m.settings.FollowRetry + m.jitter(m.settings.FollowRetry)
	primary, _ := m.rec.Target(m.leader.id)
	order := Order{Kind: Follow, Term: m.leader.term, Holder: m.holderFor(o), Primary: primary}
	m.emit(SendOrder{Target: id, Order: order})
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
