package group

import (
	"fmt"
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Machine is one daemon's state of one group; it is not safe for concurrent use.
type Machine struct {
	// holder is unique to this run, so that no promise given to an earlier run counts.
	holder  DaemonID
	s       Settings
	rnd     func() float64
	now     clock.Millis
	rec     Record
	version uint64
	members map[TargetID]*member
	leader  leader
	stall   stall
	change  *change
	trigger trigger
	repair  repair
	// lastTerm is the term of the last change begun here, chosenTerm of the last to win a majority, promotedTerm of the last completed.
	lastTerm     position.Term
	chosenTerm   position.Term
	promotedTerm position.Term
	out          []Action
}

// New returns the machine of daemon self for the group of rec; rnd draws from [0, 1) and must differ between two runs of a daemon.
func New(self DaemonID, rec Record, s Settings, rnd func() float64) *Machine {
	run := uint32(rnd() * (1 << 32))
	m := &Machine{
		holder:  DaemonID(fmt.Sprintf("%s.%08x", self, run)),
		s:       s.withDefaults(),
		rnd:     rnd,
		members: map[TargetID]*member{},
	}
	m.adopt(rec)
	m.leader = m.findLeader()
	return m
}

// Step takes in what was learnt at now and returns what is to be done.
func (m *Machine) Step(now clock.Millis, e Event) []Action {
	m.passTime(now)
	m.take(e)
	m.advance()
	out := m.out
	m.out = nil
	return out
}

// passTime drops the evidence against targets when this daemon itself stood still.
func (m *Machine) passTime(now clock.Millis) {
	paused := m.now > 0 && now-m.now >= m.s.SuspectAfter
	m.now = max(m.now, now)
	if !paused {
		return
	}
	for _, t := range m.members {
		t.forgive(m.now)
	}
	m.stall.since = m.now
}

func (m *Machine) take(e Event) {
	switch e := e.(type) {
	case Answered:
		m.answered(e)
	case Failed:
		m.failed(e)
	case PeerViewed:
		m.peerViewed(e)
	case Recorded:
		m.recorded(e)
	case PutDone:
		m.putDone(e)
	case Ordered:
		m.ordered(e)
	case Left:
		if t := m.members[e.Target]; t != nil {
			t.leaving = e.Leaving
		}
	}
}

func (m *Machine) advance() {
	m.lead()
	m.confirm()
	m.watchStreams()
	m.drive()
	m.begin()
	m.follow()
	m.repairRecord()
}

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

func (m *Machine) report(k ReportKind, t TargetID, term position.Term, detail string) {
	m.do(Report{Kind: k, Target: t, Term: term, Detail: detail})
}

// jitter draws a delay below d.
func (m *Machine) jitter(d clock.Millis) clock.Millis {
	return clock.Millis(m.rnd() * float64(d))
}

// adopt makes rec the known record and keeps what is known of its targets.
func (m *Machine) adopt(rec Record) {
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

// highestPromise is the highest term that any target is known to have promised.
func (m *Machine) highestPromise() position.Term {
	var p position.Term
	for _, t := range m.members {
		p = max(p, t.status.Promise)
	}
	return p
}
