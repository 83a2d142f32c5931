package placement

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// farCost is what a target in another data centre costs over one nearby, in milliseconds: the longer way and the priced bytes.
	farCost = 4.0
	// behindCost is what a target costs whose last known place lacks the floor, in milliseconds: a vain round trip is likely.
	behindCost = 40.0
	// placeLife is for how long the place where a target was seen tells where it is, in milliseconds.
	placeLife clock.Millis = 250
	// leaderFactor is what a read at the primary costs over one at a replica, so that writes find slots there.
	leaderFactor = 1.3
	// failingCost is what a target costs that did not answer last, in milliseconds.
	failingCost = 2000.0
)

// Candidate is a target as this daemon knows it.
type Candidate struct {
	ID         group.TargetID
	DataCentre group.DataCentre
	Slots      int
	// Leader is true for the target that is believed to be the primary.
	Leader bool
	// Leaving is true for a target that takes no new work as soon as another can.
	Leaving bool
	// Left is true for a target that has been leaving for so long that nothing may reach it any more.
	Left bool
	// Failing is true while the target has not answered since its last failure.
	Failing bool
	// RestUntil is until when the target is left alone after a failure or a refusal.
	RestUntil clock.Millis
	// Load is the number of statements of this daemon at work and waiting there.
	Load int
	// Latency is the usual time of a statement there, in milliseconds.
	Latency float64
	// Place is the last point at which the target was seen, at PlaceAt.
	Place   position.Point
	PlaceAt clock.Millis
	// Behind is for how long yet the target is expected to lack the floor.
	Behind clock.Millis
}

// Need is what a statement asks of a target.
type Need struct {
	// Leader is true for work that only the primary does.
	Leader bool
	// PreferLeader is true for reads whose floor only the primary is likely to hold.
	PreferLeader bool
	// Floor is the point that the target's log must hold.
	Floor      position.Point
	DataCentre group.DataCentre
	// Tried are the targets that have refused the statement already.
	Tried []group.TargetID
}

// Reason is why no target was chosen.
type Reason string

// The reasons.
const (
	// Chosen means that there is a target.
	Chosen Reason = ""
	// NoTarget means that the group has no target that could serve.
	NoTarget Reason = "no-target"
	// NoLeader means that no target is known to take writes.
	NoLeader Reason = "no-leader"
	// Resting means that all targets that fit have just failed.
	Resting Reason = "resting"
	// AllTried means that all targets that fit have refused the statement.
	AllTried Reason = "all-tried"
)

// Choose returns the index of the cheapest target that fits, or why there is none.
func Choose(list []Candidate, now clock.Millis, n Need) (int, Reason) {
	best, bestCost, why := -1, 0.0, NoTarget
	if n.Leader {
		why = NoLeader
	}
	for i := range list {
		c := &list[i]
		switch {
		case n.Leader && !c.Leader, c.Left:
			continue
		case tried(n.Tried, c.ID):
			why = AllTried
			continue
		case now < c.RestUntil:
			if why != AllTried {
				why = Resting
			}
			continue
		}
		if cost := costOf(c, now, &n); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return best, why
	}
	return best, Chosen
}

func tried(list []group.TargetID, id group.TargetID) bool {
	for _, t := range list {
		if t == id {
			return true
		}
	}
	return false
}

// costOf estimates how long the statement takes at the target in milliseconds, with what its use costs others.
func costOf(c *Candidate, now clock.Millis, n *Need) float64 {
	cost := c.Latency * (1 + float64(c.Load)/float64(max(c.Slots, 1)))
	if c.Leader && !n.PreferLeader && !n.Leader {
		cost *= leaderFactor
	}
	if c.DataCentre != n.DataCentre {
		cost += farCost
	}
	if !c.Leader && (c.Behind > 0 || c.Place.Before(n.Floor) && now-c.PlaceAt <= placeLife) {
		cost += behindCost + float64(c.Behind)
	}
	if n.PreferLeader && !c.Leader {
		cost += behindCost
	}
	if c.Failing || c.Leaving {
		cost += failingCost
	}
	return cost
}
