package statement

// Code is the error that ends a statement.
type Code int

// The codes; those up to TooManyConnections promise that nothing of the caller's attempt is kept.
const (
	// OK means that there was no error.
	OK Code = iota
	// Busy means that no slot came free in time.
	Busy
	// Rejected means that the transaction was given up and rolled back.
	Rejected
	// Lagging means that no target holds the log position that the read needs.
	Lagging
	// ReadOnly means that no target takes writes.
	ReadOnly
	// WrongTarget means that another target answers at the address.
	WrongTarget
	// TooManyConnections means that the target takes no further connection.
	TooManyConnections
	// Failed means that the target ran the statement and it failed.
	Failed
	// TimedOut means that the target ran the statement for too long.
	TimedOut
	// Unknown means that a write or a commit was sent and its effect is not known.
	Unknown
	// NoStatement means that no statement is prepared under the name.
	NoStatement
	// NoAuthority means that the caller may not connect.
	NoAuthority
	// NoDatabase means that no route leads to the database.
	NoDatabase
	// TooLarge means that a message is over its limit.
	TooLarge
	// Malformed means that a message makes no sense in its place.
	Malformed
)

// NotRun reports whether the code promises that nothing of the caller's attempt is kept.
func (c Code) NotRun() bool { return c >= Busy && c <= TooManyConnections }

var names = [...]string{
	OK: "ok", Busy: "busy", Rejected: "rejected", Lagging: "lagging", ReadOnly: "read-only",
	WrongTarget: "wrong-target", TooManyConnections: "too-many-connections", Failed: "failed",
	TimedOut: "timed-out", Unknown: "unknown", NoStatement: "no-statement", NoAuthority: "no-authority",
	NoDatabase: "no-database", TooLarge: "too-large", Malformed: "malformed",
}

// String names the code as logs show it.
func (c Code) String() string {
	if c < 0 || int(c) >= len(names) {
		return "none"
	}
	return names[c]
}
