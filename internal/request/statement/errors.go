package statement

import "errors"

// ErrTerminated means that the caller has said goodbye.
var ErrTerminated = errors.New("caller terminated")

// MessageError is a message that cannot be understood; the session goes on behind it unless Fatal.
type MessageError struct {
	ID     ID
	Code   Code
	Reason string
	Fatal  bool
}

// Error says what was wrong with the message.
func (e *MessageError) Error() string { return "malformed message: " + e.Reason }

// Refusal is the error that a caller gets instead of an answer.
type Refusal struct {
	Code Code
	Text string
}

// Error says why the statement was refused.
func (r *Refusal) Error() string { return r.Code.String() + ": " + r.Text }
