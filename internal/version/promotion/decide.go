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

// Decide says what to do about a group that has had no primary since leaderless (0: it has one), by a daemon that has reached the store since storeSince (0: it does not).
//
// What was seen while the store was away counts for nothing, as the daemon itself may have been cut off.
func Decide(list []Member, now, leaderless, storeSince clock.Millis, s Settings) Action {
	leader := find(list)
	if leader == nil {
		return afterLoss(list, now, leaderless, storeSince, s.Missing, s)
	}
	if leader.FailingSince > 0 {
		limit := s.Silent
		if leader.Refusing {
			limit = s.Refusing
		}
		return afterLoss(list, now, leader.FailingSince, storeSince, limit, s)
	}
	if leader.Draining && storeSince > 0 && successor(list, false) {
		return HandOver
	}
	return Nothing
}

func afterLoss(list []Member, now, since, storeSince, limit clock.Millis, s Settings) Action {
	since = max(since, storeSince)
	if storeSince == 0 || now-since < limit || !successor(list, true) {
		return Probe
	}
	for i := range list {
		m := &list[i]
		if !m.Leader && m.Receipt.After >= since && m.Receipt.SeenAt > 0 && now-m.Receipt.SeenAt < s.Advance {
			// The primary still sends its log: it is cut off from this daemon alone.
			return Probe
		}
	}
	return Replace
}

func find(list []Member) *Member {
	for i := range list {
		if list[i].Leader {
			return &list[i]
		}
	}
	return nil
}

// successor reports whether a target other than the leader could follow it; heard asks for one that has answered.
func successor(list []Member, heard bool) bool {
	for i := range list {
		m := &list[i]
		if !m.Leader && !m.Draining && m.FailingSince == 0 && (m.Answered > 0 || !heard) {
			return true
		}
	}
	return false
}

// Enough reports whether those that say what they hold must include one that holds every commit acknowledged by so many synchronous replicas.
func Enough(list []Member, synchronous int) bool {
	if synchronous == 0 {
		return true
	}
	replicas, heard := 0, 0
	for i := range list {
		if list[i].Leader {
			continue
		}
		replicas++
		if !list[i].Draining && list[i].FailingSince == 0 {
			heard++
		}
	}
	return heard > replicas-synchronous
}

// Best returns the index of the target to promote, or -1: the one that holds most, by those that were asked just now.
//
// One whose log ends in a term before the newest that is known would bring back what a later primary has replaced.
func Best(list []Member, newest position.Term) int {
	best := -1
	for i := range list {
		m := &list[i]
		if m.Leader || m.Draining || m.FailingSince > 0 || m.Received.Term < newest {
			continue
		}
		if best < 0 || list[best].Received.Before(m.Received) {
			best = i
		}
	}
	return best
}
