package refusal

import "fmt"

// Code is an SQLSTATE of five characters.
type Code = string

// The SQLSTATEs that the proxy answers with.
const (
	// UnknownOutcomeCode says that a write may or may not have taken effect.
	UnknownOutcomeCode Code = "08007"
	// OverloadedCode says that no slot came free.
	OverloadedCode Code = "53300"
	// NoPrimaryCode says that no primary, or no target fresh enough, was there in time.
	NoPrimaryCode Code = "57P03"
	// DrainingCode says that this daemon is going and takes no new requests.
	DrainingCode Code = "57P01"
	// DeadlineCode says that the request's deadline passed.
	DeadlineCode Code = "57014"
	// UnknownServiceCode says that no service of that name is published.
	UnknownServiceCode Code = "3D000"
	// BadTokenCode says that the session's token cannot be used.
	BadTokenCode Code = "22023"
)

// NotRunDetail is the detail of a refusal whose request has certainly had no effect.
const NotRunDetail = "not run"

// CutOffDetail is the detail of a refusal whose read was at work; it had no effect, but may have run.
const CutOffDetail = "the read was cut off"

// Error is a refusal as the caller sees it.
type Error struct {
	Code    Code
	Message string
	Detail  string
	// NotRun is true only when the request has certainly had no effect.
	NotRun bool
}

// Error writes the code, the message and the detail on one line.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Detail)
}

// Is reports whether target is a refusal with the same code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// UnknownOutcome refuses a write that was sent and whose effect is not known.
func UnknownOutcome(message string) *Error {
	return &Error{Code: UnknownOutcomeCode, Message: message, Detail: "the write may or may not have taken effect"}
}

// Interrupted refuses a read that was sent and failed, and is not repeated.
func Interrupted(message string) *Error {
	return &Error{Code: NoPrimaryCode, Message: message, Detail: CutOffDetail}
}

// Overloaded refuses a request for which no slot came free.
func Overloaded(message string) *Error { return notRun(OverloadedCode, message) }

// NoPrimary refuses a request for which no fitting target was there before the deadline.
func NoPrimary(message string) *Error { return notRun(NoPrimaryCode, message) }

// Draining refuses a request because this daemon is going.
func Draining(message string) *Error { return notRun(DrainingCode, message) }

// Deadline refuses a request whose deadline passed before any of it was sent.
func Deadline(message string) *Error { return notRun(DeadlineCode, message) }

// ReadDeadline refuses a read whose deadline passed while it was at work.
func ReadDeadline(message string) *Error {
	return &Error{Code: DeadlineCode, Message: message, Detail: CutOffDetail}
}

// UnknownService refuses a session for a service that is not published.
func UnknownService(message string) *Error { return notRun(UnknownServiceCode, message) }

// BadToken refuses a session's token.
func BadToken(message string) *Error { return notRun(BadTokenCode, message) }

func notRun(code Code, message string) *Error {
	return &Error{Code: code, Message: message, Detail: NotRunDetail, NotRun: true}
}
