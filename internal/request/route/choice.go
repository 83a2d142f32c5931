package route

import "github.com/cactusfork/cactusfork/internal/version/group"

// Kind is the action that Choose selects for a request.
type Kind int

// The kinds of choice.
const (
	// Wait means that no target can serve the request yet; the caller of Choose tries again when the view changes.
	Wait Kind = iota + 1
	// Refuse means that the request fails whatever the next view contains.
	Refuse
	// Primary means that the request goes to Choice.Target, which is the primary.
	Primary
	// Replica means that the read goes to Choice.Target, which is a replica.
	Replica
)

// String returns the name of the kind as logs show it.
func (k Kind) String() string {
	switch k {
	case Wait:
		return "wait"
	case Refuse:
		return "refuse"
	case Primary:
		return "primary"
	case Replica:
		return "replica"
	default:
		return "none"
	}
}

// Reason explains a choice.
type Reason string

// The reasons.
const (
	// ReasonWrite sends a write to the primary.
	ReasonWrite Reason = "write"
	// ReasonFresh sends a read to a target whose log is proven to be fresh enough.
	ReasonFresh Reason = "fresh"
	// ReasonNoReplica sends a read to a primary that has outstanding writes, because no replica is proven to be fresh enough.
	ReasonNoReplica Reason = "no-replica"
	// ReasonChanging makes a write wait while a change of primary is under way.
	ReasonChanging Reason = "changing"
	// ReasonNoPrimary makes a write wait because no target is known to be primary.
	ReasonNoPrimary Reason = "no-primary"
	// ReasonFenced makes a write wait because a majority has promised a later term than that of the primary.
	ReasonFenced Reason = "fenced"
	// ReasonNeedsSample makes a read wait for a sample that is recent enough for it.
	ReasonNeedsSample Reason = "needs-sample"
	// ReasonLagging makes a read wait because no target is proven to have applied the required point.
	ReasonLagging Reason = "lagging"
	// ReasonDeadline refuses a request whose deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonNoTargets refuses a request because the group has no targets.
	ReasonNoTargets Reason = "no-targets"
)

// Choice is the result of Choose: the target of a request, or the reason why there is none.
type Choice struct {
	// Target is set if Kind is Primary or Replica.
	Target group.TargetID
	Kind   Kind
	Reason Reason
}
