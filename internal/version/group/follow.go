package group

// restoreFollowers orders the other targets to follow the primary where they do not.
func (m *Machine) restoreFollowers() {
	if m.change != nil || !m.primary.observed {
		return
	}
	for _, t := range m.rec.Targets {
		o := m.members[t.ID]
		if t.ID == m.primary.id || !m.mustFollow(o) {
			o.followPending = false
			continue
		}
		m.orderFollow(t.ID, o)
	}
}

// resetFollowDelays discards the delays drawn for the previous primary.
func (m *Machine) resetFollowDelays() {
	for _, t := range m.members {
		t.followPending = false
	}
}

// mustFollow reports whether a target should follow the primary but does not.
func (m *Machine) mustFollow(o *member) bool {
	if !o.up() || o.status.Promise > m.primary.term {
		return false
	}
	if o.status.Primary {
		return o.status.writeTerm() < m.primary.term
	}
	return o.status.Following != m.primary.id && m.primaryActive()
}

// orderFollow orders a target to follow the primary.
// The daemon that promoted the primary does so at once; the others wait FollowRetry plus jitter, in case that daemon fails.
func (m *Machine) orderFollow(id TargetID, o *member) {
	if !o.followPending {
		o.followPending = true
		o.followAt = m.now
		if m.promotedTerm != m.primary.term {
			o.followAt += m.settings.FollowRetry + m.jitter(m.settings.FollowRetry)
		}
	}
	if m.now < o.followAt {
		return
	}
	o.followAt = m.now + m.settings.FollowRetry + m.jitter(m.settings.FollowRetry)
	primaryTarget, _ := m.rec.Target(m.primary.id)
	order := Order{Kind: Follow, Term: m.primary.term, Holder: m.holderFor(o), Primary: primaryTarget}
	m.emit(SendOrder{Target: id, Order: order})
}

// holderFor returns the holder whose name makes the target accept an order of the primary's term.
// Any daemon may use it, as the primary of that term is already decided.
func (m *Machine) holderFor(o *member) DaemonID {
	primaryStatus := m.members[m.primary.id].status
	switch m.primary.term {
	case o.status.Promise:
		return o.status.Holder
	case primaryStatus.Promise:
		return primaryStatus.Holder
	}
	return m.holder
}
