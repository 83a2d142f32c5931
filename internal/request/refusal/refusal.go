package refusal

import "fmt"

// Code is an SQLSTATE of five characters.
type Code = string

// The SQLSTATEs of refusals.
const (
	// UnknownOutcomeCode means that a write may or may not have taken effect.
	UnknownOutcomeCode Code = "08007"
	// OverloadedCode means that no slot became free.
	OverloadedCode Code = "53300"
	// NoPrimaryCode means that no primary, or no target that has reached the floor, became available in time, or that a read was interrupted.
	NoPrimaryCode Code = "57P03"
	// DrainingCode means that this daemon is shutting down and accepts no new requests.
	DrainingCode Code = "57P01"
	// DeadlineCode means that the deadline of the request passed.
	DeadlineCode Code = "57014"
	// UnknownServiceCode means that no service with the requested name is published.
	UnknownServiceCode Code = "3D000"
	// BadTokenCode means that the token of the session is invalid.
	BadTokenCode Code = "22023"
)

// NotRunDetail is the detail of a refusal whose request certainly had no effect.
const NotRunDetail = "not run"

// ReadInterruptedDetail is the detail of a refusal whose read had been sent: it had no effect, but may have run.
const ReadInterruptedDetail = "the read was cut off"

// Error is a refusal as sent to the caller.
type Error struct {
	Code    Code
	Message string
	Detail  string
	// NotRun is true only if the request certainly had no effect.
	NotRun bool
}

// Error returns the code, the message and the detail on one line.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Detail)
}

// Is reports whether target is an *Error with the same code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// UnknownOutcome refuses a write that was sent and whose effect is unknown.
func UnknownOutcome(message string) *Error {
	return &Error{Code: UnknownOutcomeCode, Message: message, Detail: "the write may or may not have taken effect"}
}

// Interrupted refuses a read that failed after it was sent and is not retried.
func Interrupted(message string) *Error {
	return &Error{Code: NoPrimaryCode, Message: message, Detail: ReadInterruptedDetail}
}

// Overloaded refuses a request for which no slot became free.
func Overloaded(message string) *Error { return notRun(OverloadedCode, message) }

// NoPrimary refuses a request for which no suitable target became available before the deadline.
func NoPrimary(message string) *Error { return notRun(NoPrimaryCode, message) }

// Draining refuses a request because this daemon is shutting down.
func Draining(message string) *Error { return notRun(DrainingCode, message) }

// Deadline refuses a request whose deadline passed before any of it was sent.
func Deadline(message string) *Error { return notRun(DeadlineCode, message) }

// ReadDeadline refuses a read whose deadline passed while it was running.
func ReadDeadline(message string) *Error {
	return &Error{Code: DeadlineCode, Message: message, Detail: ReadInterruptedDetail}
}

// UnknownService refuses a session for a service that is not published.
func UnknownService(message string) *Error { return notRun(UnknownServiceCode, message) }

// BadToken refuses the token of a session.
func BadToken(message string) *Error { return notRun(BadTokenCode, message) }

func notRun(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Detail: NotRunDetail, NotRun: true}
}
