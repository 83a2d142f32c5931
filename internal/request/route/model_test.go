package route

import (
	"fmt"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// none stands for no target and for no write.
const none = -1

// logEntry is a log record of the model; writeID is none for the record that opens a term.
type logEntry struct {
	term    position.Term
	writeID int
}

// modelTarget simulates one target. A fenced target promises the term at once, but its replication stream stops only some steps later.
type modelTarget struct {
	log            []logEntry
	applied        int
	promise        position.Term
	holder         group.DaemonID
	primary        bool
	following      int
	streamStopping bool
}

// primaryChange is a change of primary that is under way.
type primaryChange struct {
	term   position.Term
	holder group.DaemonID
	fenced map[int]position.Point
	winner int
}

// writeRecord is a write that some primary has taken, and whether and when it was acknowledged.
type writeRecord struct {
	point   position.Point
	writeID int
	acked   bool
	ackedAt clock.Millis
}

// model simulates a group, the outdated view that a daemon has of it, and all writes.
// Tests replace choose, confirm and sample by faulty versions to check that the model detects the fault.
type model struct {
	intn    func(int) int
	choose  func(*View, clock.Millis, Need, func(int) int) Choice
	confirm func(*View, position.Point) bool
	sample  func(*group.Record, []StatusReply) (Sample, bool)

	now         clock.Millis
	targets     []*modelTarget
	record      group.Record
	view        View
	change      *primaryChange
	writes      []writeRecord
	readsServed int
	violation   string
}

func newModel(size int, intn func(int) int) *model {
	m := &model{intn: intn, choose: Choose, confirm: confirmed, sample: MakeSample, now: 1000}
	m.record = group.Record{ID: "g", Term: 1, Primary: targetID(0)}
	for i := range size {
		m.targets = append(m.targets, &modelTarget{primary: i == 0, following: 0})
		m.record.Targets = append(m.record.Targets, group.Target{ID: targetID(i), Slots: 4})
		m.view.Targets = append(m.view.Targets, TargetView{Target: m.record.Targets[i]})
	}
	m.targets[0].following = none
	m.view.Record = m.record
	return m
}

func targetID(i int) group.TargetID { return group.TargetID(fmt.Sprint("t", i)) }

func (s *modelTarget) received() position.Point {
	if len(s.log) == 0 {
		return position.Point{Term: 1}
	}
	return position.Point{Term: s.log[len(s.log)-1].term, Position: position.Position(len(s.log))}
}

func (s *modelTarget) status() group.Status {
	st := group.Status{Promise: s.promise, Holder: s.holder, Primary: s.primary, Received: s.received(), Applied: position.Point{Term: 1}}
	if s.following != none {
		st.Following = targetID(s.following)
	}
	if n := s.visibleLen(); n > 0 {
		st.Applied = position.Point{Term: s.log[n-1].term, Position: position.Position(n)}
	}
	return st
}

// visibleLen is the number of log records that reads on the target see.
func (s *modelTarget) visibleLen() int {
	if s.primary {
		return len(s.log)
	}
	return s.applied
}

func (m *model) randomTarget() *modelTarget { return m.targets[m.intn(len(m.targets))] }

func (m *model) step() {
	m.now += clock.Millis(1 + m.intn(3))
	steps := []func(){
		m.write, m.write, m.replicate, m.replicate, m.replicate, m.apply, m.apply, m.poll, m.poll, m.poll,
		m.acknowledge, m.acknowledge, m.addSample, m.updateRecord, m.fence, m.fence, m.elect, m.promote, m.follow, m.follow, m.stopStream,
	}
	steps[m.intn(len(steps))]()
	if m.intn(80) == 0 {
		m.change = &primaryChange{term: m.highestTerm() + 1, holder: group.DaemonID(fmt.Sprint("d", m.intn(2))), fenced: map[int]position.Point{}, winner: none}
	}
}

func (m *model) highestTerm() position.Term {
	highest := m.record.Term
	for _, s := range m.targets {
		highest = max(highest, s.promise)
	}
	return highest
}

// write adds a write to random targets that consider themselves primary, in the term of their promotion.
func (m *model) write() {
	for i, s := range m.targets {
		if !s.primary || m.intn(2) == 0 {
			continue
		}
		term := m.termOf(i)
		s.log = append(s.log, logEntry{term, len(m.writes)})
		m.writes = append(m.writes, writeRecord{point: s.received(), writeID: len(m.writes)})
	}
}

// termOf returns the term in which a primary writes; a promotion opens its term with a log entry that is no write.
func (m *model) termOf(i int) position.Term {
	if log := m.targets[i].log; len(log) > 0 {
		return log[len(log)-1].term
	}
	return 1
}

func (m *model) replicate() {
	s := m.randomTarget()
	if s.following == none || m.targets[s.following] == s {
		return
	}
	from := m.targets[s.following].log
	if len(s.log) > len(from) || !slices.Equal(s.log, from[:len(s.log)]) {
		return
	}
	s.log = slices.Clone(from[:len(s.log)+m.intn(len(from)-len(s.log)+1)])
}

func (m *model) apply() {
	s := m.randomTarget()
	s.applied += m.intn(len(s.log) - min(s.applied, len(s.log)) + 1)
}

// poll updates one target of the view.
func (m *model) poll() {
	i := m.intn(len(m.targets))
	m.view.Targets[i].Status = m.targets[i].status()
	m.view.Targets[i].RequestedAt = m.now
}

func (m *model) updateRecord() { m.view.Record = m.record }

func (m *model) acknowledge() {
	for i := range m.writes {
		if wr := &m.writes[i]; !wr.acked && m.confirm(&m.view, wr.point) {
			wr.acked, wr.ackedAt = true, m.now
		}
	}
}

func (m *model) addSample() {
	if s, ok := m.sampleMajority(); ok {
		m.view.Samples = append(m.view.Samples, s)
	}
}

func (m *model) sampleMajority() (Sample, bool) {
	var replies []StatusReply
	from := m.intn(len(m.targets))
	for k := range m.record.Majority() {
		i := (from + k) % len(m.targets)
		replies = append(replies, StatusReply{targetID(i), m.targets[i].status(), m.now})
	}
	return m.sample(&m.record, replies)
}

func (m *model) fence() {
	i := m.intn(len(m.targets))
	s := m.targets[i]
	if m.change == nil || !s.accepts(m.change.term, m.change.holder) {
		return
	}
	s.promise, s.holder = m.change.term, m.change.holder
	if s.primary {
		return
	}
	s.streamStopping = s.following != none
	if m.change.winner == none {
		m.change.fenced[i] = s.received()
	}
}

func (m *model) stopStream() {
	if s := m.randomTarget(); s.streamStopping {
		s.following, s.streamStopping = none, false
	}
}

// accepts reports whether the target takes an order of the term from holder.
func (s *modelTarget) accepts(term position.Term, holder group.DaemonID) bool {
	return term > s.promise || term == s.promise && holder == s.holder
}

func (m *model) elect() {
	c := m.change
	if c == nil || c.winner != none || len(c.fenced) < m.record.Majority() || c.term <= m.record.Term {
		return
	}
	best := position.Point{}
	for i := range m.targets {
		if p, ok := c.fenced[i]; ok && (c.winner == none || best.Before(p)) {
			c.winner, best = i, p
		}
	}
	m.record.Term, m.record.Primary = c.term, targetID(c.winner)
}

func (m *model) promote() {
	c := m.change
	if c == nil || c.winner == none {
		return
	}
	s := m.targets[c.winner]
	if s.primary || !s.accepts(c.term, c.holder) {
		return
	}
	s.promise, s.holder, s.primary, s.following, s.streamStopping = c.term, c.holder, true, none, false
	s.log = append(s.log, logEntry{c.term, none})
	for _, wr := range m.writes {
		if wr.acked && !slices.ContainsFunc(s.log, func(e logEntry) bool { return e.writeID == wr.writeID }) {
			m.violation = fmt.Sprintf("acknowledged write %d at %v is missing on the promoted target %s", wr.writeID, wr.point, targetID(c.winner))
		}
	}
}

func (m *model) follow() {
	c := m.change
	if c == nil || c.winner == none || !m.targets[c.winner].primary {
		return
	}
	i := m.intn(len(m.targets))
	s := m.targets[i]
	if i == c.winner || !s.accepts(c.term, c.holder) {
		return
	}
	s.applied = s.visibleLen()
	s.promise, s.holder, s.primary, s.following, s.streamStopping = c.term, c.holder, false, c.winner, false
	from := m.targets[c.winner].log
	n := 0
	for n < len(s.log) && n < len(from) && s.log[n] == from[n] {
		n++
	}
	s.log, s.applied = s.log[:n], min(s.applied, n)
}

// read chooses a target, runs up to two further steps, reads from the target and checks that no required write is missing.
func (m *model) read() {
	n := Need{Request: service.Request{Kind: service.Read}, Arrived: m.now}
	if m.intn(2) == 0 {
		n.Request.MaxAge = clock.Millis(1 + m.intn(60))
	} else if s, ok := m.sampleMajority(); ok {
		n.Sample = s
	}
	ownWrite := none
	if len(m.writes) > 0 && m.intn(2) == 0 {
		if i := m.intn(len(m.writes)); m.writes[i].acked {
			ownWrite, n.Floor = i, m.writes[i].point
		}
	}
	since := n.Arrived
	if n.Request.MaxAge > 0 {
		since = m.now - n.Request.MaxAge
	}
	c := m.choose(&m.view, m.now, n, m.intn)
	for range m.intn(3) {
		m.step()
	}
	if c.Target == "" {
		return
	}
	m.readsServed++
	m.check(c, since, ownWrite)
}

// check records a violation if the chosen target lacks a write that was acknowledged before since, or the session's own write.
func (m *model) check(c Choice, since clock.Millis, ownWrite int) {
	i := slices.IndexFunc(m.record.Targets, func(t group.Target) bool { return t.ID == c.Target })
	s := m.targets[i]
	visible := s.log[:s.visibleLen()]
	for _, wr := range m.writes {
		needed := wr.acked && wr.ackedAt < since || wr.writeID == ownWrite
		if needed && !slices.ContainsFunc(visible, func(e logEntry) bool { return e.writeID == wr.writeID }) {
			m.violation = fmt.Sprintf("read on %s (%s) does not see write %d at %v", c.Target, c.Kind, wr.writeID, wr.point)
		}
	}
}

// run returns the first violation in a random history and the number of reads that were served.
func (m *model) run(steps int) (violation string, readsServed int) {
	for range steps {
		m.step()
		if m.intn(4) == 0 {
			m.read()
		}
		if m.violation != "" {
			break
		}
	}
	return m.violation, m.readsServed
}

// confirmed reports whether a majority of the group is known to hold point in the term in which it was written.
func confirmed(v *View, point position.Point) bool {
	n := 0
	for i := range v.Targets {
		t := &v.Targets[i]
		if t.RequestedAt > 0 && Holds(&t.Status, point) {
			n++
		}
	}
	return n >= v.Record.Majority()
}
