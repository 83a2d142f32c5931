package link

import (
	"time"

	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Kind is what a target is to do.
type Kind int

// The kinds of command.
const (
	// Forward runs a caller's statement as it was sent.
	Forward Kind = iota + 1
	// Execute runs a caller's prepared statement under the name that it has on this connection.
	Execute
	// Begin opens a transaction, which only the primary does.
	Begin
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Rollback ends a transaction.
	Rollback
	// Reset forgets all session values and prepared statements.
	Reset
	// Set gives a value to a name.
	Set
	// Prepare names a statement shape.
	Prepare
	// Status asks for a Status.
	Status
	// Pause stops a replica from receiving at a term above the newest one.
	Pause
	// Resume lets a replica receive again.
	Resume
	// Demote makes a primary of a lower term a replica.
	Demote
)

// Command is one message to a target.
type Command struct {
	Kind Kind
	// ID is that of the caller's statement; empty for what no caller sent.
	ID statement.ID
	// Floor is the point that the target's log must hold for the command to run; the zero point asks for nothing.
	Floor position.Point
	// Name is that of a value or a prepared statement.
	Name string
	// Text is the caller's text, the arguments, the value or the shape.
	Text string
	// Writes is true for Prepare of a shape that writes.
	Writes bool
	// Term is that of Pause and Demote.
	Term position.Term
}

// Reply is a target's whole answer to one command.
type Reply struct {
	// Body is the rows and the completion as the target sent them; it is valid until the next answer is read.
	Body []byte
	// Row is the last row.
	Row string
	// Completed is true when the command succeeded.
	Completed bool
	Code      statement.Code
	Text      string
	State     statement.State
	// Point is the target's place in the log; zero when it was not told.
	Point position.Point
}

// Report is what a target says of itself.
type Report struct {
	Primary bool
	Term    position.Term
	// Received is the last point that the target holds, applied or not.
	Received    position.Point
	Lag         clock.Millis
	Busy        int
	Connections int
}

// Wire is the protocol on one connection to a target.
type Wire struct {
	// Startup logs in and fails unless the expected target answers.
	Startup func(g group.ID, id group.TargetID, until time.Time) (Reply, error)
	// Send writes commands, whose answers come in order.
	Send func(until time.Time, commands ...Command) error
	// Receive reads the next answer; after a time-out it can be called again.
	Receive func(until time.Time) (Reply, error)
	// Close ends the connection.
	Close func() error
	// Pending reports whether bytes were received that no answer has taken.
	Pending func() bool
}
