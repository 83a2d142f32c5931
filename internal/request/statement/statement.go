package statement

import "github.com/cactusfork/cactusfork/pkg/position"

// ID is the name that a caller gives to one request.
type ID string

// Verb is what a statement asks for.
type Verb int

// The verbs.
const (
	// Begin opens a transaction that may write.
	Begin Verb = iota + 1
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit ends a transaction and keeps what it wrote.
	Commit
	// Rollback ends a transaction and keeps nothing.
	Rollback
	// Read returns one item.
	Read
	// Write changes one item.
	Write
	// Set gives a value to a name for the rest of the session.
	Set
	// Prepare names a statement shape for the rest of the session.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate forgets a prepared statement.
	Deallocate
)

var verbs = [...]string{
	Begin: "begin", BeginRead: "begin-read", Commit: "commit", Rollback: "rollback", Read: "read", Write: "write",
	Set: "set", Prepare: "prepare", Execute: "execute", Deallocate: "deallocate",
}

// String names the verb as logs show it.
func (v Verb) String() string {
	if v < Begin || int(v) >= len(verbs) {
		return "none"
	}
	return verbs[v]
}

// Shape is what a prepared statement runs, as the caller wrote it.
type Shape string

// Statement is one request of a caller.
type Statement struct {
	ID   ID
	Verb Verb
	// Text is the statement as the caller sent it.
	Text string
	// Floor is a point that the session is to see from now on; the zero point asks for nothing.
	Floor position.Point
	// Name is that of a session value or of a prepared statement.
	Name string
	// Value is what Set gives to the name.
	Value string
	// Arguments are those of Execute, as the caller sent them.
	Arguments string
	// Shape is that of Prepare.
	Shape Shape
	// Writes is true for Write and for Prepare of a shape that writes.
	Writes bool
}

// State is that of a session as its caller is told.
type State int

// The states.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// Open means that a transaction is open.
	Open
	// Aborted means that the open transaction can only be rolled back.
	Aborted
)
