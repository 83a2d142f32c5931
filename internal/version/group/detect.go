package group

import "github.com/cactusfork/cactusfork/pkg/clock"

// peerViewRounds is the number of ConfirmIntervals for which a peer's view stays valid.
const peerViewRounds = 4

func (m *Machine) handleProbeReply(e ProbeReply) {
	t := m.members[e.Target]
	if t == nil {
		return
	}
	wasDown := t.down
	m.addFenced(e.Target, e.Status)
	if !t.observe(e.RequestedAt, e.Status) {
		return
	}
	if wasDown && !t.down {
		m.report(ReportFalseAlarm, e.Target, m.primary.term, "answers again")
	}
}

func (m *Machine) handleRequestFailure(e RequestFailure) {
	t := m.members[e.Target]
	if t == nil {
		return
	}
	t.addFailure(e.RequestedAt, e.Cause)
}

func (m *Machine) handlePeerReply(e PeerReply) {
	t := m.members[e.Target]
	if t == nil || e.RequestedAt < t.peerViews[e.Daemon].requestedAt {
		return
	}
	if t.peerViews == nil {
		t.peerViews = map[DaemonID]peerView{}
	}
	t.peerViews[e.Daemon] = peerView{reachability: e.Reachability, requestedAt: e.RequestedAt}
}

// ReachabilityOf returns this daemon's own view of a target at time now, which answers the question of a peer.
func (m *Machine) ReachabilityOf(now clock.Millis, id TargetID) Reachability {
	t := m.members[id]
	if t == nil {
		return Unknown
	}
	if t.down || t.hardFailures > 0 {
		return Unreachable
	}
	maxAge := m.settings.ProbeInterval + m.settings.ProbeTimeout
	if t.known && t.failures == 0 && now-t.requestedAt <= maxAge {
		return Reachable
	}
	if t.failures > 0 && now-t.failingSince >= m.settings.SuspectAfter {
		return Unreachable
	}
	return Unknown
}

// detectFailures marks suspect targets as down and confirms the failure of a primary that is down.
func (m *Machine) detectFailures() {
	for _, t := range m.rec.Targets {
		m.suspectIfFailing(t.ID, m.members[t.ID])
	}
	t := m.members[m.primary.id]
	if t == nil || !t.down || t.confirmed {
		return
	}
	if m.failureConfirmed(t) {
		t.confirmed = true
		m.report(ReportConfirmed, m.primary.id, m.primary.term, "")
		return
	}
	if t.viewsRequestedAt == 0 || m.now-t.viewsRequestedAt >= m.settings.ConfirmInterval {
		t.viewsRequestedAt = m.now
		m.emit(RequestPeerViews{Target: m.primary.id})
	}
}

func (m *Machine) suspectIfFailing(id TargetID, t *member) {
	if t.down || t.failures < 2 {
		return
	}
	if t.hardFailures == 0 && m.now-t.failingSince < m.settings.SuspectAfter {
		return
	}
	t.down = true
	t.downSince = m.now
	t.viewsRequestedAt = 0
	m.report(ReportSuspected, id, m.primary.term, "")
}

// failureConfirmed reports whether the failure of the primary is confirmed, by most peer views or by replicas that have lost its stream.
// While peer views are balanced or absent, ConfirmAloneAfter without a reply also confirms it.
func (m *Machine) failureConfirmed(t *member) bool {
	unreachable, reachable := m.countPeerViews(t)
	if reachable > unreachable {
		return false
	}
	if unreachable > reachable {
		return true
	}
	if m.streamsLostSince(t.failingSince) {
		return true
	}
	return m.now-t.downSince >= m.settings.ConfirmAloneAfter
}

// countPeerViews counts the peers that do not reach the primary and those that do, by views that are recent and requested since it went down.
func (m *Machine) countPeerViews(t *member) (unreachable, reachable int) {
	for _, v := range t.peerViews {
		if v.requestedAt < t.downSince || m.now-v.requestedAt > peerViewRounds*m.settings.ConfirmInterval {
			continue
		}
		switch v.reachability {
		case Unreachable:
			unreachable++
		case Reachable:
			reachable++
		}
	}
	return unreachable, reachable
}

// streamsLostSince reports whether fewer than a majority remain with the primary, by status requests sent after since.
// A replica that no longer streams from the primary does not remain.
func (m *Machine) streamsLostSince(since clock.Millis) bool {
	remaining := len(m.rec.Targets)
	for _, t := range m.rec.Targets {
		o := m.members[t.ID]
		if t.ID != m.primary.id && o.up() && o.requestedAt > since && o.status.Following != m.primary.id {
			remaining--
		}
	}
	return remaining < m.rec.Majority()
}
