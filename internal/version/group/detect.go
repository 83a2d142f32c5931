package group

import "github.com/cactusfork/cactusfork/pkg/clock"

// viewRounds is for how many rounds of asking a peer's view counts.
const viewRounds = 4

func (m *Machine) answered(e Answered) {
	t := m.members[e.Target]
	if t == nil {
		return
	}
	wasDown := t.down
	m.noteFenced(e.Target, e.Status)
	if !t.observe(e.AskedAt, e.Status) {
		return
	}
	if wasDown && !t.down {
		m.report(ReportFalseAlarm, e.Target, m.leader.term, "answers again")
	}
}

func (m *Machine) failed(e Failed) {
	t := m.members[e.Target]
	if t == nil {
		return
	}
	t.fail(e.AskedAt, e.Cause)
}

func (m *Machine) peerViewed(e PeerViewed) {
	t := m.members[e.Target]
	if t == nil || e.AskedAt < t.views[e.Daemon].askedAt {
		return
	}
	if t.views == nil {
		t.views = map[DaemonID]peerView{}
	}
	t.views[e.Daemon] = peerView{answer: e.Reachable, askedAt: e.AskedAt}
}

// Reach is this daemon's own view of a target at now, for peers that ask.
func (m *Machine) Reach(now clock.Millis, id TargetID) ViewAnswer {
	t := m.members[id]
	if t == nil {
		return Unknown
	}
	if t.down || t.hard > 0 {
		return Unreachable
	}
	fresh := m.s.ProbeInterval + m.s.ProbeTimeout
	if t.known && t.failing == 0 && now-t.askedAt <= fresh {
		return Reachable
	}
	if t.failing > 0 && now-t.failSince >= m.s.SuspectAfter {
		return Unreachable
	}
	return Unknown
}

// confirm finds suspects and, for the leader, a second view.
func (m *Machine) confirm() {
	for _, t := range m.rec.Targets {
		m.suspect(t.ID, m.members[t.ID])
	}
	t := m.members[m.leader.id]
	if t == nil || !t.down || t.confirmed {
		return
	}
	if m.agreed(t) {
		t.confirmed = true
		m.report(ReportConfirmed, m.leader.id, m.leader.term, "")
		return
	}
	if t.peersAt == 0 || m.now-t.peersAt >= m.s.ConfirmTimeout {
		t.peersAt = m.now
		m.do(AskPeers{Target: m.leader.id})
	}
}

func (m *Machine) suspect(id TargetID, t *member) {
	if t.down || t.failing < 2 {
		return
	}
	if t.hard == 0 && m.now-t.failSince < m.s.SuspectAfter {
		return
	}
	t.down = true
	t.downSince = m.now
	t.peersAt = 0
	m.report(ReportSuspected, id, m.leader.term, "")
}

// agreed reports whether the leader's failure is seen from a second place.
func (m *Machine) agreed(t *member) bool {
	against, of := m.tally(t)
	if of > against {
		return false
	}
	if against > of {
		return true
	}
	if m.desertedSince(t.failSince) {
		return true
	}
	return m.now-t.downSince >= m.s.AloneAfter
}

// tally counts the peers that do not and that do reach the leader.
func (m *Machine) tally(t *member) (against, reach int) {
	for _, v := range t.views {
		if v.askedAt < t.downSince || m.now-v.askedAt > viewRounds*m.s.ConfirmTimeout {
			continue
		}
		switch v.answer {
		case Unreachable:
			against++
		case Reachable:
			reach++
		}
	}
	return against, reach
}

// desertedSince reports whether so many targets have lost the leader's stream, asked after since, that no majority is left.
func (m *Machine) desertedSince(since clock.Millis) bool {
	left := len(m.rec.Targets)
	for _, t := range m.rec.Targets {
		o := m.members[t.ID]
		if t.ID != m.leader.id && o.up() && o.askedAt > since && o.status.Following != m.leader.id {
			left--
		}
	}
	return left < m.rec.Majority()
}
