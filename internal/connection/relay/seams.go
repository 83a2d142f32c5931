package relay

import (
	"context"
	"time"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Wire is the protocol on a caller's connection; what is added goes out with Flush.
type Wire struct {
	Startup   func(until time.Time) (topology.Database, error)
	Receive   func(until time.Time) (statement.Statement, error)
	Body      func(body []byte)
	Complete  func()
	Error     func(code statement.Code, text string)
	Ready     func(s statement.State, p position.Point)
	Flush     func(until time.Time) error
	Interrupt func() error
	Close     func() error
}

// Work is what a session asks of the daemon for one statement.
type Work struct {
	Group group.ID
	Need  placement.Need
	// Values are those of the session, so that a connection with them is preferred.
	Values *link.Values
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	// Writes is true for work that changes data.
	Writes bool
	// InTime is until when an answer is of full worth to the caller.
	InTime clock.Millis
	// Until is until when the caller waits for an answer.
	Until clock.Millis
}

// Lease is a connection to a target, lent for one statement or transaction.
type Lease struct {
	Conn   *link.Conn
	Target group.TargetID
	Leader bool
	// Enter waits for a slot at the target for a further statement, which leave gives back.
	Enter func(ctx context.Context, w *Work) (leave func(), err error)
	// Leave gives back the slot of the first statement.
	Leave func()
	// Return gives back the connection.
	Return func()
	// Drain gives back the connection while answers are due on it.
	Drain func()
}

// Seams are what sessions need from the daemon; all are required.
type Seams struct {
	Clock *clock.Clock
	// Route returns the route to a database; known is false while there is no configuration yet.
	Route func(d topology.Database) (r *topology.Route, known bool)
	// TransactionIdle is how long a transaction may rest; 0 means for ever.
	TransactionIdle func() clock.Millis
	// Acquire waits for a target, a slot and a connection; its error is a *statement.Refusal or that of ctx.
	Acquire func(ctx context.Context, w *Work) (*Lease, error)
	// Sample returns a sample asked for at or after since.
	Sample func(ctx context.Context, g group.ID, since, until clock.Millis) (placement.Sample, error)
	// Proven takes a point that a primary has shown to lead at, in an answer to a question asked at that time.
	Proven func(g group.ID, t group.TargetID, s placement.Sample)
	// Answered takes a target's answer and how long it took.
	Answered func(g group.ID, t group.TargetID, r *link.Reply, took clock.Millis)
	// Lost takes the failure of a connection to a target, by something sent at that time.
	Lost func(g group.ID, t group.TargetID, sent clock.Millis, err error)
	// Home opens a session at the daemon that serves the group for this one; nil when this daemon serves it.
	Home func(ctx context.Context, g group.ID, d topology.Database) *Home
	// Serves reports whether that daemon is to serve the group's sessions for this one; "" is this one.
	Serves func(g group.ID, d group.DaemonID) bool
	// HomeAnswered takes an answer of the group's home to a statement that came at that time: whether it refused, as not run.
	HomeAnswered func(g group.ID, arrived clock.Millis, refused bool)
	// HomeLost takes that a home did not answer.
	HomeLost func(d group.DaemonID)
	// Report takes the outcome of every statement.
	Report func(o *Outcome)
}

// SessionID numbers the sessions of a daemon.
type SessionID uint64

// Outcome is what became of one statement.
type Outcome struct {
	Session  SessionID
	ID       statement.ID
	Database topology.Database
	Route    *topology.Route
	Verb     statement.Verb
	Writes   bool
	// Home is the daemon that served the statement; empty when it was this one.
	Home     group.DaemonID
	Target   group.TargetID
	Leader   bool
	Floor    position.Point
	Attempts int
	// Cause is why the last attempt was given up, if one was.
	Cause string
	Code  statement.Code
	// Arrived and Finished bound the statement's time in the daemon.
	Arrived  clock.Millis
	Finished clock.Millis
}
