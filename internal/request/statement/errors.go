package statement

import "errors"

// ErrTerminated means that the caller has ended the session with a terminate message.
var ErrTerminated = errors.New("caller ended the session")

// MessageError reports a caller's message that is malformed or too large.
type MessageError struct {
	// ID is that of the statement; empty if the message has none.
	ID   ID
	Code Code
	// Reason is sent to the caller as the text of the error.
	Reason string
	// Fatal ends the session; otherwise the session continues with the next message.
	Fatal bool
}

// Error returns the reason with a prefix.
func (e *MessageError) Error() string { return "malformed message: " + e.Reason }

// Refusal is the error that a caller receives in place of a reply.
type Refusal struct {
	Code Code
	// Text is sent to the caller.
	Text string
}

// Error returns the code and the text.
func (r *Refusal) Error() string { return r.Code.String() + ": " + r.Text }
