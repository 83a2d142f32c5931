package route

import (
	"fmt"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const nobody = -1

type entry struct {
	term position.Term
	id   int
}

// server is a target of the model; fencing stops its stream only some steps later.
type server struct {
	log       []entry
	applied   int
	promise   position.Term
	holder    group.DaemonID
	primary   bool
	following int
	stopping  bool
}

// change is a change of primary under way.
type change struct {
	term   position.Term
	holder group.DaemonID
	fenced map[int]position.Point
	winner int
}

type written struct {
	point   position.Point
	id      int
	acked   bool
	ackedAt clock.Millis
}

// world is a group, a daemon's lagging view of it, and all that was written.
type world struct {
	intn    func(int) int
	choose  func(*View, clock.Millis, Need, func(int) int) Choice
	confirm func(*View, position.Point) bool
	sample  func(*group.Record, []Answer) (Sample, bool)

	now     clock.Millis
	servers []*server
	record  group.Record
	view    View
	change  *change
	writes  []written
	served  int
	fault   string
}

func newWorld(size int, intn func(int) int) *world {
	w := &world{intn: intn, choose: Choose, confirm: confirmed, sample: MakeSample, now: 1000}
	w.record = group.Record{ID: "g", Term: 1, Primary: id(0)}
	for i := range size {
		w.servers = append(w.servers, &server{primary: i == 0, following: 0})
		w.record.Targets = append(w.record.Targets, group.Target{ID: id(i), Slots: 4})
		w.view.Targets = append(w.view.Targets, TargetView{Target: w.record.Targets[i]})
	}
	w.servers[0].following = nobody
	w.view.Record = w.record
	return w
}

func id(i int) group.TargetID { return group.TargetID(fmt.Sprint("t", i)) }

func (s *server) received() position.Point {
	if len(s.log) == 0 {
		return position.Point{Term: 1}
	}
	return position.Point{Term: s.log[len(s.log)-1].term, Position: position.Position(len(s.log))}
}

func (s *server) status() group.Status {
	st := group.Status{Promise: s.promise, Holder: s.holder, Primary: s.primary, Received: s.received(), Applied: position.Point{Term: 1}}
	if s.following != nobody {
		st.Following = id(s.following)
	}
	if n := s.seen(); n > 0 {
		st.Applied = position.Point{Term: s.log[n-1].term, Position: position.Position(n)}
	}
	return st
}

func (s *server) seen() int {
	if s.primary {
		return len(s.log)
	}
	return s.applied
}

func (w *world) any() *server { return w.servers[w.intn(len(w.servers))] }

func (w *world) step() {
	w.now += clock.Millis(1 + w.intn(3))
	steps := []func(){
		w.write, w.write, w.replicate, w.replicate, w.replicate, w.apply, w.apply, w.poll, w.poll, w.poll,
		w.acknowledge, w.acknowledge, w.takeSample, w.learn, w.fence, w.fence, w.elect, w.promote, w.follow, w.follow, w.stop,
	}
	steps[w.intn(len(steps))]()
	if w.intn(80) == 0 {
		w.change = &change{term: w.highest() + 1, holder: group.DaemonID(fmt.Sprint("d", w.intn(2))), fenced: map[int]position.Point{}, winner: nobody}
	}
}

func (w *world) highest() position.Term {
	highest := w.record.Term
	for _, s := range w.servers {
		highest = max(highest, s.promise)
	}
	return highest
}

// write lets any server that holds itself to be primary take a write, in the term it was promoted in.
func (w *world) write() {
	for i, s := range w.servers {
		if !s.primary || w.intn(2) == 0 {
			continue
		}
		term := w.termOf(i)
		s.log = append(s.log, entry{term, len(w.writes)})
		w.writes = append(w.writes, written{point: s.received(), id: len(w.writes)})
	}
}

// termOf is the term of the log that a primary writes; promotion opens it with an entry of its own.
func (w *world) termOf(i int) position.Term {
	if log := w.servers[i].log; len(log) > 0 {
		return log[len(log)-1].term
	}
	return 1
}

func (w *world) replicate() {
	s := w.any()
	if s.following == nobody || w.servers[s.following] == s {
		return
	}
	from := w.servers[s.following].log
	if len(s.log) > len(from) || !slices.Equal(s.log, from[:len(s.log)]) {
		return
	}
	s.log = slices.Clone(from[:len(s.log)+w.intn(len(from)-len(s.log)+1)])
}

func (w *world) apply() {
	s := w.any()
	s.applied += w.intn(len(s.log) - min(s.applied, len(s.log)) + 1)
}

func (w *world) poll() {
	i := w.intn(len(w.servers))
	w.view.Targets[i].Status = w.servers[i].status()
	w.view.Targets[i].AskedAt = w.now
}

func (w *world) learn() { w.view.Record = w.record }

func (w *world) acknowledge() {
	for i := range w.writes {
		if wr := &w.writes[i]; !wr.acked && w.confirm(&w.view, wr.point) {
			wr.acked, wr.ackedAt = true, w.now
		}
	}
}

func (w *world) takeSample() {
	if s, ok := w.askMajority(); ok {
		w.view.Samples = append(w.view.Samples, s)
	}
}

func (w *world) askMajority() (Sample, bool) {
	var answers []Answer
	from := w.intn(len(w.servers))
	for k := range w.record.Majority() {
		i := (from + k) % len(w.servers)
		answers = append(answers, Answer{id(i), w.servers[i].status(), w.now})
	}
	return w.sample(&w.record, answers)
}

func (w *world) fence() {
	i := w.intn(len(w.servers))
	s := w.servers[i]
	if w.change == nil || !s.takes(w.change.term, w.change.holder) {
		return
	}
	s.promise, s.holder = w.change.term, w.change.holder
	if s.primary {
		return
	}
	s.stopping = s.following != nobody
	if w.change.winner == nobody {
		w.change.fenced[i] = s.received()
	}
}

func (w *world) stop() {
	if s := w.any(); s.stopping {
		s.following, s.stopping = nobody, false
	}
}

func (s *server) takes(term position.Term, holder group.DaemonID) bool {
	return term > s.promise || term == s.promise && holder == s.holder
}

func (w *world) elect() {
	c := w.change
	if c == nil || c.winner != nobody || len(c.fenced) < w.record.Majority() || c.term <= w.record.Term {
		return
	}
	best := position.Point{}
	for i := range w.servers {
		if p, ok := c.fenced[i]; ok && (c.winner == nobody || best.Before(p)) {
			c.winner, best = i, p
		}
	}
	w.record.Term, w.record.Primary = c.term, id(c.winner)
}

func (w *world) promote() {
	c := w.change
	if c == nil || c.winner == nobody {
		return
	}
	s := w.servers[c.winner]
	if s.primary || !s.takes(c.term, c.holder) {
		return
	}
	s.promise, s.holder, s.primary, s.following, s.stopping = c.term, c.holder, true, nobody, false
	s.log = append(s.log, entry{c.term, nobody})
	for _, wr := range w.writes {
		if wr.acked && !slices.ContainsFunc(s.log, func(e entry) bool { return e.id == wr.id }) {
			w.fault = fmt.Sprintf("write %d at %v lost by promoting %s", wr.id, wr.point, id(c.winner))
		}
	}
}

func (w *world) follow() {
	c := w.change
	if c == nil || c.winner == nobody || !w.servers[c.winner].primary {
		return
	}
	i := w.intn(len(w.servers))
	s := w.servers[i]
	if i == c.winner || !s.takes(c.term, c.holder) {
		return
	}
	s.applied = s.seen()
	s.promise, s.holder, s.primary, s.following, s.stopping = c.term, c.holder, false, c.winner, false
	from := w.servers[c.winner].log
	n := 0
	for n < len(s.log) && n < len(from) && s.log[n] == from[n] {
		n++
	}
	s.log, s.applied = s.log[:n], min(s.applied, n)
}

// read chooses a target, lets the world move on a little, reads there, and looks for missing writes.
func (w *world) read() {
	n := Need{Request: service.Request{Kind: service.Read}, Arrived: w.now}
	if w.intn(2) == 0 {
		n.Request.MaxAge = clock.Millis(1 + w.intn(60))
	} else if s, ok := w.askMajority(); ok {
		n.Fresh = s
	}
	own := nobody
	if len(w.writes) > 0 && w.intn(2) == 0 {
		if i := w.intn(len(w.writes)); w.writes[i].acked {
			own, n.Floor = i, w.writes[i].point
		}
	}
	since := n.Arrived
	if n.Request.MaxAge > 0 {
		since = w.now - n.Request.MaxAge
	}
	c := w.choose(&w.view, w.now, n, w.intn)
	for range w.intn(3) {
		w.step()
	}
	if c.Target == "" {
		return
	}
	w.served++
	w.check(c, since, own)
}

func (w *world) check(c Choice, since clock.Millis, own int) {
	i := slices.IndexFunc(w.record.Targets, func(t group.Target) bool { return t.ID == c.Target })
	s := w.servers[i]
	seen := s.log[:s.seen()]
	for _, wr := range w.writes {
		needed := wr.acked && wr.ackedAt < since || wr.id == own
		if needed && !slices.ContainsFunc(seen, func(e entry) bool { return e.id == wr.id }) {
			w.fault = fmt.Sprintf("read on %s (%s) misses write %d at %v", c.Target, c.Kind, wr.id, wr.point)
		}
	}
}

// run returns the first fault of a random history and how many reads were served.
func (w *world) run(steps int) (fault string, served int) {
	for range steps {
		w.step()
		if w.intn(4) == 0 {
			w.read()
		}
		if w.fault != "" {
			break
		}
	}
	return w.fault, w.served
}

// confirmed reports whether a majority of the group is known to hold point in its term.
func confirmed(v *View, point position.Point) bool {
	n := 0
	for i := range v.Targets {
		t := &v.Targets[i]
		if t.AskedAt > 0 && Holds(&t.Status, point) {
			n++
		}
	}
	return n >= v.Record.Majority()
}
