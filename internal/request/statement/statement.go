package statement

import "github.com/cactusfork/cactusfork/pkg/position"

// ID identifies a statement within a session; the caller chooses it.
type ID string

// Verb is the kind of operation that a statement requests.
type Verb int

// The verbs.
const (
	// Begin opens a read-write transaction.
	Begin Verb = iota + 1
	// BeginRead opens a read-only transaction.
	BeginRead
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and discards its writes.
	Rollback
	// Read returns one item.
	Read
	// Write changes one item.
	Write
	// Set assigns a value to a name for the rest of the session.
	Set
	// Prepare stores a statement under a name for the rest of the session.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate removes a prepared statement from the session.
	Deallocate
)

var verbNames = [...]string{
	Begin: "begin", BeginRead: "begin-read", Commit: "commit", Rollback: "rollback", Read: "read", Write: "write",
	Set: "set", Prepare: "prepare", Execute: "execute", Deallocate: "deallocate",
}

// String returns the name of the verb as logs show it, or "none" for an undefined verb.
func (v Verb) String() string {
	if v < Begin || int(v) >= len(verbNames) {
		return "none"
	}
	return verbNames[v]
}

// Shape is the body of a prepared statement, as the caller wrote it.
type Shape string

// Statement is one parsed request of a caller.
type Statement struct {
	ID   ID
	Verb Verb
	// Text is the statement as the caller sent it.
	Text string
	// Floor is a point that all later reads of the session must have reached; the zero point sets no floor.
	Floor position.Point
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is the value that Set assigns to Name.
	Value string
	// Arguments are the arguments of Execute, as the caller sent them.
	Arguments string
	// Shape is the body of the statement to prepare.
	Shape Shape
	// Writes is true for Write and for Prepare of a statement that writes.
	Writes bool
}

// State is the transaction state of a session as reported to its caller.
type State int

// The states.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// Open means that a transaction is open.
	Open
	// Aborted means that the open transaction has failed and can only be rolled back.
	Aborted
)
