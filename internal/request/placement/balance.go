package placement

import (
	"math"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// The constants were chosen by the replay in balance_replay_test.go; docs/design/even-load.md has the figures.
const (
	// meanLoadTime is the time constant of the mean number of statements at a target, in milliseconds. A shorter one follows a slow target
	// faster, a longer one evens out better among daemons that send few statements.
	meanLoadTime = 500.0
	// ownLoadWeight is how many statements at a target one statement of this daemon counts as. More than 1 keeps the statements of
	// one daemon apart, of which it has exact knowledge.
	ownLoadWeight = 4.0
	// slowFactor is how many times slower than the fastest target of the group a target must be to count as slow. Estimates of equally
	// fast targets differ by less, through noise, the distance and their decay.
	slowFactor = 2.0
	// remoteLoad is the extra cost of a target in another data centre, in statements per slot. The charge for the bytes is 0.8 % of the
	// value of a statement and the round trip takes 1 to 2.8 ms; remoteCost, which is nearly the time of a short statement, fills the
	// targets of the busiest data centre first.
	remoteLoad = 0.05
	// maxSlowStart is how long a target that has returned gets less work than the others, in milliseconds.
	maxSlowStart = 2 * clock.Second
	// minSlowStartShare is the share of its slots that counts at first.
	minSlowStartShare = 0.1
)

// Usage measures how many statements of this daemon are at a target. The zero value is ready to use.
type Usage struct {
	now, movable   int
	mean, meanMove float64
	at             clock.Millis
}

// Start records a statement that goes to the target; movable is true if another target could have served it.
func (u *Usage) Start(now clock.Millis, movable bool) { u.change(now, 1, movable) }

// End records the end of a statement that Start recorded.
func (u *Usage) End(now clock.Millis, movable bool) { u.change(now, -1, movable) }

func (u *Usage) change(now clock.Millis, by int, movable bool) {
	u.mean, u.meanMove = u.Mean(now)
	u.at = now
	u.now += by
	if movable {
		u.movable += by
	}
}

// Mean returns the exponentially weighted mean number of all statements and of the movable ones.
func (u *Usage) Mean(now clock.Millis) (all, movable float64) {
	keep := math.Exp(-float64(max(0, now-u.at)) / meanLoadTime)
	return float64(u.now) + keep*(u.mean-float64(u.now)), float64(u.movable) + keep*(u.meanMove-float64(u.movable))
}

// SlowStart is the time in which a target that has returned gets less work than the others. The zero value is none.
type SlowStart struct{ Start, End clock.Millis }

// NewSlowStart returns the slow start of a target that returns at now after an outage. A target that was away for a moment has lost
// less of its caches and of its share of the work, so that the slow start is no longer than the outage.
func NewSlowStart(now, outage clock.Millis) SlowStart {
	return SlowStart{Start: now, End: now + min(outage, maxSlowStart)}
}

// share returns the share of the target's slots that counts at now.
func (s SlowStart) share(now clock.Millis) float64 {
	if now >= s.End {
		return 1
	}
	return max(minSlowStartShare, float64(now-s.Start)/float64(s.End-s.Start))
}

// Active reports whether the target is held back at now.
func (s SlowStart) Active(now clock.Millis) bool { return now < s.End }

// ChooseEven returns the index of the suitable target with the least expected load, or -1 and the reason why there is none.
//
// It answers the load of many daemons that choose at the same moment, each of which knows exactly only its own statements. Choose sends
// all of them to the target that has looked cheapest in recent replies, until slower replies show them the next one, so that targets
// are overloaded in turns. ChooseEven uses no report: the other daemons choose in the same way for similar demand, so this daemon's
// mean load at a target, times their number, is what they are expected to have there, including the work that only the primary serves.
// first returns a random number below its argument; it selects among equals.
func ChooseEven(list []Candidate, now clock.Millis, n Need, first func(n int) int) (int, Reason) {
	fastest := math.Inf(1)
	for i := range list {
		if !list[i].Failing {
			fastest = min(fastest, list[i].Latency)
		}
	}
	return choose(list, now, &n, first(max(1, len(list))), func(c *Candidate) float64 {
		return estimateEvenCost(c, now, &n, min(fastest, c.Latency))
	})
}

// estimateEvenCost returns the cost of the statement at the target: the expected statements per slot, as the time of a statement at the
// fastest target, plus the costs that do not depend on the load.
func estimateEvenCost(c *Candidate, now clock.Millis, n *Need, fastest float64) float64 {
	others := float64(max(1, c.Choosers)-1) * c.MeanLoad
	load := (1 + ownLoadWeight*float64(c.Load) + others) / (float64(max(c.Slots, 1)) * c.SlowStart.share(now))
	load *= max(1, c.Latency/(slowFactor*fastest))
	if c.Primary && !n.PreferPrimary && !n.PrimaryOnly {
		load *= primaryFactor
	}
	if c.DataCentre != n.DataCentre {
		load += remoteLoad
	}
	return fastest*load + fixedCost(c, now, n)
}

// TargetLoad is the load of a target over some time: the mean number of statements there, and of those that another target could have
// served.
type TargetLoad struct {
	Slots        int
	All, Movable float64
}

// Imbalance returns the load per slot of the busiest target and the mean of the group. What others could not have served
// does not count: neither towards the busiest target nor, on a target where it exceeds the mean, towards the mean.
func Imbalance(list []TargetLoad) (busiest, mean float64) {
	mean = meanLoad(list, func(TargetLoad) bool { return true })
	mean = meanLoad(list, func(t TargetLoad) bool { return t.All-t.Movable <= mean*float64(t.Slots) })
	busiest = mean
	for _, t := range list {
		slots := float64(max(t.Slots, 1))
		busiest = max(busiest, mean+min(t.All/slots-mean, t.Movable/slots))
	}
	return busiest, mean
}

func meanLoad(list []TargetLoad, counts func(TargetLoad) bool) float64 {
	load, slots := 0.0, 0
	for _, t := range list {
		if counts(t) {
			load += t.All
			slots += t.Slots
		} else {
			load += t.Movable
		}
	}
	return load / float64(max(slots, 1))
}
