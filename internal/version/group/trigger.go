package group

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// cause is the reason for a change of primary.
type cause string

const (
	causeNone       cause = ""
	causeFailed     cause = "primary failed"
	causeCutOff     cause = "primary cut off from its replicas"
	causeUnfinished cause = "change left unfinished"
	causeLeaving    cause = "primary is leaving"
)

// trigger delays the start of a change so that one daemon acts first, and increases the delay between attempts.
type trigger struct {
	cause            cause
	lastPromise      position.Term
	lastRecordedTerm position.Term
	// startAt is when the cause has lasted long enough, and retryAt the end of the backoff; a change waits for both.
	startAt clock.Millis
	retryAt clock.Millis
	// attempts counts the changes abandoned since the last time that a primary was adopted.
	attempts int
}

// startChangeIfDue starts a change once its cause has lasted long enough.
func (m *Machine) startChangeIfDue() {
	if m.change != nil {
		return
	}
	c := m.findCause()
	p := m.highestPromise()
	if c != m.trigger.cause || p > m.trigger.lastPromise || m.rec.Term > m.trigger.lastRecordedTerm {
		m.trigger.startAt = m.now + m.startDelay(c)
	}
	m.trigger.cause, m.trigger.lastPromise, m.trigger.lastRecordedTerm = c, p, m.rec.Term
	if c == causeNone {
		return
	}
	if !m.enoughTargetsUp(c) {
		// When a network partition ends, a daemon hears from the targets one by one; the primary may be the last.
		m.trigger.startAt = max(m.trigger.startAt, m.now+m.settings.SuspectAfter)
		return
	}
	if m.now >= m.trigger.startAt && m.now >= m.trigger.retryAt {
		m.startChange(c)
	}
}

func (m *Machine) findCause() cause {
	t := m.members[m.primary.id]
	switch {
	case t == nil, m.primarySuperseded():
		return causeUnfinished
	case t.confirmed:
		return causeFailed
	case t.up() && !m.primaryActive():
		return causeUnfinished
	case m.stall.cutOff:
		return causeCutOff
	case t.leaving && m.primaryActive() && m.hasSuccessor():
		return causeLeaving
	}
	return causeNone
}

// primarySuperseded reports whether a target that is up has promised a term above the primary's.
func (m *Machine) primarySuperseded() bool {
	for _, t := range m.members {
		if t.up() && t.status.Promise > m.primary.term {
			return true
		}
	}
	return false
}

// hasSuccessor reports whether a target that is up and not leaving follows the primary.
func (m *Machine) hasSuccessor() bool {
	for id, t := range m.members {
		if id != m.primary.id && t.up() && !t.leaving && t.status.Following == m.primary.id {
			return true
		}
	}
	return false
}

// startDelay returns how long a cause must last before a change starts, so that a change by another daemon has time to finish.
func (m *Machine) startDelay(c cause) clock.Millis {
	switch {
	case c == causeLeaving, c == causeUnfinished && !m.ownsHighestTerm():
		return m.settings.PhaseTimeout + m.jitter(m.settings.PhaseTimeout)
	case c == causeUnfinished:
		return 0
	}
	return m.jitter(m.settings.Stagger)
}

// ownsHighestTerm reports whether the highest known term belongs to a change of this daemon.
// That is the case if its change recorded the term, or if the record is older and a target has promised the term to this daemon.
func (m *Machine) ownsHighestTerm() bool {
	p := m.highestPromise()
	if m.rec.Term >= p {
		return m.majorityTerm == m.rec.Term
	}
	for _, t := range m.members {
		if t.status.Promise == p && t.status.Holder == m.holder {
			return true
		}
	}
	return false
}

// enoughTargetsUp reports whether enough targets are up for a change to complete.
func (m *Machine) enoughTargetsUp(c cause) bool {
	n := m.othersUp()
	t := m.members[m.primary.id]
	switch {
	case c == causeCutOff, c == causeLeaving:
		n = m.replicasUp()
	case t != nil && t.up():
		n++
	}
	return n >= m.rec.Majority()
}
