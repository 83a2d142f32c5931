package placement

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// remoteCost is the extra cost of a target in another data centre, in milliseconds: the longer round trip and the charge per transferred byte.
	remoteCost = 4.0
	// lagCost is the extra cost of a target whose last known point is below the floor, in milliseconds: the round trip is likely to be wasted.
	lagCost = 40.0
	// pointMaxAge is how long the last known point of a target is considered current, in milliseconds.
	pointMaxAge clock.Millis = 250
	// primaryFactor multiplies the cost of a read at the primary, which keeps slots there free for writes.
	primaryFactor = 1.3
	// failingCost is the extra cost of a leaving target, or of one whose last request got no answer, in milliseconds.
	failingCost = 2000.0
)

// Candidate is the state of a target as seen by this daemon.
type Candidate struct {
	ID         group.TargetID
	DataCentre group.DataCentre
	Slots      int
	// Primary is true for the target that this daemon believes to be the primary.
	Primary bool
	// Leaving is true for a target that gets new work only when no other target can serve it.
	Leaving bool
	// Departed is true for a target whose time to leave has run out: it gets no more work.
	Departed bool
	// Failing is true from a failure of the target until its next answer.
	Failing bool
	// BackoffUntil is the end of the backoff after a failure or a refusal; the target gets no work before.
	BackoffUntil clock.Millis
	// Load is the number of this daemon's statements that run or wait at the target.
	Load int
	// MeanLoad is the mean number of this daemon's statements at the target in the last moments.
	MeanLoad float64
	// Choosers is the number of daemons that choose among the targets of the group, this one included; 0 if it is not known.
	Choosers int
	// SlowStart is when the target gets less work than others because it has just returned.
	SlowStart SlowStart
	// Latency is the usual duration of a statement at the target, in milliseconds.
	Latency float64
	// Point is the last point that the target reported.
	Point position.Point
	// PointAt is the time of that report.
	PointAt clock.Millis
	// OpenCost is how long the statement would wait for a new connection to the target, in milliseconds; 0 if a connection is idle.
	OpenCost float64
	// ExpectedLag is how long the target is expected to stay below the floor, in milliseconds.
	ExpectedLag clock.Millis
}

// Need lists the requirements of a statement on its target.
type Need struct {
	// PrimaryOnly is true for a statement that only the primary can serve.
	PrimaryOnly bool
	// PreferPrimary is true for a read whose floor only the primary is likely to have reached.
	PreferPrimary bool
	// Floor is the point that the target's log must have reached.
	Floor      position.Point
	DataCentre group.DataCentre
	// Tried lists the targets that have already refused the statement.
	Tried []group.TargetID
}

// Reason says why no target was chosen.
type Reason string

// The reasons.
const (
	// Chosen means that a target was chosen.
	Chosen Reason = ""
	// NoTarget means that the group has no target that can serve the statement.
	NoTarget Reason = "no-target"
	// NoPrimary means that no known target accepts writes.
	NoPrimary Reason = "no-leader"
	// BackingOff means that every suitable target is in a backoff after a failure or a refusal.
	BackingOff Reason = "resting"
	// AllTried means that a suitable target has already refused the statement and no other is available.
	AllTried Reason = "all-tried"
)

// Choose returns the index of the cheapest suitable target, or -1 and the reason why there is none.
func Choose(list []Candidate, now clock.Millis, n Need) (int, Reason) {
	return choose(list, now, &n, 0, func(c *Candidate) float64 { return estimateCost(c, now, &n) })
}

// choose returns the index of the suitable target with the lowest cost, or -1 and the reason why there is none. Among equals, it
// takes the one that comes first in the list from index first on.
func choose(list []Candidate, now clock.Millis, n *Need, first int, cost func(c *Candidate) float64) (int, Reason) {
	best, bestCost, reason := -1, 0.0, NoTarget
	if n.PrimaryOnly {
		reason = NoPrimary
	}
	for k := range list {
		i := (first + k) % len(list)
		c := &list[i]
		switch {
		case n.PrimaryOnly && !c.Primary, c.Departed:
			continue
		case containsTarget(n.Tried, c.ID):
			reason = AllTried
			continue
		case now < c.BackoffUntil:
			if reason != AllTried {
				reason = BackingOff
			}
			continue
		}
		if cost := cost(c); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return best, reason
	}
	return best, Chosen
}

func containsTarget(list []group.TargetID, id group.TargetID) bool {
	for _, t := range list {
		if t == id {
			return true
		}
	}
	return false
}

// estimateCost returns the estimated duration of the statement at the target in milliseconds, plus the cost to other statements.
func estimateCost(c *Candidate, now clock.Millis, n *Need) float64 {
	cost := c.Latency * (1 + float64(c.Load)/float64(max(c.Slots, 1)))
	if c.Primary && !n.PreferPrimary && !n.PrimaryOnly {
		cost *= primaryFactor
	}
	if c.DataCentre != n.DataCentre {
		cost += remoteCost
	}
	return cost + fixedCost(c, now, n)
}

// fixedCost returns the cost of the statement at the target that depends neither on the load nor on the data centre, in milliseconds.
func fixedCost(c *Candidate, now clock.Millis, n *Need) float64 {
	cost := c.OpenCost
	if !c.Primary && (c.ExpectedLag > 0 || c.Point.Before(n.Floor) && now-c.PointAt <= pointMaxAge) {
		cost += lagCost + float64(c.ExpectedLag)
	}
	if n.PreferPrimary && !c.Primary {
		cost += lagCost
	}
	if c.Failing || c.Leaving {
		cost += failingCost
	}
	return cost
}
