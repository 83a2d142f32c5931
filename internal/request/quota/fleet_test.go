package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// overage and slack are the tolerances of requirement 3.
	overage, slack = 0.1, 20
	// maxFalseRefusals is the share of operations within the limit that may be refused. Some are: a data centre that is cut off has
	// only its part of the burst, new buckets start almost empty, and a daemon holds tokens that another one would need.
	maxFalseRefusals = 0.02
	// askTimeout, admitTimeout are the times that the client waits for an issuer and with an operation, in milliseconds.
	askTimeout, admitTimeout clock.Millis = 100, 300
	// usualShare is the usual demand of a workspace over its rate.
	usualShare = 1 / 1.6
)

// simulation runs issuers and stocks of many daemons in memory, for one workspace.
type simulation struct {
	rng     *rand.Rand
	now     clock.Millis
	events  events
	order   int
	daemons []*simDaemon
	// config is the newest configuration.
	config  workspace.Workspace
	version uint64
	// cut reports whether messages between two daemons are lost.
	cut func(a, b *simDaemon) bool
	// change changes each ask; nil changes none.
	change func(a *Ask)
	// weight is the share of the demand that arrives at a daemon, relative to the others.
	weight func(d *simDaemon) float64
	// tolerance is what the issuers know of overage and slack.
	tolerance Tolerance
	// admitted and offered hold the times of operations.
	admitted, offered []clock.Millis
	refused, asks     int
}

// simDaemon is one daemon: an issuer, a stock and the operations that wait.
type simDaemon struct {
	peer    placement.Peer
	up      bool
	frozen  bool
	run     int
	issuer  *Issuer
	stock   *Stock
	issuers [][]placement.Peer
	config  workspace.Workspace
	version uint64
	asking  bool
	waiting []clock.Millis
}

type event struct {
	at    clock.Millis
	order int
	f     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newSimulation(seed uint64, centres, each int, limit workspace.Limit, t Tolerance) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), now: 100_000, version: 1,
		config: workspace.Workspace{ID: "w", Limited: true, Limit: limit}, tolerance: t,
		cut:    func(_, _ *simDaemon) bool { return false },
		weight: func(*simDaemon) float64 { return 1 },
	}
	for c := range centres {
		for i := range each {
			s.add(fmt.Sprintf("d-%d-%d", c, i), group.DataCentre(fmt.Sprint("c", c)), -ReadyDelay)
		}
	}
	s.listAll()
	return s
}

// add adds a daemon that started before or after now.
func (s *simulation) add(id string, dc group.DataCentre, started clock.Millis) *simDaemon {
	d := &simDaemon{peer: placement.Peer{ID: group.DaemonID(id), DataCentre: dc, MirrorAddress: id}, up: true}
	d.issuer, d.stock = NewIssuer(s.now+started, DefaultWindow, s.tolerance), NewStock()
	d.config, d.version = s.config, s.version
	s.daemons = append(s.daemons, d)
	return d
}

// list gives a daemon the list of all daemons.
func (s *simulation) list(d *simDaemon) {
	var peers []placement.Peer
	for _, o := range s.daemons {
		peers = append(peers, o.peer)
	}
	d.issuers = Issuers("w", peers, d.peer.DataCentre)
}

func (s *simulation) listAll() {
	for _, d := range s.daemons {
		s.list(d)
	}
}

func (s *simulation) kill(d *simDaemon) {
	d.up, d.asking, d.waiting = false, false, nil
	d.run++
}

func (s *simulation) restart(d *simDaemon) {
	d.up = true
	d.issuer, d.stock = NewIssuer(s.now, DefaultWindow, s.tolerance), NewStock()
	d.config, d.version = s.config, s.version
	s.list(d)
}

func (s *simulation) at(t clock.Millis, f func()) {
	s.order++
	heap.Push(&s.events, event{t, s.order, f})
}

