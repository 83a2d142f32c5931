package promotion

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Settings are the times by which a primary is held to have failed.
type Settings struct {
	// Refusing is how long a primary must refuse connections.
	Refusing clock.Millis
	// Silent is how long a primary must leave questions unanswered.
	Silent clock.Millis
	// Missing is how long a group must have no target that says it is the primary.
	Missing clock.Millis
	// Advance is for how long something received by a replica shows that the primary is alive: two rounds of questions, one of which waits for a silent target.
	Advance clock.Millis
}

// DefaultSettings weigh the failover gap against replacing a primary that lives.
func DefaultSettings() Settings {
	return Settings{Refusing: 300, Silent: 700, Missing: 800, Advance: 1000}
}

// Member is a target of a group as this daemon knows it.
type Member struct {
	ID       group.TargetID
	Draining bool
	// Leader is true for the target that is believed to be the primary.
	Leader bool
	// Answered is when the target last answered; 0 when it never did.
	Answered clock.Millis
	// FailingSince is when the first failure came that no answer has followed; 0 while there is none.
	FailingSince clock.Millis
	// Refusing is true when the target's host refuses connections, rather than being silent.
	Refusing bool
	// Received is the last point that the target says it holds.
	Received position.Point
	// Receipt is what it is known to have received, and when.
	Receipt Receipt
}

// Action is what to do about a group's primary.
type Action int

// The actions.
const (
	// Nothing means that there is a primary, or that it is not yet sure that there is none.
	Nothing Action = iota
	// Probe means to ask all targets whether they lead and what they hold.
	Probe
	// Replace means to promote another target without the primary's help.
	Replace
	// HandOver means to move the lead from a primary that is about to stop.
	HandOver
)

// String names the action as logs show it.
func (a Action) String() string {
	switch a {
	case Probe:
		return "probe"
	case Replace:
		return "replace"
	case HandOver:
		return "hand-over"
	default:
		return "nothing"
	}
}

// Decide says what to do about a group that has had no primary since noPrimarySince (0: it has one), by a daemon that has reached the store since storeSince (0: it does not).
//
// What was seen while the store was away counts for nothing, as the daemon itself may have been cut off.
func Decide(members []Member, now, noPrimarySince, storeSince clock.Millis, timeouts Settings) Action {
	primary := findPrimary(members)
	if primary == nil {
		return replaceOrProbe(members, now, noPrimarySince, storeSince, timeouts.Missing, timeouts)
	}
	if primary.FailingSince > 0 {
		limit := timeouts.Silent
		if primary.Refusing {
			limit = timeouts.Refusing
		}
		return replaceOrProbe(members, now, primary.FailingSince, storeSince, limit, timeouts)
	}
	if primary.Draining && storeSince > 0 && hasSuccessor(members, false) {
		return HandOver
	}
	return Nothing
}

func replaceOrProbe(members []Member, now, since, storeSince, limit clock.Millis, timeouts Settings) Action {
	since = max(since, storeSince)
	if storeSince == 0 || now-since < limit || !hasSuccessor(members, true) {
		return Probe
	}
	for i := range members {
		m := &members[i]
		if !m.Leader && m.Receipt.After >= since && m.Receipt.SeenAt > 0 && now-m.Receipt.SeenAt < timeouts.Advance {
			// The primary still sends its log: it is cut off from this daemon alone.
			return Probe
		}
	}
	return Replace
}

func findPrimary(members []Member) *Member {
	for i := range members {
		if members[i].Leader {
			return &members[i]
		}
	}
	return nil
}

// hasSuccessor reports whether a target other than the leader could follow it; mustAnswer asks for one that has answered.
func hasSuccessor(members []Member, mustAnswer bool) bool {
	for i := range members {
		m := &members[i]
		if !m.Leader && !m.Draining && m.FailingSince == 0 && (m.Answered > 0 || !mustAnswer) {
			return true
		}
	}
	return false
}

// Enough reports whether those that say what they hold must include one that holds every commit acknowledged by so many synchronous replicas.
func Enough(members []Member, synchronous int) bool {
	if synchronous == 0 {
		return true
	}
	replicas, answering := 0, 0
	for i := range members {
		if members[i].Leader {
			continue
		}
		replicas++
		if !members[i].Draining && members[i].FailingSince == 0 {
			answering++
		}
	}
	return answering > replicas-synchronous
}

// Best returns the index of the target to promote, or -1: the one that holds most, by those that were asked just now.
//
// One whose log ends in a term before the newest that is known would bring back what a later primary has replaced.
func Best(members []Member, newest position.Term) int {
	best := -1
	for i := range members {
		m := &members[i]
		if m.Leader || m.Draining || m.FailingSince > 0 || m.Received.Term < newest {
			continue
		}
		if best < 0 || members[best].Received.Before(m.Received) {
			best = i
		}
	}
	return best
}
