package group

import "github.com/cactusfork/cactusfork/pkg/clock"

// repair is when the platform's record is next brought up to date.
type repair struct{ due clock.Millis }

// record writes the outcome of the change, conditional on the version that is known.
func (m *Machine) record() {
	m.chosenTerm = m.change.term
	m.enter(recording)
	m.putChosen()
}

func (m *Machine) putChosen() {
	rec := m.rec
	rec.Term = m.change.term
	rec.Primary = m.change.chosen.ID
	m.change.settling = false
	m.do(PutRecord{Record: rec, IfVersion: m.version})
}

// awaitRecord goes on without the platform once it has had its time, as the promises of a majority exclude every other holder.
func (m *Machine) awaitRecord() {
	if m.change.owns(m.rec) {
		m.report(ReportRecorded, m.change.chosen.ID, m.change.term, "")
		m.startPromotion()
		return
	}
	if m.now-m.change.since >= m.s.PlatformWait {
		m.report(ReportUnrecorded, m.change.chosen.ID, m.change.term, "")
		m.startPromotion()
	}
}

func (m *Machine) startPromotion() {
	m.enter(promoting)
	m.promote()
}

// recorded takes in the platform's object; a lower version or term is never gone back to.
func (m *Machine) recorded(e Recorded) {
	if e.Version < m.version {
		return
	}
	if e.Version > m.version {
		m.learn(e.Record, e.Version)
	}
	c := m.change
	if c != nil && c.phase == recording && c.settling && m.rec.Term < c.term {
		m.putChosen()
	}
}

func (m *Machine) learn(rec Record, version uint64) {
	m.version = version
	if rec.Term < m.rec.Term {
		return
	}
	if m.change != nil && !sameTargets(rec, m.rec) {
		m.abandon("the members have changed")
	}
	m.adopt(rec)
}

func (m *Machine) putDone(e PutDone) {
	c := m.change
	ours := c != nil && c.phase == recording && c.owns(e.Record)
	switch e.Outcome {
	case PutOK:
		if e.Version > m.version {
			m.learn(e.Record, e.Version)
		}
	case PutConflict, PutUnknown:
		m.do(ReadRecord{})
		if ours {
			c.settling = true
			return
		}
		m.repair.due = min(m.repair.due, m.now+m.s.BackoffMin+m.jitter(m.s.BackoffMin))
	}
}

// repairRecord writes a primary that took over while the platform was down into the record; any daemon may, as it is a fact.
func (m *Machine) repairRecord() {
	if m.change != nil || !m.leads() || m.leader.term <= m.rec.Term {
		m.repair.due = 0
		return
	}
	if m.repair.due == 0 {
		m.repair.due = m.now + m.firstRepair()
	}
	if m.now < m.repair.due {
		return
	}
	m.repair.due = m.now + m.s.RecordRetry + m.jitter(m.s.RecordRetry)
	rec := m.rec
	rec.Term, rec.Primary = m.leader.term, m.leader.id
	m.do(PutRecord{Record: rec, IfVersion: m.version})
}

func (m *Machine) firstRepair() clock.Millis {
	if m.promotedTerm == m.leader.term {
		return m.s.BackoffMin
	}
	return m.s.RecordRetry + m.jitter(m.s.RecordRetry)
}
