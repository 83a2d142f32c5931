package statement

// Code is the result of a statement: OK or the kind of its error.
type Code int

// The codes; Busy to TooManyConnections guarantee that the caller's attempt has no lasting effect, see NotRun.
const (
	// OK means that the statement succeeded.
	OK Code = iota
	// Busy means that no slot became free in time.
	Busy
	// Rejected means that the transaction was abandoned and rolled back.
	Rejected
	// Lagging means that no target has reached the log position that the read requires.
	Lagging
	// ReadOnly means that no target takes writes.
	ReadOnly
	// WrongTarget means that another target than expected replies at the address.
	WrongTarget
	// TooManyConnections means that the target accepts no further connection.
	TooManyConnections
	// Failed means that the target ran the statement and returned an error.
	Failed
	// TimedOut means that the statement was sent to a target and exceeded its time limit.
	TimedOut
	// Unknown means that a write or a commit was sent and that its outcome is unknown.
	Unknown
	// NoStatement means that the session has no prepared statement of that name.
	NoStatement
	// NoAuthority means that the caller is not authorised to connect.
	NoAuthority
	// NoDatabase means that no route exists for the database.
	NoDatabase
	// TooLarge means that a message exceeds its size limit, or the session exceeds a limit on its values or prepared statements.
	TooLarge
	// Malformed means that a message is invalid or is not allowed in the current state of the session.
	Malformed
)

// NotRun reports whether the code guarantees that the caller's attempt has no lasting effect.
func (c Code) NotRun() bool { return c >= Busy && c <= TooManyConnections }

var codeNames = [...]string{
	OK: "ok", Busy: "busy", Rejected: "rejected", Lagging: "lagging", ReadOnly: "read-only",
	WrongTarget: "wrong-target", TooManyConnections: "too-many-connections", Failed: "failed",
	TimedOut: "timed-out", Unknown: "unknown", NoStatement: "no-statement", NoAuthority: "no-authority",
	NoDatabase: "no-database", TooLarge: "too-large", Malformed: "malformed",
}

// String returns the name of the code as logs show it, or "none" for an undefined code.
func (c Code) String() string {
	if c < 0 || int(c) >= len(codeNames) {
		return "none"
	}
	return codeNames[c]
}