func (s *simulation) after(d clock.Millis, f func()) { s.at(s.now+d, f) }

func (s *simulation) advance(until clock.Millis) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.f()
	}
	s.now = until
}

// load offers operations for a time, with perSecond of the time since its start.
func (s *simulation) load(length clock.Millis, perSecond func(t clock.Millis) float64) {
	start := s.now
	for t := clock.Millis(0); t < length; t++ {
		s.advance(start + t)
		for n := perSecond(t) / float64(clock.Second); n > 0; n-- {
			if s.rng.Float64() < n {
				s.operation()
			}
		}
	}
	s.advance(s.now + admitTimeout)
}

// operation has one operation arrive at a daemon that runs.
func (s *simulation) operation() {
	total := 0.0
	for _, d := range s.daemons {
		if d.up && !d.frozen {
			total += s.weight(d)
		}
	}
	x := s.rng.Float64() * total
	for _, d := range s.daemons {
		if !d.up || d.frozen {
			continue
		}
		if x -= s.weight(d); x < 0 {
			s.offered = append(s.offered, s.now)
			s.take(d)
			return
		}
	}
}

// take does what quota.Client.Take does.
func (s *simulation) take(d *simDaemon) {
	d.stock.Record(s.now, &d.config)
	if len(d.waiting) == 0 && d.stock.Use(s.now, &d.config) {
		s.admitted = append(s.admitted, s.now)
		if d.asking || !d.stock.Low(s.now, &d.config) {
			return
		}
	} else {
		d.waiting = append(d.waiting, s.now+admitTimeout)
	}
	if !d.asking {
		d.asking = true
		s.ask(d)
	}
}

// serve gives tokens to the operations that wait.
func (s *simulation) serve(d *simDaemon) {
	for len(d.waiting) > 0 {
		switch {
		case s.now >= d.waiting[0]:
			s.refused++
		case d.stock.Use(s.now, &d.config):
			s.admitted = append(s.admitted, s.now)
		default:
			return
		}
		d.waiting = d.waiting[1:]
	}
}

// ask asks the next issuer, or ends the round.
func (s *simulation) ask(d *simDaemon) {
	t, ok := d.stock.Next(s.now, &d.config, d.issuers)
	if !ok {
		s.refused += len(d.waiting)
		d.waiting = nil
		s.endRound(d)
		return
	}
	s.asks++
	run, sentAt := d.run, s.now
	a := Ask{Workspace: "w", Tokens: d.stock.Want(s.now, &d.config, len(d.waiting)), Version: d.version, Limit: d.config.Limit, Parts: len(d.issuers), Force: t.Force}
	if s.change != nil {
		s.change(&a)
	}
	done := func(f func()) func() {
		return func() {
			if d.run != run {
				return
			}
			f()
			s.serve(d)
			if len(d.waiting) == 0 {
				s.endRound(d)
				return
			}
			s.ask(d)
		}
	}
	silent := done(func() { d.stock.Silent(s.now, &d.config, &t) })
	issuer := s.daemons[slices.IndexFunc(s.daemons, func(o *simDaemon) bool { return o.peer.ID == t.Peer.ID })]
	if issuer == d {
		g := d.issuer.Take(s.now, a)
		done(func() { d.stock.Answer(s.now, sentAt, &d.config, &t, a.Tokens, g) })()
		return
	}
	latency := clock.Millis(0)
	if issuer.peer.DataCentre != d.peer.DataCentre {
		latency = 1
	}
	s.after(latency, func() {
		switch {
		case s.cut(d, issuer) || issuer.frozen:
			s.at(sentAt+askTimeout, silent)
		case !issuer.up:
			s.after(latency, silent) // the connection is refused
		default:
			g := issuer.issuer.Take(s.now, a)
			s.after(latency, done(func() { d.stock.Answer(s.now, sentAt, &d.config, &t, a.Tokens, g) }))
		}
	})
}

