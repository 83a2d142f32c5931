package group

import "github.com/cactusfork/cactusfork/pkg/clock"

// repair schedules the next update of an outdated stored record; nextAt is 0 while none is due.
type repair struct{ nextAt clock.Millis }

// startRecording starts the write of the outcome, conditional on the known version.
func (m *Machine) startRecording() {
	m.majorityTerm = m.change.term
	m.enterPhase(recording)
	m.putRecord()
}

func (m *Machine) putRecord() {
	rec := m.rec
	rec.Term = m.change.term
	rec.Primary = m.change.chosen.ID
	m.change.awaitingRead = false
	m.emit(PutRecord{Record: rec, IfVersion: m.version})
}

// awaitRecord starts the promotion once the record is stored, or after PlatformWait without it.
// That is safe, as the promises of a majority exclude every other holder.
func (m *Machine) awaitRecord() {
	if m.change.owns(m.rec) {
		m.report(ReportRecorded, m.change.chosen.ID, m.change.term, "")
		m.startPromotion()
		return
	}
	if m.now-m.change.since >= m.settings.PlatformWait {
		m.report(ReportUnrecorded, m.change.chosen.ID, m.change.term, "")
		m.startPromotion()
	}
}

func (m *Machine) startPromotion() {
	m.enterPhase(promoting)
	m.promote()
}

// handleRecordUpdate accepts the group's stored object. It ignores an object of a lower version, and keeps only the version of one with a lower term.
func (m *Machine) handleRecordUpdate(e RecordUpdate) {
	if e.Version < m.version {
		return
	}
	if e.Version > m.version {
		m.acceptRecord(e.Record, e.Version)
	}
	c := m.change
	if c != nil && c.phase == recording && c.awaitingRead && m.rec.Term < c.term {
		m.putRecord()
	}
}

func (m *Machine) acceptRecord(rec Record, version uint64) {
	m.version = version
	if rec.Term < m.rec.Term {
		return
	}
	if m.change != nil && !sameTargets(rec, m.rec) {
		m.abandon("the members have changed")
	}
	m.setRecord(rec)
}

func (m *Machine) handlePutResult(e PutResult) {
	c := m.change
	own := c != nil && c.phase == recording && c.owns(e.Record)
	switch e.Outcome {
	case PutOK:
		if e.Version > m.version {
			m.acceptRecord(e.Record, e.Version)
		}
	case PutConflict, PutUnknown:
		m.emit(ReadRecord{})
		if own {
			c.awaitingRead = true
			return
		}
		m.repair.nextAt = min(m.repair.nextAt, m.now+m.settings.BackoffMin+m.jitter(m.settings.BackoffMin))
	}
}

// repairRecord stores a primary that took over while the platform was down. Any daemon may do so, as that primary is already decided.
func (m *Machine) repairRecord() {
	if m.change != nil || !m.primaryActive() || m.primary.term <= m.rec.Term {
		m.repair.nextAt = 0
		return
	}
	if m.repair.nextAt == 0 {
		m.repair.nextAt = m.now + m.firstRepairDelay()
	}
	if m.now < m.repair.nextAt {
		return
	}
	m.repair.nextAt = m.now + m.settings.RecordRetry + m.jitter(m.settings.RecordRetry)
	rec := m.rec
	rec.Term, rec.Primary = m.primary.term, m.primary.id
	m.emit(PutRecord{Record: rec, IfVersion: m.version})
}

func (m *Machine) firstRepairDelay() clock.Millis {
	if m.promotedTerm == m.primary.term {
		return m.settings.BackoffMin
	}
	return m.settings.RecordRetry + m.jitter(m.settings.RecordRetry)
}
