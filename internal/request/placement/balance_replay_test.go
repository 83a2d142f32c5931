package placement

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// replayCase is the load of one group of three targets, of which the first is the primary, for replayTime.
type replayCase struct {
	name  string
	slots [3]int
	// choosers is the number of daemons that choose; direct is true if they are not homes, which have smaller windows.
	choosers int
	direct   bool
	// oneZone is true if all choosers are in the data centre of the second target instead of spread over those of all.
	oneZone bool
	// hot is how many times the demand of the others the first chooser has; 0 means as much.
	hot float64
	// service is the mean time of a statement in milliseconds.
	service float64
	// slow is true if the second target is 5 times slower, and stop if the third one is down, from 6 to 10 s.
	slow, stop bool
	// knownChoosers is the number of choosers that each of them assumes; 0 means the right one.
	knownChoosers int
	// reportEvery is the time between two load reports, for methods that use them, in milliseconds. Each is 50 ms old when it
	// arrives; wrongReports replaces them by random ones.
	reportEvery  float64
	wrongReports bool
}

// The load of a replay and, from internal/process/edge, what a daemon knows of a target. Times are in milliseconds.
const (
	replayTime     = 20_000
	replayWindow   = 100  // a window of the imbalance
	replayUse      = 0.45 // share of the slots that is busy on average, without waves and bursts
	replayWrites   = 0.3  // share of the statements that only the primary serves
	replayDeadline = 1500.0
	faultStart     = 6000.0
	faultEnd       = 10_000.0
)

// figures are the results of a replay.
type figures struct {
	// busiest is the load of the busiest target over the mean by windows. Load is the number of busy slots, see Imbalance.
	busiest float64
	// idle is the share of time in which a statement queues for a target while another one that could serve it runs nothing; free is
	// the same for one that has a free slot.
	idle, free float64
	// wait50 and wait99 are percentiles of the time until a read starts at a target.
	wait50, wait99 float64
	// herd is the most statements per slot at the stopped target in the second after its return.
	herd float64
	// busy counts refusals of targets, expired the statements given up, and queries the messages to targets that carry no statement.
	statements, busy, expired, queries int
}

// pickMethod selects a target for a statement; -1 means none.
type pickMethod func(r *replay, c *replayChooser, list []Candidate, n Need) int

type replayTarget struct {
	slots           int
	queue, active   []*replayStatement
	down            bool
	queuedReads     int
	coldUntil       float64
	loadHistory     []int // by millisecond
	windowed, moved float64
}

type replayStatement struct {
	c             *replayChooser
	write         bool
	arrived, sent float64
	target        int
	tried         []group.TargetID
}

// replayView is what a chooser knows of a target, and its gate there.
type replayView struct {
	load, sending, window int
	waiting               []*replayStatement
	latency, repliedAt    float64
	backoff, until        float64
	failingSince          float64
	usage                 Usage
	slowStart             SlowStart
	report, reportAt      float64
}

type replayChooser struct {
	zone    int
	rate    float64
	targets [3]replayView
}

type replayEvent struct {
	at  float64
	run func()
}

type replayEvents []replayEvent

func (h replayEvents) Len() int           { return len(h) }
func (h replayEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h replayEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *replayEvents) Push(x any)        { *h = append(*h, x.(replayEvent)) }
func (h *replayEvents) Pop() any          { o := *h; e := o[len(o)-1]; *h = o[:len(o)-1]; return e }

type replay struct {
	replayCase
	rng      *rand.Rand
	now      float64
	events   replayEvents
	targets  [3]*replayTarget
	choosers []*replayChooser
	pick     pickMethod
	fig      figures
	waits    []float64
}

func (r *replay) after(d float64, f func()) { heap.Push(&r.events, replayEvent{r.now + d, f}) }

func (r *replay) millis() clock.Millis { return clock.Millis(r.now) }