func (s *simulation) endRound(d *simDaemon) {
	d.asking = false
	d.stock.EndRound(s.now, &d.config)
}

// bound returns the operations that requirement 3 allows in a window.
func bound(l workspace.Limit) int {
	return int((l.PerSecond*float64(DefaultWindow)/float64(clock.Second)+l.Burst)*(1+overage) + slack)
}

// busiestWindow returns the most operations in a window that begins within [from, until), and where it begins.
func (s *simulation) busiestWindow(from, until clock.Millis) (most int, at clock.Millis) {
	slices.Sort(s.admitted)
	end := 0
	for i, begin := range s.admitted {
		if begin < from || begin >= until {
			continue
		}
		for end < len(s.admitted) && s.admitted[end] < begin+DefaultWindow {
			end++
		}
		if end-i > most {
			most, at = end-i, begin
		}
	}
	return most, at
}

// checkWindows checks every window that begins within [from, until) against the limit.
func (s *simulation) checkWindows(t *testing.T, l workspace.Limit, from, until clock.Millis) {
	t.Helper()
	most, at := s.busiestWindow(from, until)
	t.Logf("busiest window: %d of %d, at %d; %d offered, %d refused, %d asks", most, bound(l), at, len(s.offered), s.refused, s.asks)
	if most > bound(l) {
		t.Errorf("got %d operations in the window that begins at %d, want at most %d", most, at, bound(l))
	}
}

// checkRefusals checks the refusals against those of one full bucket with the whole limit.
func (s *simulation) checkRefusals(t *testing.T, l workspace.Limit) {
	t.Helper()
	level, beyond, last := l.Burst, 0, s.offered[0]
	for _, at := range s.offered {
		level = min(l.Burst, level+l.PerSecond*float64(at-last)/float64(clock.Second))
		last = at
		if level < 1 {
			beyond++
			continue
		}
		level--
	}
	if got, n := s.refused-beyond, len(s.offered); float64(got) > maxFalseRefusals*float64(n) {
		t.Errorf("got %d of %d operations within the limit refused, want at most %.0f %%", got, n, maxFalseRefusals*100)
	}
}

func steady(perSecond float64) func(clock.Millis) float64 {
	return func(clock.Millis) float64 { return perSecond }
}

// bursts returns a demand that rises to 1.7 times its usual for 3 s in every 9 s.
func bursts(perSecond float64) func(clock.Millis) float64 {
	return func(t clock.Millis) float64 {
		if t%9000 >= 5000 && t%9000 < 8000 {
			return perSecond * 1.7
		}
		return perSecond
	}
}

// hot returns a demand that rises to 7.5 times its usual while the buckets are full, pauses, and rises again.
func hot(perSecond float64) func(clock.Millis) float64 {
	return func(t clock.Millis) float64 {
		switch {
		case t >= 7000 && t < 17000, t >= 20000 && t < 27000:
			return perSecond * 7.5
		case t >= 17000 && t < 20000:
			return 0
		}
		return perSecond
	}
}

const forever = clock.Millis(1 << 40)

