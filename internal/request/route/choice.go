package route

import "github.com/cactusfork/cactusfork/internal/version/group"

// Kind is what to do with a request now.
type Kind int

// The kinds of choice.
const (
	// Wait means that no target fits yet; choose again when the view changes.
	Wait Kind = iota + 1
	// Refuse means that no later view can help this request.
	Refuse
	// Primary means to send the request to the target, which is the primary.
	Primary
	// Replica means to send the read to the target, which is a replica.
	Replica
)

// String names the kind as logs show it.
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

// Reason is why a choice was made.
type Reason string

// The reasons.
const (
	// ReasonWrite sends a write to the primary.
	ReasonWrite Reason = "write"
	// ReasonFresh sends a read to a target that is proven fresh enough.
	ReasonFresh Reason = "fresh"
	// ReasonNoReplica sends a read to a primary with writes to do, since no replica is proven fresh enough.
	ReasonNoReplica Reason = "no-replica"
	// ReasonChanging waits for the next primary.
	ReasonChanging Reason = "changing"
	// ReasonNoPrimary waits since no target is known to be primary.
	ReasonNoPrimary Reason = "no-primary"
	// ReasonFenced waits since a majority has promised a later term than the primary's.
	ReasonFenced Reason = "fenced"
	// ReasonNeedsSample waits for a sample that is new enough for the read.
	ReasonNeedsSample Reason = "needs-sample"
	// ReasonLagging waits since no target has applied enough.
	ReasonLagging Reason = "lagging"
	// ReasonDeadline refuses since the deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonNoTargets refuses since the group has no targets.
	ReasonNoTargets Reason = "no-targets"
)

// Choice is where a request goes, or why it does not go yet.
type Choice struct {
	// Target is set for Primary and Replica.
	Target group.TargetID
	Kind   Kind
	Reason Reason
}