func runReplay(cs replayCase, seed uint64, pick pickMethod) figures {
	r := &replay{replayCase: cs, rng: rand.New(rand.NewPCG(seed, 1)), pick: pick}
	slots, rates := 0, 0.0
	for i, n := range cs.slots {
		r.targets[i] = &replayTarget{slots: n}
		slots += n
	}
	for i := range cs.choosers {
		c := &replayChooser{zone: i % 3, rate: 1 + r.rng.Float64()}
		if cs.oneZone {
			c.zone = 1
		}
		for j, n := range cs.slots {
			c.targets[j] = replayView{window: n, latency: 20}
			if !cs.direct {
				c.targets[j].window = Window(n, cs.choosers)
			}
		}
		if i == 0 && cs.hot > 0 {
			c.rate = cs.hot
		}
		rates += c.rate
		r.choosers = append(r.choosers, c)
	}
	for _, c := range r.choosers {
		c.rate *= replayUse * float64(slots) / cs.service / rates
		r.arrive(c)
	}
	if cs.stop {
		r.after(faultStart, func() { r.stopTarget(r.targets[2]) })
		r.after(faultEnd, func() { r.targets[2].down, r.targets[2].coldUntil = false, r.now+500 })
	}
	return r.run()
}

// arrive schedules the next statement of a chooser. Traffic swings by 30 % in waves of 7 s, with a burst of 1.7 times for 3 s in every 8 s.
func (r *replay) arrive(c *replayChooser) {
	factor := 1 + 0.3*math.Sin(r.now/7000*2*math.Pi)
	if math.Mod(r.now, 8000) > 5000 {
		factor *= 1.7
	}
	r.after(r.rng.ExpFloat64()/c.rate/factor, func() {
		r.fig.statements++
		r.choose(&replayStatement{c: c, write: r.rng.Float64() < replayWrites, arrived: r.now})
		r.arrive(c)
	})
}

func (r *replay) choose(s *replayStatement) {
	if r.now-s.arrived > replayDeadline {
		r.fig.expired++
		return
	}
	c := s.c
	known := cmp.Or(r.knownChoosers, r.replayCase.choosers)
	list := make([]Candidate, 3)
	for i := range list {
		v := &c.targets[i]
		mean, _ := v.usage.Mean(r.millis())
		list[i] = Candidate{
			ID: replayIDs[i], DataCentre: replayZones[i], Slots: r.targets[i].slots, Primary: i == 0, Failing: v.failingSince > 0, Load: v.load,
			Latency: max(1, v.latency/(1+math.Floor(max(0, r.now-v.repliedAt)/500))), BackoffUntil: clock.Millis(math.Ceil(v.until)),
			MeanLoad: mean, Choosers: known, SlowStart: v.slowStart,
		}
	}
	i := r.pick(r, c, list, Need{PrimaryOnly: s.write, DataCentre: replayZones[c.zone], Tried: s.tried})
	if i < 0 {
		s.tried = nil
		r.after(15, func() { r.choose(s) })
		return
	}
	s.target = i
	v := &c.targets[i]
	v.load++
	v.usage.Start(r.millis(), !s.write)
	v.waiting = append(v.waiting, s)
	r.queued(s, 1)
	r.send(v)
}

var (
	replayIDs   = [3]group.TargetID{"t0", "t1", "t2"}
	replayZones = [3]group.DataCentre{"a", "b", "c"}
)

// queued counts a read that begins or ends to queue for its target.
func (r *replay) queued(s *replayStatement, by int) {
	if !s.write {
		r.targets[s.target].queuedReads += by
	}
}

// send passes statements from the gate of a chooser to the target.
func (r *replay) send(v *replayView) {
	for v.sending < v.window && len(v.waiting) > 0 {
		s := v.waiting[0]
		v.waiting = v.waiting[1:]
		v.sending++
		r.queued(s, -1)
		s.sent = r.now
		r.travel(s, func() { r.receive(r.targets[s.target], s) })
	}
}

// travel runs f after the one-way latency between the chooser and the target of a statement.
func (r *replay) travel(s *replayStatement, f func()) {
	if s.c.zone == s.target {
		r.after(0.2, f)
	} else {
		r.after(1, f)
	}
}

func (r *replay) receive(t *replayTarget, s *replayStatement) {
	switch {
	case t.down:
		r.travel(s, func() { r.fail(s) })
	case len(t.queue) >= 8*t.slots:
		r.fig.busy++
		r.travel(s, func() {
			r.reply(s, 0)
			s.c.targets[s.target].until = r.now + 30
			r.retry(s)
		})
	default:
		t.queue = append(t.queue, s)
		r.queued(s, 1)
		r.start(t)
	}
}