// Guards against operations beyond the limit, and refusals within it, while daemons and links fail. Each fault is run with the usual
// demand, where refusals are checked too, and with 7.5 times of it, which brings every bucket to its limit.
func TestLimitHoldsUnderFaults(t *testing.T) {
	limit := workspace.Limit{PerSecond: 200, Burst: 200}
	tests := []struct {
		name          string
		centres, each int
		limit         workspace.Limit
		prepare       func(s *simulation)
	}{
		{name: "no fault", centres: 3, each: 8, limit: limit},
		{name: "one data centre", centres: 1, each: 10, limit: limit},
		{name: "one daemon", centres: 1, each: 1, limit: limit},
		{name: "more data centres than parts", centres: 6, each: 6, limit: limit},
		{name: "small workspace", centres: 4, each: 17, limit: workspace.Limit{PerSecond: 0.8, Burst: 0.8}},
		{name: "workspace of 8 a second", centres: 4, each: 17, limit: workspace.Limit{PerSecond: 8, Burst: 8}},
		{name: "workspace of 25 a second", centres: 3, each: 29, limit: workspace.Limit{PerSecond: 25, Burst: 25}},
		{name: "very uneven demand", centres: 3, each: 8, limit: limit, prepare: func(s *simulation) {
			s.weight = func(d *simDaemon) float64 {
				if d.peer.DataCentre == "c0" {
					return 50
				}
				return 1
			}
		}},
		{name: "demand at one daemon", centres: 4, each: 17, limit: limit, prepare: func(s *simulation) {
			s.weight = func(d *simDaemon) float64 {
				if d.peer.ID == "d-2-3" {
					return 1000
				}
				return 1
			}
		}},
		{name: "partitioned data centre", centres: 3, each: 8, limit: limit, prepare: func(s *simulation) {
			s.after(8000, func() {
				s.cut = func(a, b *simDaemon) bool {
					return a.peer.DataCentre != b.peer.DataCentre && (a.peer.DataCentre == "c0" || b.peer.DataCentre == "c0")
				}
			})
			s.after(20000, func() { s.cut = func(_, _ *simDaemon) bool { return false } })
		}},
		{name: "killed issuer that restarts", centres: 3, each: 8, limit: limit, prepare: func(s *simulation) {
			for _, list := range s.daemons[0].issuers {
				d := s.daemons[slices.IndexFunc(s.daemons, func(o *simDaemon) bool { return o.peer.ID == list[0].ID })]
				s.after(8000, func() { s.kill(d) })
				s.after(11000, func() { s.restart(d) })
			}
		}},
		{name: "issuer that stands still", centres: 3, each: 8, limit: limit, prepare: func(s *simulation) {
			for _, list := range s.daemons[0].issuers {
				d := s.daemons[slices.IndexFunc(s.daemons, func(o *simDaemon) bool { return o.peer.ID == list[0].ID })]
				s.after(8000, func() { d.frozen = true })
				s.after(11000, func() { d.frozen = false })
				s.after(13000, func() { d.frozen = true })
				s.after(15000, func() { d.frozen = false })
			}
		}},
		{name: "all daemons restarted together", centres: 3, each: 8, limit: limit, prepare: func(s *simulation) {
			s.after(8000, func() {
				for _, d := range s.daemons {
					s.kill(d)
				}
			})
			for _, d := range s.daemons {
				s.after(9000+clock.Millis(s.rng.IntN(1000)), func() { s.restart(d) })
			}
		}},
		{name: "rolling restart", centres: 3, each: 8, limit: limit, prepare: func(s *simulation) {
			for i, d := range s.daemons {
				s.after(3000+1000*clock.Millis(i), func() { s.kill(d) })
				s.after(4500+1000*clock.Millis(i), func() { s.restart(d) })
			}
		}},
		{name: "issuer that stands still before the demand rises", centres: 3, each: 8, limit: limit, prepare: func(s *simulation) {
			for _, list := range s.daemons[0].issuers {
				d := s.daemons[slices.IndexFunc(s.daemons, func(o *simDaemon) bool { return o.peer.ID == list[0].ID })]
				s.after(4500, func() { d.frozen = true })
				s.after(10000, func() { d.frozen = false })
			}
		}},
		{name: "daemons that join", centres: 3, each: 2, limit: limit, prepare: func(s *simulation) {
			for i := range 24 {
				s.after(3000+300*clock.Millis(i), func() {
					d := s.add(fmt.Sprintf("n-%d", i), group.DataCentre(fmt.Sprint("c", i%3)), 0)
					s.list(d)
					for _, o := range s.daemons {
						s.after(clock.Millis(s.rng.IntN(4500)), func() { s.list(o) })
					}
				})
			}
		}},
		{name: "issuers that stop", centres: 3, each: 8, limit: limit, prepare: func(s *simulation) {
			for _, list := range s.daemons[0].issuers {
				d := s.daemons[slices.IndexFunc(s.daemons, func(o *simDaemon) bool { return o.peer.ID == list[0].ID })]
				s.after(8000, func() { d.issuer.Stop() })
				s.after(14000, func() { s.kill(d) })
			}
		}},
	}
	for _, tt := range tests {
		for _, demand := range []struct {
			name   string
			within bool
			shape  func(float64) func(clock.Millis) float64
		}{{"usual", true, steady}, {"usual with bursts", true, bursts}, {"hot at times", false, hot}, {"7.5 times the usual", false, func(x float64) func(clock.Millis) float64 { return steady(7.5 * x) }}} {
			t.Run(tt.name+", "+demand.name, func(t *testing.T) {
				for seed := range uint64(4) {
					// Half of the runs grant a part of the tolerance, as a deployment's settings may say.
					tolerance := Tolerance{Overage: overage * float64(seed%2), Slack: slack * float64(seed%2)}
					s := newSimulation(seed/2, tt.centres, tt.each, tt.limit, tolerance)
					if tt.prepare != nil {
						tt.prepare(s)
					}
					s.load(32000, demand.shape(tt.limit.PerSecond*usualShare))
					s.checkWindows(t, tt.limit, 0, forever)
					if demand.within {
						s.checkRefusals(t, tt.limit)
					} else if got, want := len(s.admitted), int(tt.limit.PerSecond*32*0.65); got < want {
						t.Errorf("got %d operations admitted, want at least %d: the limit is to be usable", got, want)
					}
				}
			})
		}
	}
}

