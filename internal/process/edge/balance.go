package edge

import (
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// balanceEven is the value of the setting balance that selects placement.ChooseEven.
	balanceEven = "even"
	// minMeasuredLoad is the mean number of this daemon's statements at the targets of a group from which the imbalance among them is
	// reported. The place of a single statement now and then says nothing about the distribution.
	minMeasuredLoad = 0.5
	// startupAge is the age of the daemon up to which targets count as known from its start; it then lists the store for the first time.
	startupAge = 2 * clock.Second
)

// chooseTarget selects a target for a statement of a workspace.
func (d *Daemon) chooseTarget(g *groupView, ws workspace.ID, n placement.Need, now clock.Millis) (int, placement.Reason) {
	list := d.samples.candidates(g, ws, n.Floor, now)
	cheapest, reason := placement.Choose(list, now, n)
	if d.set.Placement.Balance != balanceEven || cheapest < 0 {
		return cheapest, reason
	}
	d.logSlowStarts(g, list, now)
	even, reason := placement.ChooseEven(list, now, n, rand.IntN)
	if even != cheapest {
		d.count("placement-evened")
	}
	return even, reason
}

// logSlowStarts logs when a target is held back after its return, and when that has ended.
func (d *Daemon) logSlowStarts(g *groupView, list []placement.Candidate, now clock.Millis) {
	for i := range list {
		s := list[i].SlowStart
		if s == (placement.SlowStart{}) || !g.targets[i].noticeSlowStart(s.Active(now)) {
			continue
		}
		d.log.Info("slow start of target changed", zap.String("group", string(g.id)), zap.String("target", string(list[i].ID)),
			zap.Bool("held-back", s.Active(now)), zap.Int64("lasts-ms", int64(s.End-s.Start)))
	}
}

// imbalance returns the load per slot of the busiest target over the mean of its group, in percent, as this daemon has
// distributed its statements in the last second. It is that of the most uneven group; 100 is even.
func (d *Daemon) imbalance() int64 {
	worst := 1.0
	now := d.clk.Now()
	for _, g := range d.view.Load().groups {
		total := 0.0
		list := make([]placement.TargetLoad, 0, len(g.targets))
		for _, t := range g.targets {
			if load, usable := t.meanLoad(now); usable {
				list = append(list, load)
				total += load.All
			}
		}
		if busiest, mean := placement.Imbalance(list); total >= minMeasuredLoad && mean > 0 {
			worst = max(worst, busiest/mean)
		}
	}
	return int64(100 * worst)
}

// meanLoad returns the mean load of the target by this daemon. It is not usable if the target gets no work.
func (t *target) meanLoad(now clock.Millis) (load placement.TargetLoad, usable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	load.Slots = t.meta.Load().Slots
	load.All, load.Movable = t.usage.Mean(now)
	return load, t.failingSince == 0 && !t.leaving
}

func (t *target) useStarts(movable bool) {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usage.Start(now, movable)
}

func (t *target) useEnds(movable bool) {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usage.End(now, movable)
}

func (t *target) setChoosers(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.choosers = n
}

// startNew begins the slow start of a target that was added while the daemon, which started at the given time, already served.
func (t *target) startNew(daemonStart clock.Millis) {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if age := now - daemonStart; age > startupAge {
		t.startSlowly(now, age)
	}
}

// startSlowly begins a slow start after an outage. The caller holds t.mu.
func (t *target) startSlowly(now, outage clock.Millis) {
	t.slowStart = placement.NewSlowStart(now, outage)
}

// noticeSlowStart records whether the target is held back, and reports whether that has changed.
func (t *target) noticeSlowStart(active bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.held != active
	t.held = active
	return changed
}
