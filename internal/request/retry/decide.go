package retry

import (
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// MaxTries is the maximum number of tries of one request.
const MaxTries = 10

// Stage is the progress of a try.
type Stage int

// The stages.
const (
	// NotSent means that no byte of the request was written to a target.
	NotSent Stage = iota
	// Sent means that at least a part of the request was written, and nothing of the answer was forwarded.
	Sent
	// Forwarded means that a part of the answer was forwarded to the caller.
	Forwarded
)

// Attempt is the state of a request after a failed try.
type Attempt struct {
	Request service.Request
	Stage   Stage
	// Tries counts the tries so far, including the failed one.
	Tries int
	// Deadline is when the caller gives up; 0 means never.
	Deadline clock.Millis
	// Pinned is true in a transaction that has begun on its target. A single statement of it cannot be retried.
	Pinned bool
}

// Failure is the reason why a try failed.
type Failure int

// The failures.
const (
	// NoTarget means that no target is suitable yet, so no try was made.
	NoTarget Failure = iota + 1
	// NoConnection means that no connection could be obtained.
	NoConnection
	// TargetFull means that the target refused the request for lack of capacity before running anything.
	TargetFull
	// ReadOnly means that the target refused a write because it is not a primary.
	ReadOnly
	// ConnectionLost means that the connection broke or the target stopped.
	ConnectionLost
	// Unacknowledged means that a write ran but is not known to be stored by a majority.
	Unacknowledged
	// DeadlinePassed means that the deadline of the request passed.
	DeadlinePassed
)

// Kind is the action after a failed try.
type Kind int

// The kinds of decision.
const (
	// Retry means to select a target again after a delay.
	Retry Kind = iota + 1
	// Refuse means to answer with a refusal.
	Refuse
	// ReportUnknown means to answer that the write may or may not have taken effect.
	ReportUnknown
)

// Decision says how to proceed with a request after a failed try.
type Decision struct {
	Kind Kind
	// After is the delay before a retry, in milliseconds.
	After clock.Millis
	// Refusal is the answer for Refuse and ReportUnknown.
	Refusal *refusal.Error
}

// Policy decides about retries within a budget that all requests share.
type Policy struct {
	Budget  *Budget
	Backoff Backoff
}

// Decide returns how to proceed at now with a request whose try failed with f.
func (p *Policy) Decide(now clock.Millis, a Attempt, f Failure) Decision {
	if notExecuted(f) && a.Stage != Forwarded {
		a.Stage = NotSent
	}
	// A write that ran was sent, even if the attempt says otherwise.
	if f == Unacknowledged {
		a.Stage = max(a.Stage, Sent)
	}
	if !retryable(a) {
		return finalDecision(a, f)
	}
	return p.retry(now, a, f)
}

// notExecuted reports whether the failure proves that nothing ran: no target was asked, or the target said so.
func notExecuted(f Failure) bool {
	switch f {
	case NoTarget, NoConnection, TargetFull, ReadOnly:
		return true
	default:
		return false
	}
}

// retryable reports whether another try cannot apply or answer anything twice. A write is not retried once it was sent, even if
// its service file declares it idempotent, because another caller's write may have been applied in between.
func retryable(a Attempt) bool {
	if a.Pinned {
		return false
	}
	return a.Stage == NotSent || a.Stage == Sent && a.Request.Kind == service.Read
}

func (p *Policy) retry(now clock.Millis, a Attempt, f Failure) Decision {
	if f == DeadlinePassed || a.Deadline != 0 && now >= a.Deadline {
		return finalDecision(a, f)
	}
	delay := p.Backoff.Delay(a.Tries)
	if f == NoTarget {
		return Decision{Kind: Retry, After: capDelay(delay, now, a.Deadline)}
	}
	pastDeadline := a.Deadline != 0 && now+delay >= a.Deadline
	if pastDeadline || a.Tries >= MaxTries || !p.Budget.Take(now) {
		return finalDecision(a, f)
	}
	return Decision{Kind: Retry, After: delay}
}

// capDelay shortens a delay to end at the deadline. Waiting for a target puts no load on targets, and one may become available sooner.
func capDelay(delay, now, deadline clock.Millis) clock.Millis {
	if deadline == 0 {
		return delay
	}
	return min(delay, deadline-now)
}

// finalDecision returns the answer to a request that is not retried.
func finalDecision(a Attempt, f Failure) Decision {
	if a.Stage == NotSent {
		return Decision{Kind: Refuse, Refusal: refusalBeforeSend(f)}
	}
	if a.Request.Kind == service.Write {
		return Decision{Kind: ReportUnknown, Refusal: refusal.UnknownOutcome("the connection to the primary failed after the write was sent")}
	}
	if f == DeadlinePassed {
		return Decision{Kind: Refuse, Refusal: refusal.ReadDeadline("deadline passed while the read was at work")}
	}
	return Decision{Kind: Refuse, Refusal: refusal.Interrupted("the target failed while the read was at work")}
}

func refusalBeforeSend(f Failure) *refusal.Error {
	switch f {
	case DeadlinePassed:
		return refusal.Deadline("deadline passed before the request was sent")
	case TargetFull:
		return refusal.Overloaded("the target has no room")
	default:
		return refusal.NoPrimary("no fitting target before the deadline")
	}
}
