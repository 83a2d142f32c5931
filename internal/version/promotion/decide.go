package promotion

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Timeouts holds the timeouts after which a primary counts as failed.
type Timeouts struct {
	// Refusing is how long a primary must refuse connections before it is replaced.
	Refusing clock.Millis
	// Silent is how long a primary must leave requests unanswered before it is replaced.
	Silent clock.Millis
	// Missing is how long a group must have no target that reports itself as primary before one is promoted.
	Missing clock.Millis
	// Lost is how long no target that may hold a group's newest term must be registered before one of an earlier term is promoted.
	Lost clock.Millis
	// ReceiptMaxAge is how long log received by a replica counts as proof that the primary is alive.
	// It spans two status rounds, one of which waits for a silent target.
	ReceiptMaxAge clock.Millis
}

// DefaultTimeouts returns timeouts that balance a short failover gap against the risk of replacing a live primary.
//
// Lost covers a target that is silent for 7 s, the longest silence of the deployments: its entry expires after 3.6 s, and is written
// again up to 1.2 s after its return.
func DefaultTimeouts() Timeouts {
	return Timeouts{Refusing: 300, Silent: 700, Missing: 800, Lost: 10_000, ReceiptMaxAge: 1000}
}

// Member is this daemon's view of one target of a group.
type Member struct {
	ID group.TargetID
	// StartedAt is when the target started, as in Holder.
	StartedAt int64
	Draining  bool
	// Unreported is true if the target did not report its position when a successor was sought.
	Unreported bool
	// Leader is true for the target that this daemon takes to be the primary.
	Leader bool
	// Answered is the time of the target's last reply; 0 if it has never answered.
	Answered clock.Millis
	// FailingSince is the time of the first failure after the last reply; 0 if there is none.
	FailingSince clock.Millis
	// Refusing is true if the target's host refuses connections, and false if it is silent.
	Refusing bool
	// Received is the last log point that the target reports it holds.
	Received position.Point
	// Receipt records what the target is known to have received, and when.
	Receipt Receipt
	// MayResume is true if a pause of the target may end at any time, as it has not answered an earlier resume command.
	MayResume bool
}

// Action is the decision about a group's primary.
type Action int

// The actions.
const (
	// Nothing means that the group needs no action: its primary answers, and no handover is due or possible.
	Nothing Action = iota
	// Probe means to ask every target for its role and the last log point it holds.
	Probe
	// Replace means to promote another target without the cooperation of the primary.
	Replace
	// HandOver means to move the primary role away from a primary that is about to stop.
	HandOver
)

// String returns the name of the action as it appears in logs.
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

// Decide returns the action for a group at time now.
//
// noPrimarySince is the time since when the group has no known primary; it is read only if no member is Leader.
// storeSince is the time since when this daemon reaches the store, and 0 while it does not.
// Failures seen before storeSince do not count, as the daemon itself may have been isolated.
func Decide(members []Member, now, noPrimarySince, storeSince clock.Millis, timeouts Timeouts) Action {
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

// replaceOrProbe returns Replace once the primary has been absent or failing for limit and no replica proves it alive.
func replaceOrProbe(members []Member, now, since, storeSince, limit clock.Millis, timeouts Timeouts) Action {
	since = max(since, storeSince)
	if storeSince == 0 || now-since < limit || !hasSuccessor(members, true) {
		return Probe
	}
	for i := range members {
		m := &members[i]
		if !m.Leader && m.Receipt.After >= since && m.Receipt.SeenAt > 0 && now-m.Receipt.SeenAt < timeouts.ReceiptMaxAge {
			// The primary still sends its log to a replica, so only the path from this daemon has failed.
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

// hasSuccessor reports whether a target other than the primary can be promoted; with mustHaveReplied, only targets that have replied count.
func hasSuccessor(members []Member, mustHaveReplied bool) bool {
	for i := range members {
		m := &members[i]
		if !m.Leader && !m.Draining && m.FailingSince == 0 && (m.Answered > 0 || !mustHaveReplied) {
			return true
		}
	}
	return false
}

// BestCandidate returns the index of the target to promote, which is the one with the highest received point, or -1 if there is none.
// Received must be up to date in every member.
//
// A target whose log ends before the newest known term is skipped, as it would restore writes that a later primary has replaced. Of targets
// that hold the same, one that may resume by itself is preferred, see PreventsCommits.
func BestCandidate(members []Member, newest position.Term) int {
	best := -1
	for i := range members {
		m := &members[i]
		if m.Leader || m.Draining || m.FailingSince > 0 || m.Received.Term < newest {
			continue
		}
		if best < 0 || members[best].Received.Before(m.Received) ||
			m.MayResume && !members[best].MayResume && !m.Received.Before(members[best].Received) {
			best = i
		}
	}
	return best
}