func (r *replay) start(t *replayTarget) {
	for len(t.active) < t.slots && len(t.queue) > 0 {
		s := t.queue[0]
		t.queue = t.queue[1:]
		t.active = append(t.active, s)
		r.queued(s, -1)
		if !s.write {
			r.waits = append(r.waits, r.now-s.arrived)
		}
		d := r.service * (0.5 + r.rng.Float64())
		if r.slow && s.target == 1 && r.now > faultStart && r.now < faultEnd {
			d *= 5
		}
		if r.now < t.coldUntil {
			d *= 3
		}
		r.after(d, func() {
			i := slices.Index(t.active, s)
			if i < 0 {
				return // the target has stopped
			}
			t.active = slices.Delete(t.active, i, i+1)
			r.travel(s, func() { r.reply(s, r.now-s.sent) })
			r.start(t)
		})
	}
}

// stopTarget ends a target with everything that runs or waits there.
func (r *replay) stopTarget(t *replayTarget) {
	for _, s := range t.queue {
		r.queued(s, -1)
	}
	lost := slices.Concat(t.active, t.queue)
	t.active, t.queue, t.down = nil, nil, true
	for _, s := range lost {
		r.fail(s)
	}
}

// release gives back the slot of a statement at the gate.
func (r *replay) release(s *replayStatement) {
	v := &s.c.targets[s.target]
	v.load--
	v.sending--
	v.usage.End(r.millis(), !s.write)
	r.send(v)
}

func (r *replay) reply(s *replayStatement, took float64) {
	v := &s.c.targets[s.target]
	if took > 0 {
		v.latency += 0.1 * (took - v.latency)
	}
	r.answered(v)
	r.release(s)
}

// answered records that a chooser got an answer from a target.
func (r *replay) answered(v *replayView) {
	v.repliedAt, v.backoff, v.until = r.now, 0, 0
	if v.failingSince > 0 {
		v.slowStart = NewSlowStart(r.millis(), clock.Millis(r.now-v.failingSince))
		v.failingSince = 0
	}
}

func (r *replay) fail(s *replayStatement) {
	v := &s.c.targets[s.target]
	if v.failingSince == 0 {
		v.failingSince = r.now
		r.probe(s.c, s.target)
	}
	v.backoff = min(max(2*v.backoff, 50), 400)
	v.until = r.now + v.backoff
	r.release(s)
	if !s.write {
		r.retry(s)
	}
}

func (r *replay) retry(s *replayStatement) {
	s.tried = append(s.tried, replayIDs[s.target])
	r.choose(s)
}

// probe asks a failing target until it answers, as the control loop does.
func (r *replay) probe(c *replayChooser, i int) {
	r.after(100, func() {
		r.fig.queries++
		if r.targets[i].down {
			r.probe(c, i)
			return
		}
		r.answered(&c.targets[i])
	})
}

// run processes the events and measures the targets each millisecond.
func (r *replay) run() figures {
	most, means, loads := 0.0, 0.0, make([]TargetLoad, 0, 3)
	for tick := 1; tick <= replayTime; tick++ {
		for len(r.events) > 0 && r.events[0].at <= float64(tick) {
			e := heap.Pop(&r.events).(replayEvent)
			r.now = e.at
			e.run()
		}
		queued, idle, free := false, false, false
		for i, t := range r.targets {
			for _, s := range t.active {
				if !s.write {
					t.moved++
				}
			}
			t.windowed += float64(len(t.active))
			t.loadHistory = append(t.loadHistory, len(t.active)+len(t.queue))
			queued = queued || t.queuedReads > 0
			idle = idle || !t.down && len(t.active) == 0
			free = free || !t.down && len(t.active) < t.slots
			if i == 2 && r.stop && r.now > faultEnd && r.now < faultEnd+1000 {
				r.fig.herd = max(r.fig.herd, float64(len(t.active)+len(t.queue))/float64(t.slots))
			}
		}
		if queued && idle {
			r.fig.idle += 1.0 / replayTime
		}
		if queued && free {
			r.fig.free += 1.0 / replayTime
		}
		if tick%replayWindow == 0 {
			loads = loads[:0]
			for _, t := range r.targets {
				if !t.down {
					loads = append(loads, TargetLoad{Slots: t.slots, All: t.windowed, Movable: t.moved})
				}
				t.windowed, t.moved = 0, 0
			}
			busiest, mean := Imbalance(loads)
			most += busiest
			means += mean
		}
	}
	slices.Sort(r.waits)
	r.fig.busiest = most / means
	r.fig.wait50, r.fig.wait99 = r.waits[len(r.waits)/2], r.waits[len(r.waits)*99/100]
	return r.fig
}
