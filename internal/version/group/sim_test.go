package group

import (
	"fmt"
	"math/rand/v2"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const tickLength clock.Millis = 10

type simDaemon struct {
	id          DaemonID
	machine     *Machine
	up          bool
	paused      bool
	inbox       []Event
	clockOffset clock.Millis
	calls       int
	killAfter   int // number of orders and platform calls after which the daemon dies; 0 means never
	lastVersion uint64
	lastTerm    position.Term
}

type write struct {
	payload      int
	point        position.Point
	receivedBy   map[TargetID]bool
	acknowledged bool
}

type scheduledCall struct {
	at  clock.Millis
	seq int
	run func()
}

// sim runs daemons, targets and a platform on a simulated clock.
type sim struct {
	now            clock.Millis
	seq            int
	queue          []scheduledCall
	rnd            *rand.Rand
	targets        map[TargetID]*simTarget
	targetIDs      []TargetID
	daemons        []*simDaemon
	platform       simPlatform
	cutLinks       map[[2]string]bool // pairs {from, to} where from does not reach to
	platformCut    map[DaemonID]bool
	writes         []*write
	pendingWrites  []*write // not acknowledged yet
	primaryByTerm  map[position.Term]TargetID
	failure        string
	startedChanges int
	lastAckAt      clock.Millis
	firstAckAt     map[position.Term]clock.Millis // time of the first acknowledged write of each term

	// loseCall reports whether the nth order or platform call loses its request or its reply.
	loseCall          func(n int, a Action) (request, reply bool)
	calls             int
	duplicateRate     float64 // share of events that are delivered a second time, later
	duplicateRecords  bool
	ackByPrimaryAlone bool // writes held by the primary alone are acknowledged
	replaceAction     func(a Action) Action
	replaceEvent      func(e Event) Event
	settings          Settings
}

func newSim(seed uint64, targets, daemons int) *sim {
	s := &sim{
		rnd:           rand.New(rand.NewPCG(seed, 1)),
		targets:       map[TargetID]*simTarget{},
		cutLinks:      map[[2]string]bool{},
		platformCut:   map[DaemonID]bool{},
		primaryByTerm: map[position.Term]TargetID{1: "t0"},
		firstAckAt:    map[position.Term]clock.Millis{},
	}
	rec := Record{ID: "precios-db-1", Term: 1, Primary: "t0"}
	for i := range targets {
		id := TargetID(fmt.Sprintf("t%d", i))
		t := &simTarget{id: id, up: true, promise: 1, holder: "start", log: []logEntry{{term: 1}}}
		t.primary = i == 0
		if i > 0 {
			t.following = "t0"
		}
		rec.Targets = append(rec.Targets, Target{ID: id})
		s.targets[id] = t
		s.targetIDs = append(s.targetIDs, id)
	}
	s.platform = simPlatform{rec: rec, version: 7}
	for i := range daemons {
		d := &simDaemon{id: DaemonID(fmt.Sprintf("d%d", i)), clockOffset: clock.Millis(1000 * (i + 1))}
		s.daemons = append(s.daemons, d)
		s.startDaemon(d)
	}
	return s
}

// startDaemon starts a new run of d from the stored record.
func (s *sim) startDaemon(d *simDaemon) {
	*d = simDaemon{id: d.id, clockOffset: d.clockOffset, up: true}
	d.machine = New(d.id, s.platform.rec, s.settings, s.rnd.Float64)
	s.deliver(d, 5, RecordUpdate{Record: s.platform.rec, Version: s.platform.version})
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %d ms: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) schedule(d clock.Millis, run func()) {
	s.seq++
	s.queue = append(s.queue, scheduledCall{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) reaches(a, b string) bool { return !s.cutLinks[[2]string{a, b}] }

func (s *sim) disconnect(a, b string) {
	s.cutLinks[[2]string{a, b}] = true
	s.cutLinks[[2]string{b, a}] = true
}

func (s *sim) isStreaming(t *simTarget) bool {
	p := s.targets[t.following]
	return p != nil && t.up && p.up && !p.paused && p.primary && s.reaches(string(p.id), string(t.id))
}

// deliver sends e to the current run of d; a later run of d does not receive it.
func (s *sim) deliver(d *simDaemon, delay clock.Millis, e Event) {
	machine := d.machine
	if s.replaceEvent != nil {
		e = s.replaceEvent(e)
	}
	run := func() {
		if d.machine == machine {
			s.step(d, e)
		}
	}
	s.schedule(delay, run)
	if s.rnd.Float64() < s.duplicateRate {
		s.schedule(delay+clock.Millis(s.rnd.IntN(900)), run)
	}
}

func (s *sim) step(d *simDaemon, e Event) {
	if !d.up {
		return
	}
	if d.paused {
		if _, tick := e.(Tick); !tick {
			d.inbox = append(d.inbox, e)
		}
		return
	}
	for _, a := range d.machine.Step(s.now+d.clockOffset, e) {
		if !d.up {
			return
		}
		s.execute(d, a)
	}
	v := d.machine.View()
	if v.Version < d.lastVersion || v.Term < d.lastTerm {
		s.fail("%s went from version %d term %d to version %d term %d", d.id, d.lastVersion, d.lastTerm, v.Version, v.Term)
	}
	d.lastVersion, d.lastTerm = v.Version, v.Term
}

func (s *sim) execute(d *simDaemon, action Action) {
	if s.replaceAction != nil {
		action = s.replaceAction(action)
	}
	switch action := action.(type) {
	case RequestPeerViews:
		s.askPeers(d, action)
		return
	case SendOrder:
		s.sendOrder(d, action)
	case PutRecord:
		s.putRecord(d, action)
	case ReadRecord:
		s.readRecord(d)
	case Report:
		if action.Kind == ReportStarted {
			s.startedChanges++
		}
		return
	}
	d.calls++
	if d.calls == d.killAfter {
		d.up = false
	}
}

func (s *sim) drawLoss(a Action) (request, reply bool) {
	s.calls++
	if s.loseCall == nil {
		return false, false
	}
	return s.loseCall(s.calls, a)
}

func (s *sim) askPeers(d *simDaemon, a RequestPeerViews) {
	for _, o := range s.daemons {
		if o == d || !o.up || o.paused || !s.reaches(string(d.id), string(o.id)) {
			continue
		}
		reachability := o.machine.ReachabilityOf(s.now+o.clockOffset, a.Target)
		s.deliver(d, 4, PeerReply{Daemon: o.id, Target: a.Target, Reachability: reachability, RequestedAt: s.now + d.clockOffset})
	}
}

func (s *sim) sendOrder(d *simDaemon, a SendOrder) {
	t := s.targets[a.Target]
	request, reply := s.drawLoss(a)
	unknown := OrderResult{Target: a.Target, Order: a.Order, Outcome: OrderUnknown}
	if request || !t.up || !s.reaches(string(d.id), string(t.id)) {
		s.deliver(d, 400, unknown)
		return
	}
	run := func() {
		if !t.up {
			s.deliver(d, 395, unknown)
			return
		}
		if s.now < t.promotionEnd && !t.ordersDuringPromotion {
			s.deliver(d, 3, unknown)
			return
		}
		status, outcome := t.handleOrder(s, a.Order)
		if reply || t.paused || s.now < t.promotionEnd {
			s.deliver(d, 395, unknown)
			return
		}
		s.deliver(d, 3, OrderResult{Target: a.Target, Order: a.Order, Status: status, Outcome: outcome, Promise: status.Promise, Holder: status.Holder})
	}
	if t.paused {
		t.pausedCalls = append(t.pausedCalls, run)
		return
	}
	s.schedule(clock.Millis(2+s.rnd.IntN(4)), run)
}

func (s *sim) putRecord(d *simDaemon, a PutRecord) {
	request, reply := s.drawLoss(a)
	if s.platformCut[d.id] {
		s.deliver(d, 30, PutResult{Record: a.Record, Outcome: PutUnavailable})
		return
	}
	if request {
		s.deliver(d, 200, PutResult{Record: a.Record, Outcome: PutUnknown})
		return
	}
	s.schedule(4, func() {
		done := s.platform.putRecord(s, a.Record, a.IfVersion)
		if reply {
			done = PutResult{Record: a.Record, Outcome: PutUnknown}
		}
		s.deliver(d, 4, done)
	})
}

func (s *sim) readRecord(d *simDaemon) {
	if request, reply := s.drawLoss(ReadRecord{}); request || reply || s.platformCut[d.id] {
		return
	}
	s.schedule(4, func() { s.deliver(d, 4, RecordUpdate{Record: s.platform.rec, Version: s.platform.version}) })
}

func (s *sim) probe(d *simDaemon, t *simTarget) {
	requestedAt := s.now + d.clockOffset
	if !s.reaches(string(d.id), string(t.id)) || t.paused && t.up {
		s.deliver(d, 250, RequestFailure{Target: t.id, RequestedAt: requestedAt, Cause: Timeout})
		return
	}
	if !t.up {
		s.deliver(d, 2, RequestFailure{Target: t.id, RequestedAt: requestedAt, Cause: Refused})
		return
	}
	s.deliver(d, clock.Millis(1+s.rnd.IntN(5)), ProbeReply{Target: t.id, RequestedAt: requestedAt, Status: t.status(s)})
}

// checkPromotion fails the simulation if a term has two primaries.
func (s *sim) checkPromotion(t *simTarget, term position.Term) {
	if other, ok := s.primaryByTerm[term]; ok && other != t.id {
		s.fail("term %d has the primaries %s and %s", term, other, t.id)
	}
	s.primaryByTerm[term] = t.id
}

// writeByView sends one write to the primary of d's view.
func (s *sim) writeByView(d *simDaemon) {
	v := d.machine.View()
	t := s.targets[v.Primary]
	if !d.up || d.paused || t == nil || !t.up || t.paused || !t.primary || !s.reaches(string(d.id), string(t.id)) {
		return
	}
	s.writeTo(t)
}

func (s *sim) writeTo(t *simTarget) {
	w := &write{payload: len(s.writes) + 1, receivedBy: map[TargetID]bool{}}
	t.log = append(t.log, logEntry{term: t.received().Term, payload: w.payload})
	w.point = t.received()
	s.writes = append(s.writes, w)
	s.pendingWrites = append(s.pendingWrites, w)
}

func (s *sim) acknowledgeWrites() {
	pendingWrites := s.pendingWrites[:0]
	for _, w := range s.pendingWrites {
		for id, t := range s.targets {
			if r := t.received(); r.Term == w.point.Term && r.Position >= w.point.Position {
				w.receivedBy[id] = true
			}
		}
		if len(w.receivedBy) < s.platform.rec.Majority() && !s.ackByPrimaryAlone {
			pendingWrites = append(pendingWrites, w)
			continue
		}
		w.acknowledged = true
		s.lastAckAt = s.now
		if s.firstAckAt[w.point.Term] == 0 {
			s.firstAckAt[w.point.Term] = s.now
		}
	}
	s.pendingWrites = pendingWrites
}

// run advances the clock by duration, with a write by each daemon every fifth tick.
func (s *sim) run(duration clock.Millis) {
	for end := s.now + duration; s.now < end && s.failure == ""; {
		s.tick()
	}
}

func (s *sim) tick() {
	s.now += tickLength
	s.deliverDue()
	for _, id := range s.targetIDs {
		s.targets[id].copyLog(s)
	}
	s.acknowledgeWrites()
	for index, d := range s.daemons {
		offset := int(s.now/tickLength) + 3*index
		if offset%10 == 0 && d.up && !d.paused {
			for _, id := range s.targetIDs {
				s.probe(d, s.targets[id])
			}
		}
		if offset%200 == 0 {
			s.readRecord(d)
		}
		if offset%5 == 0 {
			s.writeByView(d)
		}
		s.step(d, Tick{})
	}
}

// deliverDue runs the due calls in order, including those that they schedule themselves.
func (s *sim) deliverDue() {
	for {
		next := -1
		for i, call := range s.queue {
			if call.at <= s.now && (next < 0 || call.before(s.queue[next])) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		call := s.queue[next]
		s.queue[next] = s.queue[len(s.queue)-1]
		s.queue = s.queue[:len(s.queue)-1]
		call.run()
	}
}

func (m scheduledCall) before(o scheduledCall) bool {
	return m.at < o.at || m.at == o.at && m.seq < o.seq
}

func (s *sim) crashTarget(id TargetID) { s.targets[id].up = false }

func (s *sim) pauseTarget(id TargetID) { s.targets[id].paused = true }

// resumeTarget resumes a paused target, which then handles the calls that it received during the pause.
func (s *sim) resumeTarget(id TargetID) {
	t := s.targets[id]
	for _, run := range t.pausedCalls {
		run()
	}
	t.paused, t.pausedCalls = false, nil
}

func (s *sim) resumeDaemon(d *simDaemon) {
	inbox := d.inbox
	d.paused, d.inbox = false, nil
	for _, e := range inbox {
		s.step(d, e)
	}
}

// endFaults ends every fault and resumes or restarts every target and daemon.
func (s *sim) endFaults() {
	s.cutLinks = map[[2]string]bool{}
	s.platformCut = map[DaemonID]bool{}
	s.loseCall, s.duplicateRate = nil, 0
	for _, id := range s.targetIDs {
		s.targets[id].up = true
		s.targets[id].lag, s.targets[id].promotionTime = 0, 0
		s.resumeTarget(id)
	}
	for _, d := range s.daemons {
		switch {
		case !d.up:
			s.startDaemon(d)
		case d.paused:
			s.resumeDaemon(d)
		}
	}
}

// convergeTimeout is the time within which a group must take writes again and agree on its primary after all faults have ended.
const convergeTimeout = 20 * clock.Second

// endFaultsAndCheck ends all faults, waits for convergence and returns the first violation, or "" if there is none.
func (s *sim) endFaultsAndCheck() string {
	s.endFaults()
	faultsEndedAt := s.now
	for s.now < faultsEndedAt+convergeTimeout && s.failure == "" && !s.converged(faultsEndedAt) {
		s.run(100)
	}
	if s.failure == "" && !s.converged(faultsEndedAt) {
		s.fail("group not converged %d ms after the faults ended: %s", convergeTimeout, s.describe())
	}
	s.checkLog()
	return s.failure
}

// converged reports whether all daemons and the record name one primary that all replicas follow, and a write was acknowledged after since.
func (s *sim) converged(since clock.Millis) bool {
	if s.lastAckAt <= since {
		return false
	}
	rec := s.platform.rec
	for _, d := range s.daemons {
		if v := d.machine.View(); v.Changing || v.Primary != rec.Primary || v.Term != rec.Term {
			return false
		}
	}
	for _, id := range s.targetIDs {
		if t := s.targets[id]; id != rec.Primary && t.status(s).Following != rec.Primary {
			return false
		}
	}
	return s.targets[rec.Primary].primary
}

// checkLog checks that the log of the recorded primary holds every acknowledged write exactly once.
func (s *sim) checkLog() {
	seen := map[int]int{}
	for _, e := range s.targets[s.platform.rec.Primary].log {
		seen[e.payload]++
	}
	for _, w := range s.writes {
		if n := seen[w.payload]; w.acknowledged && n != 1 {
			s.fail("acknowledged write %d of %s is %d times in the log of %s", w.payload, w.point, n, s.platform.rec.Primary)
			return
		}
	}
}

func (s *sim) describe() string {
	out := fmt.Sprintf("record %s at %d;", s.platform.rec.Primary, s.platform.rec.Term)
	for _, id := range s.targetIDs {
		out += fmt.Sprintf(" %s %+v;", id, s.targets[id].status(s))
	}
	for _, d := range s.daemons {
		v := d.machine.View()
		out += fmt.Sprintf(" %s sees %s at %d, changing %t, cause %q;", d.id, v.Primary, v.Term, v.Changing, d.machine.trigger.cause)
	}
	return out
}
