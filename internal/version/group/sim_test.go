package group

import (
	"fmt"
	"math/rand/v2"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const tickLength clock.Millis = 10

type simDaemon struct {
	id        DaemonID
	m         *Machine
	up        bool
	paused    bool
	inbox     []Event
	skew      clock.Millis
	actions   int
	killAfter int // dies once it has carried out that many orders and updates; 0: never
	version   uint64
	term      position.Term
}

type write struct {
	payload int
	at      position.Point
	heldBy  map[TargetID]bool
	acked   bool
}

type message struct {
	at  clock.Millis
	seq int
	run func()
}

// sim runs daemons against targets and a platform under an injected clock.
type sim struct {
	now         clock.Millis
	seq         int
	queue       []message
	rnd         *rand.Rand
	targets     map[TargetID]*simTarget
	ids         []TargetID
	daemons     []*simDaemon
	platform    simPlatform
	cut         map[[2]string]bool // pairs that do not reach each other
	platformCut map[DaemonID]bool
	writes      []*write
	waiting     []*write // not acknowledged yet
	primaries   map[position.Term]TargetID
	failure     string
	changes     int
	lastAck     clock.Millis
	acks        map[position.Term]clock.Millis // the first of each term

	// lose tells whether the nth order or platform call loses its request or its answer.
	lose         func(n int, a Action) (request, answer bool)
	calls        int
	double       float64 // share of events that come again, late
	doubleStream bool
	eager        bool // acknowledges what the primary alone holds
	tamper       func(a Action) Action
	forge        func(e Event) Event
	settings     Settings
}

func newSim(seed uint64, targets, daemons int) *sim {
	s := &sim{
		rnd:         rand.New(rand.NewPCG(seed, 1)),
		targets:     map[TargetID]*simTarget{},
		cut:         map[[2]string]bool{},
		platformCut: map[DaemonID]bool{},
		primaries:   map[position.Term]TargetID{1: "t0"},
		acks:        map[position.Term]clock.Millis{},
	}
	rec := Record{ID: "precios-db-1", Term: 1, Primary: "t0"}
	for i := range targets {
		id := TargetID(fmt.Sprintf("t%d", i))
		t := &simTarget{id: id, up: true, promise: 1, holder: "start", log: []entry{{term: 1}}}
		t.primary = i == 0
		if i > 0 {
			t.following = "t0"
		}
		rec.Targets = append(rec.Targets, Target{ID: id})
		s.targets[id] = t
		s.ids = append(s.ids, id)
	}
	s.platform = simPlatform{rec: rec, version: 7}
	for i := range daemons {
		d := &simDaemon{id: DaemonID(fmt.Sprintf("d%d", i)), skew: clock.Millis(1000 * (i + 1))}
		s.daemons = append(s.daemons, d)
		s.start(d)
	}
	return s
}

// start runs d anew with what the platform says.
func (s *sim) start(d *simDaemon) {
	*d = simDaemon{id: d.id, skew: d.skew, up: true}
	d.m = New(d.id, s.platform.rec, s.settings, s.rnd.Float64)
	s.deliver(d, 5, Recorded{Record: s.platform.rec, Version: s.platform.version})
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %d ms: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func (s *sim) after(d clock.Millis, run func()) {
	s.seq++
	s.queue = append(s.queue, message{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) reach(a, b string) bool { return !s.cut[[2]string{a, b}] }

func (s *sim) sever(a, b string) {
	s.cut[[2]string{a, b}] = true
	s.cut[[2]string{b, a}] = true
}

func (s *sim) streaming(t *simTarget) bool {
	p := s.targets[t.following]
	return p != nil && t.up && p.up && !p.paused && p.primary && s.reach(string(p.id), string(t.id))
}

// deliver gives e to the run of d that is now alive.
func (s *sim) deliver(d *simDaemon, delay clock.Millis, e Event) {
	m := d.m
	if s.forge != nil {
		e = s.forge(e)
	}
	run := func() {
		if d.m == m {
			s.step(d, e)
		}
	}
	s.after(delay, run)
	if s.rnd.Float64() < s.double {
		s.after(delay+clock.Millis(s.rnd.IntN(900)), run)
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
	for _, a := range d.m.Step(s.now+d.skew, e) {
		if !d.up {
			return
		}
		s.carryOut(d, a)
	}
	v := d.m.View()
	if v.Version < d.version || v.Term < d.term {
		s.fail("%s went from version %d term %d to version %d term %d", d.id, d.version, d.term, v.Version, v.Term)
	}
	d.version, d.term = v.Version, v.Term
}

func (s *sim) carryOut(d *simDaemon, a Action) {
	if s.tamper != nil {
		a = s.tamper(a)
	}
	switch a := a.(type) {
	case AskPeers:
		s.askPeers(d, a)
		return
	case SendOrder:
		s.sendOrder(d, a)
	case PutRecord:
		s.put(d, a)
	case ReadRecord:
		s.read(d)
	case Report:
		if a.Kind == ReportStarted {
			s.changes++
		}
		return
	}
	d.actions++
	if d.actions == d.killAfter {
		d.up = false
	}
}

func (s *sim) lost(a Action) (request, answer bool) {
	s.calls++
	if s.lose == nil {
		return false, false
	}
	return s.lose(s.calls, a)
}

func (s *sim) askPeers(d *simDaemon, a AskPeers) {
	for _, o := range s.daemons {
		if o == d || !o.up || o.paused || !s.reach(string(d.id), string(o.id)) {
			continue
		}
		answer := o.m.Reach(s.now+o.skew, a.Target)
		s.deliver(d, 4, PeerViewed{Daemon: o.id, Target: a.Target, Reachable: answer, AskedAt: s.now + d.skew})
	}
}

func (s *sim) sendOrder(d *simDaemon, a SendOrder) {
	t := s.targets[a.Target]
	request, answer := s.lost(a)
	unknown := Ordered{Target: a.Target, Order: a.Order, Outcome: OrderUnknown}
	if request || !t.up || !s.reach(string(d.id), string(t.id)) {
		s.deliver(d, 400, unknown)
		return
	}
	run := func() {
		if !t.up {
			s.deliver(d, 395, unknown)
			return
		}
		if s.now < t.lockedTo && !t.unlocked {
			s.deliver(d, 3, unknown)
			return
		}
		st, out := t.order(s, a.Order)
		if answer || t.paused || s.now < t.lockedTo {
			s.deliver(d, 395, unknown)
			return
		}
		s.deliver(d, 3, Ordered{Target: a.Target, Order: a.Order, Status: st, Outcome: out, Promise: st.Promise, Holder: st.Holder})
	}
	if t.paused {
		t.waiting = append(t.waiting, run)
		return
	}
	s.after(clock.Millis(2+s.rnd.IntN(4)), run)
}

func (s *sim) put(d *simDaemon, a PutRecord) {
	request, answer := s.lost(a)
	if s.platformCut[d.id] {
		s.deliver(d, 30, PutDone{Record: a.Record, Outcome: PutUnavailable})
		return
	}
	if request {
		s.deliver(d, 200, PutDone{Record: a.Record, Outcome: PutUnknown})
		return
	}
	s.after(4, func() {
		done := s.platform.put(s, a.Record, a.IfVersion)
		if answer {
			done = PutDone{Record: a.Record, Outcome: PutUnknown}
		}
		s.deliver(d, 4, done)
	})
}

func (s *sim) read(d *simDaemon) {
	if request, answer := s.lost(ReadRecord{}); request || answer || s.platformCut[d.id] {
		return
	}
	s.after(4, func() { s.deliver(d, 4, Recorded{Record: s.platform.rec, Version: s.platform.version}) })
}

func (s *sim) probe(d *simDaemon, t *simTarget) {
	asked := s.now + d.skew
	if !s.reach(string(d.id), string(t.id)) || t.paused && t.up {
		s.deliver(d, 250, Failed{Target: t.id, AskedAt: asked, Cause: Timeout})
		return
	}
	if !t.up {
		s.deliver(d, 2, Failed{Target: t.id, AskedAt: asked, Cause: Refused})
		return
	}
	s.deliver(d, clock.Millis(1+s.rnd.IntN(5)), Answered{Target: t.id, AskedAt: asked, Status: t.status(s)})
}

// promoted checks each new primary as it begins.
func (s *sim) promoted(t *simTarget, term position.Term) {
	if other, ok := s.primaries[term]; ok && other != t.id {
		s.fail("term %d has the primaries %s and %s", term, other, t.id)
	}
	s.primaries[term] = t.id
}

// write sends one write by the view of d.
func (s *sim) write(d *simDaemon) {
	v := d.m.View()
	t := s.targets[v.Primary]
	if !d.up || d.paused || t == nil || !t.up || t.paused || !t.primary || !s.reach(string(d.id), string(t.id)) {
		return
	}
	s.writeTo(t)
}

func (s *sim) writeTo(t *simTarget) {
	w := &write{payload: len(s.writes) + 1, heldBy: map[TargetID]bool{}}
	t.log = append(t.log, entry{term: t.received().Term, payload: w.payload})
	w.at = t.received()
	s.writes = append(s.writes, w)
	s.waiting = append(s.waiting, w)
}

func (s *sim) acknowledge() {
	waiting := s.waiting[:0]
	for _, w := range s.waiting {
		for id, t := range s.targets {
			if r := t.received(); r.Term == w.at.Term && r.Position >= w.at.Position {
				w.heldBy[id] = true
			}
		}
		if len(w.heldBy) < s.platform.rec.Majority() && !s.eager {
			waiting = append(waiting, w)
			continue
		}
		w.acked = true
		s.lastAck = s.now
		if s.acks[w.at.Term] == 0 {
			s.acks[w.at.Term] = s.now
		}
	}
	s.waiting = waiting
}

// run lets d pass, with a write by each daemon every fifth tick.
func (s *sim) run(d clock.Millis) {
	for end := s.now + d; s.now < end && s.failure == ""; {
		s.tick()
	}
}

func (s *sim) tick() {
	s.now += tickLength
	s.deliverDue()
	for _, id := range s.ids {
		s.targets[id].stream(s)
	}
	s.acknowledge()
	for i, d := range s.daemons {
		n := int(s.now/tickLength) + 3*i
		if n%10 == 0 && d.up && !d.paused {
			for _, id := range s.ids {
				s.probe(d, s.targets[id])
			}
		}
		if n%200 == 0 {
			s.read(d)
		}
		if n%5 == 0 {
			s.write(d)
		}
		s.step(d, Tick{})
	}
}

// deliverDue runs what is due, and what that makes due, in order.
func (s *sim) deliverDue() {
	for {
		next := -1
		for i, m := range s.queue {
			if m.at <= s.now && (next < 0 || m.before(s.queue[next])) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		m := s.queue[next]
		s.queue[next] = s.queue[len(s.queue)-1]
		s.queue = s.queue[:len(s.queue)-1]
		m.run()
	}
}

func (m message) before(o message) bool { return m.at < o.at || m.at == o.at && m.seq < o.seq }

func (s *sim) crash(id TargetID) { s.targets[id].up = false }

func (s *sim) pause(id TargetID) { s.targets[id].paused = true }

// wake runs what a paused target was sent meanwhile.
func (s *sim) wake(id TargetID) {
	t := s.targets[id]
	for _, run := range t.waiting {
		run()
	}
	t.paused, t.waiting = false, nil
}

func (s *sim) resume(d *simDaemon) {
	inbox := d.inbox
	d.paused, d.inbox = false, nil
	for _, e := range inbox {
		s.step(d, e)
	}
}

// heal ends every fault.
func (s *sim) heal() {
	s.cut = map[[2]string]bool{}
	s.platformCut = map[DaemonID]bool{}
	s.lose, s.double = nil, 0
	for _, id := range s.ids {
		s.targets[id].up = true
		s.targets[id].lag, s.targets[id].slow = 0, 0
		s.wake(id)
	}
	for _, d := range s.daemons {
		switch {
		case !d.up:
			s.start(d)
		case d.paused:
			s.resume(d)
		}
	}
}

// healBound is within which time a healed group must take writes again and agree.
const healBound = 20 * clock.Second

// finish heals the group and checks where it ends.
func (s *sim) finish() string {
	s.heal()
	healed := s.now
	for s.now < healed+healBound && s.failure == "" && !s.whole(healed) {
		s.run(100)
	}
	if s.failure == "" && !s.whole(healed) {
		s.fail("not whole %d ms after the faults ended: %s", healBound, s.describe())
	}
	s.checkLog()
	return s.failure
}

// whole reports whether all daemons and the record name one primary that all follow and that has had writes acknowledged.
func (s *sim) whole(since clock.Millis) bool {
	if s.lastAck <= since {
		return false
	}
	rec := s.platform.rec
	for _, d := range s.daemons {
		if v := d.m.View(); v.Changing || v.Primary != rec.Primary || v.Term != rec.Term {
			return false
		}
	}
	for _, id := range s.ids {
		if t := s.targets[id]; id != rec.Primary && t.status(s).Following != rec.Primary {
			return false
		}
	}
	return s.targets[rec.Primary].primary
}

// checkLog checks that the leading primary holds every acknowledged write once.
func (s *sim) checkLog() {
	seen := map[int]int{}
	for _, e := range s.targets[s.platform.rec.Primary].log {
		seen[e.payload]++
	}
	for _, w := range s.writes {
		if n := seen[w.payload]; w.acked && n != 1 {
			s.fail("acknowledged write %d of %s is %d times in the log of %s", w.payload, w.at, n, s.platform.rec.Primary)
			return
		}
	}
}

func (s *sim) describe() string {
	out := fmt.Sprintf("record %s at %d;", s.platform.rec.Primary, s.platform.rec.Term)
	for _, id := range s.ids {
		out += fmt.Sprintf(" %s %+v;", id, s.targets[id].status(s))
	}
	for _, d := range s.daemons {
		v := d.m.View()
		out += fmt.Sprintf(" %s sees %s at %d, changing %t, cause %q;", d.id, v.Primary, v.Term, v.Changing, d.m.trigger.cause)
	}
	return out
}
