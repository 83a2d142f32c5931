package group

import (
	"fmt"
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Machine is one daemon's state machine for one group; it is not safe for concurrent use.
type Machine struct {
	// holder is unique to this run of the daemon, so that a promise given to an earlier run does not count.
	holder   DaemonID
	settings Settings
	rnd      func() float64
	now      clock.Millis
	rec      Record
	version  uint64
	members  map[TargetID]*member
	primary  knownPrimary
	stall    stall
	change   *change
	trigger  trigger
	repair   repair
	// startedTerm is the term of the last change started here, majorityTerm of the last change that fenced a majority,
	// and promotedTerm of the last change that promoted its target.
	startedTerm  position.Term
	majorityTerm position.Term
	promotedTerm position.Term
	actions      []Action
}

// New returns the Machine of daemon self for the group of rec; rnd returns numbers in [0, 1) and must differ between two runs of a daemon.
func New(self DaemonID, rec Record, settings Settings, rnd func() float64) *Machine {
	run := uint32(rnd() * (1 << 32))
	m := &Machine{
		holder:   DaemonID(fmt.Sprintf("%s.%08x", self, run)),
		settings: settings.withDefaults(),
		rnd:      rnd,
		members:  map[TargetID]*member{},
	}
	m.setRecord(rec)
	m.primary = m.findPrimary()
	return m
}

// Step processes event e at time now and returns the actions to carry out.
func (m *Machine) Step(now clock.Millis, e Event) []Action {
	m.advanceClock(now)
	m.handle(e)
	m.evaluate()
	actions := m.actions
	m.actions = nil
	return actions
}

// advanceClock sets the time and clears the recorded failures if this daemon itself was paused for SuspectAfter or longer.
func (m *Machine) advanceClock(now clock.Millis) {
	paused := m.now > 0 && now-m.now >= m.settings.SuspectAfter
	m.now = max(m.now, now)
	if !paused {
		return
	}
	for _, t := range m.members {
		t.clearFailures(m.now)
	}
	m.stall.majorityAt = m.now
}

func (m *Machine) handle(e Event) {
	switch e := e.(type) {
	case ProbeReply:
		m.handleProbeReply(e)
	case RequestFailure:
		m.handleRequestFailure(e)
	case PeerReply:
		m.handlePeerReply(e)
	case RecordUpdate:
		m.handleRecordUpdate(e)
	case PutResult:
		m.handlePutResult(e)
	case OrderResult:
		m.handleOrderResult(e)
	case LeavingUpdate:
		if t := m.members[e.Target]; t != nil {
			t.leaving = e.Leaving
		}
	}
}

func (m *Machine) evaluate() {
	m.updatePrimary()
	m.detectFailures()
	m.checkReplication()
	m.continueChange()
	m.startChangeIfDue()
	m.restoreFollowers()
	m.repairRecord()
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) report(k ReportKind, t TargetID, term position.Term, detail string) {
	m.emit(Report{Kind: k, Target: t, Term: term, Detail: detail})
}

// jitter returns a random delay below d.
func (m *Machine) jitter(d clock.Millis) clock.Millis {
	return clock.Millis(m.rnd() * float64(d))
}

// setRecord replaces the known record and keeps the state of the targets that remain members.
func (m *Machine) setRecord(rec Record) {
	rec.Targets = slices.Clone(rec.Targets)
	m.rec = rec
	members := make(map[TargetID]*member, len(rec.Targets))
	for _, t := range rec.Targets {
		members[t.ID] = m.members[t.ID]
		if members[t.ID] == nil {
			members[t.ID] = &member{}
		}
	}
	m.members = members
}

// highestPromise returns the highest term that any target is known to have promised.
func (m *Machine) highestPromise() position.Term {
	var p position.Term
	for _, t := range m.members {
		p = max(p, t.status.Promise)
	}
	return p
}
