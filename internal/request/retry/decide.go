package retry

import (
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// MaxTries is how often one request is sent at most.
const MaxTries = 10

// Stage is how far a try got.
type Stage int

// The stages.
const (
	// NotSent means that no byte of the request was written to a target.
	NotSent Stage = iota
	// Sent means that some of the request was written and nothing of an answer was forwarded.
	Sent
	// Forwarded means that part of the answer went to the caller.
	Forwarded
)

// Attempt is the state of a request whose try failed.
type Attempt struct {
	Request service.Request
	Stage   Stage
	// Tries counts the tries so far, the failed one among them.
	Tries int
	// Deadline is when the caller gives up; 0 means never.
	Deadline clock.Millis
	// Pinned is true inside a transaction that has begun on its target, where a statement cannot be repeated alone.
	Pinned bool
}

// Failure is why a try failed.
type Failure int

// The failures.
const (
	// NoTarget means that no target fits yet, so nothing was tried.
	NoTarget Failure = iota + 1
	// NoConnection means that no connection could be had.
	NoConnection
	// Full means that the target refused for want of room before running anything.
	Full
	// ReadOnly means that the target refused a write since it is no primary.
	ReadOnly
	// Lost means that the connection broke or the target stopped.
	Lost
	// Unacknowledged means that a write ran but no majority is known to hold it.
	Unacknowledged
	// Late means that the deadline passed.
	Late
)

// Kind is what to do after a failure.
type Kind int

// The kinds of decision.
const (
	// Retry means to choose a target again after a pause.
	Retry Kind = iota + 1
	// Refuse means to answer with a refusal.
	Refuse
	// Unknown means to answer that the write may or may not have taken effect.
	Unknown
)

// Decision is what to do with a request whose try failed.
type Decision struct {
	Kind Kind
	// After is the pause before a retry.
	After clock.Millis
	// Refusal is the answer for Refuse and Unknown.
	Refusal *refusal.Error
}

// Policy decides by one budget of retries.
type Policy struct {
	Budget  *Budget
	BackOff BackOff
}

// Decide returns what to do at now with a request whose try failed with f.
func (p *Policy) Decide(now clock.Millis, a Attempt, f Failure) Decision {
	if notRun(f) && a.Stage != Forwarded {
		a.Stage = NotSent
	}
	// A write that is said to have run was sent, whatever the attempt says.
	if f == Unacknowledged {
		a.Stage = max(a.Stage, Sent)
	}
	if !repeatable(a) {
		return final(a, f)
	}
	return p.repeat(now, a, f)
}

// notRun reports whether the target said, or was never asked, so that nothing ran.
func notRun(f Failure) bool {
	switch f {
	case NoTarget, NoConnection, Full, ReadOnly:
		return true
	default:
		return false
	}
}

// repeatable reports whether running the request again cannot double anything; even a write that
// its file calls idempotent is not repeated, as another caller's write may have come between.
func repeatable(a Attempt) bool {
	if a.Pinned {
		return false
	}
	return a.Stage == NotSent || a.Stage == Sent && a.Request.Kind == service.Read
}

func (p *Policy) repeat(now clock.Millis, a Attempt, f Failure) Decision {
	if f == Late || a.Deadline != 0 && now >= a.Deadline {
		return final(a, f)
	}
	pause := p.BackOff.Pause(a.Tries)
	if f == NoTarget {
		return Decision{Kind: Retry, After: within(pause, now, a.Deadline)}
	}
	late := a.Deadline != 0 && now+pause >= a.Deadline
	if late || a.Tries >= MaxTries || !p.Budget.Take(now) {
		return final(a, f)
	}
	return Decision{Kind: Retry, After: pause}
}

// within shortens a pause to end at the deadline; waiting for a target costs the targets nothing, and the target may come sooner.
func within(pause, now, deadline clock.Millis) clock.Millis {
	if deadline == 0 {
		return pause
	}
	return min(pause, deadline-now)
}

// final returns the answer to a request that is not repeated.
func final(a Attempt, f Failure) Decision {
	if a.Stage == NotSent {
		return Decision{Kind: Refuse, Refusal: unsent(f)}
	}
	if a.Request.Kind == service.Write {
		return Decision{Kind: Unknown, Refusal: refusal.UnknownOutcome("the connection to the primary failed after the write was sent")}
	}
	if f == Late {
		return Decision{Kind: Refuse, Refusal: refusal.ReadDeadline("deadline passed while the read was at work")}
	}
	return Decision{Kind: Refuse, Refusal: refusal.Interrupted("the target failed while the read was at work")}
}

func unsent(f Failure) *refusal.Error {
	switch f {
	case Late:
		return refusal.Deadline("deadline passed before the request was sent")
	case Full:
		return refusal.Overloaded("the target has no room")
	default:
		return refusal.NoPrimary("no fitting target before the deadline")
	}
}
