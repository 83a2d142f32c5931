package relay

import (
	"context"
	"time"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/connection/memory"
	"github.com/cactusfork/cactusfork/internal/request/admission"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Wire is the protocol on a caller connection. Body, Complete, Error and Ready append to the output that Flush sends.
type Wire struct {
	// Startup reads the startup message.
	Startup func(deadline time.Time) (Startup, error)
	// Receive reads the next statement. A zero deadline means no limit. The error for a message that cannot be handled is a
	// *statement.MessageError.
	Receive func(deadline time.Time) (statement.Statement, error)
	// Body appends the body of a reply of a target.
	Body func(body []byte)
	// Complete appends the success of a statement that no target ran.
	Complete func()
	Error    func(code statement.Code, text string)
	// Ready appends the end of a reply with the state of the transaction and the point of the reply.
	Ready func(s statement.State, p position.Point)
	Flush func(deadline time.Time) error
	// Interrupt makes a Receive that waits return with an error.
	Interrupt func() error
	Close     func() error
	// Memory is the part of the daemon's account that the connection holds; nil without an account.
	Memory *memory.Holder
}

// Startup is the content of a startup message.
type Startup struct {
	// Database is the database that the caller asks for.
	Database topology.Database
	// Key stands for the key of a caller.
	Key workspace.Digest
	// Workspace is the workspace of a session that another daemon has forwarded, and Version the version of the configuration by which
	// that daemon knows it. Workspace is empty for a session without one.
	Workspace workspace.ID
	Version   topology.Version
}

// LeaseRequest describes a statement for which a session needs a target, a slot and a connection.
type LeaseRequest struct {
	Group group.ID
	Need  placement.Need
	// Workspace is the workspace of the statement; it is empty without one.
	Workspace workspace.ID
	// Values are the values of the session. A connection where they are in force is preferred.
	Values *link.Values
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Writes is true for a statement that changes data.
	Writes bool
	// Stage says what the statement is to a transaction.
	Stage admission.Stage
	// Route is the name of the route.
	Route string
	// SoftDeadline is the time until which a reply has its full value for the caller.
	SoftDeadline clock.Millis
	// Deadline is the time until which the caller waits for a reply.
	Deadline clock.Millis
}

// Lease is a connection to a target, lent for one statement or transaction.
type Lease struct {
	Conn    *link.Conn
	Target  group.TargetID
	Primary bool
	// AcquireSlot waits for a slot at the target for a further statement; release gives back this slot.
	AcquireSlot func(ctx context.Context, req *LeaseRequest) (release func(), err error)
	// Departed reports whether the target is past its drain limit, so that nothing may begin on it.
	Departed func() bool
	// ReleaseSlot gives back the slot of the first statement.
	ReleaseSlot func()
	// ReleaseConn gives back the connection, which must not be used afterwards.
	ReleaseConn func()
	// Drain gives back the connection while replies are outstanding on it.
	Drain func()
}

// Dependencies are the functions of the daemon that sessions need; all are required.
type Dependencies struct {
	Clock *clock.Clock
	// Route returns the route to a database; known is false while there is no configuration yet.
	Route func(d topology.Database) (r *topology.Route, known bool)
	// Identify returns the workspace for which a session with the startup message may use the route. It is nil if the session needs
	// none. The refusal is nil if the session may use the route.
	Identify func(s *Startup, forwarded bool, r *topology.Route) (*workspace.Workspace, *statement.Refusal)
	// Admit takes one operation out of the limit of the workspace. Its error is a *statement.Refusal or the error of ctx. Refund gives
	// back an operation that was not run and arrived at the given time.
	Admit  func(ctx context.Context, w *workspace.Workspace, deadline clock.Millis) error
	Refund func(w *workspace.Workspace, arrived clock.Millis)
	// TransactionIdle returns how long a transaction may be idle; 0 means no limit.
	TransactionIdle func() clock.Millis
	// Acquire waits for a target, a slot and a connection. Its error is a *statement.Refusal or the error of ctx.
	Acquire func(ctx context.Context, req *LeaseRequest) (*Lease, error)
	// Sample returns a sample that was requested at or after since.
	Sample func(ctx context.Context, g group.ID, since, deadline clock.Millis) (placement.Sample, error)
	// PrimaryProven records a point at which the target has proved that it is the primary, and when the proof was requested.
	PrimaryProven func(g group.ID, t group.TargetID, s placement.Sample)
	// TargetReplied records a reply of a target and its latency.
	TargetReplied func(g group.ID, t group.TargetID, r *link.Reply, latency clock.Millis)
	// ConnFailed records the failure of a connection to a target; sentAt is when the command that failed was sent.
	ConnFailed func(g group.ID, t group.TargetID, sentAt clock.Millis, err error)
	// Home opens a session of the workspace at the home daemon of the route. It returns nil if this daemon serves the route or no other
	// is available.
	Home func(ctx context.Context, r *topology.Route, w *workspace.Workspace) *Home
	// Serves reports whether daemon d should serve the sessions of the workspace and the route that arrive at this daemon; "" is this
	// daemon.
	Serves func(r *topology.Route, w *workspace.Workspace, d group.DaemonID) bool
	// HomeReplied records a reply of the home daemon to a statement that arrived at the given time. The argument refused is
	// true if the statement was not run.
	HomeReplied func(g group.ID, arrived clock.Millis, refused bool)
	// HomeFailed records that a home daemon did not answer.
	HomeFailed func(d group.DaemonID)
	// Report receives the outcome of every statement.
	Report func(o *Outcome)
}

// SessionID is the serial number of a session within a daemon.
type SessionID uint64

// Outcome is the result of one statement.
type Outcome struct {
	Session  SessionID
	ID       statement.ID
	Database topology.Database
	// Workspace is the workspace of the session; it is empty without one.
	Workspace workspace.ID
	Route     *topology.Route
	Verb      statement.Verb
	Writes    bool
	// Home is the home daemon that served the statement; it is empty if this daemon served it.
	Home   group.DaemonID
	Target group.TargetID
	// Primary is true if the target was the primary of the group.
	Primary bool
	// Latency is how long the target took for the last attempt; 0 if it did not answer one.
	Latency clock.Millis
	// Floor is the point that the log of the target had to hold.
	Floor    position.Point
	Attempts int
	// Cause is the reason why the last attempt was abandoned, if one was.
	Cause string
	Code  statement.Code
	// Arrived and Finished are when the statement arrived at the daemon and when its reply was ready.
	Arrived  clock.Millis
	Finished clock.Millis
}
