package link

import (
	"time"

	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Kind is the kind of a command.
type Kind int

// The kinds of command.
const (
	// Forward runs a statement as the caller sent it.
	Forward Kind = iota + 1
	// Execute runs a prepared statement of the caller under the name that it has on this connection.
	Execute
	// Begin opens a transaction, which only the primary accepts.
	Begin
	// BeginRead opens a read-only transaction.
	BeginRead
	// Rollback rolls back a transaction.
	Rollback
	// Reset drops all session values and prepared statements.
	Reset
	// Set sets a session value.
	Set
	// Prepare prepares a statement shape under a name.
	Prepare
	// Status requests a Report.
	Status
	// Pause stops a replica from receiving, at a term above the newest one.
	Pause
	// Resume lets a replica receive again.
	Resume
	// Demote turns a primary of a lower term into a replica.
	Demote
)

// Command is one message to a target.
type Command struct {
	Kind Kind
	// ID is the ID of the statement of the caller; it is empty for a command of the daemon itself.
	ID statement.ID
	// Floor is the point that the log of the target must hold for the command to run; the zero point requires nothing.
	Floor position.Point
	// Name is the name of a value or of a prepared statement.
	Name string
	// Text is the text of the statement, the arguments, the value or the shape.
	Text string
	// Writes is true for a Prepare of a shape that writes.
	Writes bool
	// Term is the term of a Pause or Demote.
	Term position.Term
}

// Reply is the complete reply of a target to one command.
type Reply struct {
	// Body holds the rows and the completion as the target sent them. It is valid until the next reply is read.
	Body []byte
	// Row is the start of the last row, up to 1 KiB.
	Row string
	// Completed is true if the command succeeded.
	Completed bool
	// Code and Text are the error that ended the command.
	Code statement.Code
	Text string
	// State is the state of the transaction after the command.
	State statement.State
	// Point is the position of the target in the log; it is zero if the target did not report it.
	Point position.Point
}

// Report is the status that a target reports.
type Report struct {
	// Primary is true if the target is the primary, and false if it is a replica.
	Primary bool
	Term    position.Term
	// Received is the last point in the log of the target, whether applied or not.
	Received position.Point
	// Lag is the replication lag in milliseconds.
	Lag clock.Millis
	// Busy and Connections are the fields busy and connections of the status row.
	Busy        int
	Connections int
}

// Login is the content of a startup message to a target or to another daemon.
type Login struct {
	// Name is the name of the group or, to another daemon, of the database.
	Name string
	// Workspace is the workspace whose statements the connection carries; it is empty without one.
	Workspace workspace.ID
	// Target is the target that is expected to answer; it is empty for another daemon.
	Target group.TargetID
	// Version is, for another daemon, the version of the configuration that names the workspace; 0 without one.
	Version uint64
}

// Wire is the protocol on one connection to a target.
type Wire struct {
	// Startup logs in. It fails if another target than the expected one answers.
	Startup func(l Login, deadline time.Time) (Reply, error)
	// Send writes commands, whose replies arrive in the same order.
	Send func(deadline time.Time, commands ...Command) error
	// Receive reads the next reply; after a time-out it can be called again.
	Receive func(deadline time.Time) (Reply, error)
	// Close closes the connection.
	Close func() error
	// Buffered reports whether bytes were received that belong to no reply that was read.
	Buffered func() bool
}