// Guards against a check that sees nothing: without the division of the limit among the data centres, the window is exceeded.
func TestWindowCheckDetectsUndividedLimit(t *testing.T) {
	limit := workspace.Limit{PerSecond: 200, Burst: 200}
	s := newSimulation(1, 3, 8, limit, Tolerance{})
	s.change = func(a *Ask) { a.Parts = 1 }
	s.load(12000, steady(limit.PerSecond*usualShare*7.5))
	if most, _ := s.busiestWindow(0, forever); most <= bound(limit) {
		t.Errorf("got %d operations in the busiest window, want more than %d", most, bound(limit))
	}
}

// Guards against a lowered limit that applies late: the daemons get the configuration over 3 s, and some never do.
func TestLoweredLimitApplies(t *testing.T) {
	high, low := workspace.Limit{PerSecond: 300, Burst: 300}, workspace.Limit{PerSecond: 100, Burst: 100}
	for _, outdated := range []int{0, 4} {
		s := newSimulation(1, 3, 8, high, Tolerance{Overage: overage, Slack: slack})
		start := s.now
		const changedAt, spread = 8000, 3000
		for i, d := range s.daemons {
			if i%8 < outdated {
				continue // a daemon with an older configuration
			}
			s.after(changedAt+clock.Millis(s.rng.IntN(spread)), func() { d.config.Limit, d.version = low, 2 })
		}
		s.load(24000, steady(high.PerSecond*usualShare*7.5))
		s.checkWindows(t, high, 0, start+changedAt)
		s.checkWindows(t, low, start+changedAt+spread, forever)
	}
}

// Guards against a raised limit that a daemon with an older configuration keeps from use.
func TestRaisedLimitIsUsable(t *testing.T) {
	low, high := workspace.Limit{PerSecond: 50, Burst: 50}, workspace.Limit{PerSecond: 300, Burst: 300}
	s := newSimulation(1, 3, 8, low, Tolerance{Overage: overage, Slack: slack})
	for i, d := range s.daemons {
		if i%8 != 0 {
			d.config.Limit, d.version = high, 2
		}
	}
	s.load(20000, steady(high.PerSecond*usualShare))
	s.checkWindows(t, high, 0, forever)
	s.checkRefusals(t, high)
}
