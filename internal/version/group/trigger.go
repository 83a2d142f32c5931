package group

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// cause is why the group needs another primary.
type cause string

const (
	causeNone       cause = ""
	causeFailed     cause = "primary failed"
	causeCutOff     cause = "primary cut off from its replicas"
	causeUnfinished cause = "change left unfinished"
	causeLeaving    cause = "primary is leaving"
)

// trigger delays a change so that one daemon is first, and later attempts further apart.
type trigger struct {
	cause    cause
	promise  position.Term
	recorded position.Term
	due      clock.Millis
	nextTry  clock.Millis
	attempts int
}

// begin starts a change once its cause has lasted long enough.
func (m *Machine) begin() {
	if m.change != nil {
		return
	}
	c := m.findCause()
	p := m.highestPromise()
	if c != m.trigger.cause || p > m.trigger.promise || m.rec.Term > m.trigger.recorded {
		m.trigger.due = m.now + m.patience(c)
	}
	m.trigger.cause, m.trigger.promise, m.trigger.recorded = c, p, m.rec.Term
	if c == causeNone {
		return
	}
	if !m.fenceable(c) {
		// Who is cut off hears from the targets one by one when the way is open again; the primary may be the last.
		m.trigger.due = max(m.trigger.due, m.now+m.s.SuspectAfter)
		return
	}
	if m.now >= m.trigger.due && m.now >= m.trigger.nextTry {
		m.startChange(c)
	}
}

func (m *Machine) findCause() cause {
	t := m.members[m.leader.id]
	switch {
	case t == nil, m.outgrown():
		return causeUnfinished
	case t.confirmed:
		return causeFailed
	case t.up() && !m.leads():
		return causeUnfinished
	case m.stall.cutOff:
		return causeCutOff
	case t.leaving && m.leads() && m.successor():
		return causeLeaving
	}
	return causeNone
}

// outgrown reports whether a target that answers has promised a term above the leader's.
func (m *Machine) outgrown() bool {
	for _, t := range m.members {
		if t.up() && t.status.Promise > m.leader.term {
			return true
		}
	}
	return false
}

// successor reports whether a target that stays follows the leader.
func (m *Machine) successor() bool {
	for id, t := range m.members {
		if id != m.leader.id && t.up() && !t.leaving && t.status.Following == m.leader.id {
			return true
		}
	}
	return false
}

// patience is how long a cause must last: another daemon's change under way gets the time to finish.
func (m *Machine) patience(c cause) clock.Millis {
	switch {
	case c == causeLeaving, c == causeUnfinished && !m.mine():
		return m.s.StepTimeout + m.jitter(m.s.StepTimeout)
	case c == causeUnfinished:
		return 0
	}
	return m.jitter(m.s.Stagger)
}

// mine reports whether the highest term that is known was this daemon's to fill: recorded by its change, or promised to it where the record is older.
func (m *Machine) mine() bool {
	p := m.highestPromise()
	if m.rec.Term >= p {
		return m.chosenTerm == m.rec.Term
	}
	for _, t := range m.members {
		if t.status.Promise == p && t.status.Holder == m.holder {
			return true
		}
	}
	return false
}

// fenceable reports whether enough targets answer for a change to come to an end.
func (m *Machine) fenceable(c cause) bool {
	n := m.othersUp()
	t := m.members[m.leader.id]
	switch {
	case c == causeCutOff, c == causeLeaving:
		n = m.replicasUp()
	case t != nil && t.up():
		n++
	}
	return n >= m.rec.Majority()
}
