package caller

import (
	"context"
	"crypto/tls"

	"github.com/xdg-go/scram"

	"github.com/cactusfork/cactusfork/internal/connection/memory"
	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
	"github.com/cactusfork/cactusfork/pkg/token"
)

// User is the user name with which a caller logs in.
type User string

// Config holds the limits of a server; a zero field means the default that its comment names.
type Config struct {
	// Clock is the time source; default: the system clock.
	Clock *clock.Clock
	// DataCentre is the data centre of this daemon.
	DataCentre group.DataCentre
	// MaxConnections is the number of concurrent sessions; default: 1000.
	MaxConnections int
	// MaxMessageBytes is the longest message accepted from a caller; default: 16 MiB.
	MaxMessageBytes int
	// MaxExchangeBytes is the longest exchange accepted from a caller; default: 32 MiB.
	MaxExchangeBytes int
	// MaxStateBytes bounds what the prepared statements and the parameters of a session take; default: 4 MiB.
	MaxStateBytes int
	// Account is the byte account of the daemon, from which sessions draw; nil grants everything.
	Account *memory.Account
	// MaxHeldBytes is the size up to which a reply is held back before its rows are forwarded; default: 256 KiB.
	MaxHeldBytes int
	// MaxAttempts is the number of leases on which an exchange is tried; default: 3.
	MaxAttempts int
	// StartupTimeout bounds the time from accept to the end of the login; default: 10 s.
	StartupTimeout clock.Millis
	// RequestTimeout bounds the time of one exchange; default: 30 s.
	RequestTimeout clock.Millis
	// WriteTimeout bounds how long a write to a caller may block; default: 20 s.
	WriteTimeout clock.Millis
	// TransactionIdleTimeout bounds how long an open transaction may wait for the caller's next exchange; default: 30 s.
	TransactionIdleTimeout clock.Millis
	// DrainTimeout bounds how long exchanges and transactions may continue after Serve's context has ended; default: 10 s.
	DrainTimeout clock.Millis
}

const (
	defaultMaxConnections         = 1000
	defaultMaxMessageBytes        = 16 << 20
	defaultMaxExchangeBytes       = 32 << 20
	defaultMaxStateBytes          = 4 << 20
	defaultMaxHeldBytes           = 256 << 10
	defaultMaxAttempts            = 3
	defaultStartupTimeout         = 10 * clock.Second
	defaultRequestTimeout         = 30 * clock.Second
	defaultWriteTimeout           = 20 * clock.Second
	defaultTransactionIdleTimeout = 30 * clock.Second
	defaultDrainTimeout           = 10 * clock.Second
)

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = clock.System()
	}
	orDefault(&c.MaxConnections, defaultMaxConnections)
	orDefault(&c.MaxMessageBytes, defaultMaxMessageBytes)
	orDefault(&c.MaxExchangeBytes, defaultMaxExchangeBytes)
	orDefault(&c.MaxStateBytes, defaultMaxStateBytes)
	orDefault(&c.MaxHeldBytes, defaultMaxHeldBytes)
	orDefault(&c.MaxAttempts, defaultMaxAttempts)
	orDefault(&c.StartupTimeout, defaultStartupTimeout)
	orDefault(&c.RequestTimeout, defaultRequestTimeout)
	orDefault(&c.WriteTimeout, defaultWriteTimeout)
	orDefault(&c.TransactionIdleTimeout, defaultTransactionIdleTimeout)
	orDefault(&c.DrainTimeout, defaultDrainTimeout)
	return c
}

func orDefault[T int | clock.Millis](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Dependencies holds the functions that the server needs from the rest of the process. Service, Acquire, Floor, Confirm and Tokens are required.
type Dependencies struct {
	// Service returns the published service of that name, which callers give as the database.
	Service func(service.Name) (*service.Service, bool)
	// Allowed reports whether the user may use the service; nil allows a user only the service of the same name.
	Allowed func(User, service.Name) bool
	// Credentials returns the stored credentials against which a user's SCRAM proof is verified; nil disables authentication.
	Credentials func(User) (scram.StoredCredentials, error)
	// TLS returns the current TLS configuration; TLS is not offered if TLS or its result is nil.
	TLS func() *tls.Config
	// RequireTLS is true if sessions without TLS are refused.
	RequireTLS bool
	// Parameters returns parameters to report at login, which override the defaults; it may be nil.
	Parameters func(service.Name) map[string]string
	// Tokens returns the current keys for session tokens.
	Tokens func() *token.Keys
	// Acquire waits for admission, a target and a connection; the caller receives its error if that is a *refusal.Error.
	Acquire func(ctx context.Context, s *service.Service, n route.Need, o AcquireOptions) (*Lease, error)
	// Floor takes a new sample of the group and returns its point, which becomes the floor of a session without one.
	Floor func(ctx context.Context, g group.ID) (position.Point, error)
	// Confirm returns nil once a majority of the group holds p at p's term.
	Confirm func(ctx context.Context, g group.ID, p position.Point) error
	// Report receives the outcome of every request; it may be nil.
	Report func(Outcome)
}

// AcquireOptions describes the request that needs a lease.
type AcquireOptions struct {
	User User
	// Arrived is the time at which the server began to handle the request.
	Arrived clock.Millis
	// Attempt is the number of earlier attempts; 0 for the first.
	Attempt int
	// Code is the SQLSTATE with which the request would fail without a further attempt; empty for the first attempt.
	Code string
	// Avoid lists the targets of earlier attempts.
	Avoid []group.TargetID
	// Transaction is true if the lease is for a whole transaction.
	Transaction bool
}

// Lease is the exclusive use of a target connection for one exchange or transaction.
type Lease struct {
	Conn   *target.Conn
	Target group.TargetID
	// Primary is true if the target is the primary of Term.
	Primary bool
	Term    position.Term
	// Release returns the connection, which may serve other sessions if reuse is true; it is called exactly once.
	Release func(reuse bool, o Outcome)
}

// Result is how a request ended.
type Result int

// The results of a request.
const (
	// Acknowledged means that the target's reply goes to the caller.
	Acknowledged Result = iota + 1
	// Refused means that the proxy replied with an error and the request had no effect.
	Refused
	// Unknown means that a write was sent and whether it took effect is not known.
	Unknown
	// Disconnected means that the caller disconnected before the reply.
	Disconnected
)

// Outcome reports how one request, or one transaction, ended.
type Outcome struct {
	Service service.Name
	Request service.RequestName
	Kind    service.Kind
	Target  group.TargetID
	Replica bool
	Result  Result
	// Code is the SQLSTATE of the error that the caller received; empty if there was none.
	Code string
	// Attempts is the number of leases that were used.
	Attempts int
	Arrived  clock.Millis
	Finished clock.Millis
	// Weight is the weight of the request in its service.
	Weight int
	// Application is the caller's application_name, and Connection the ID of its connection.
	Application string
	Connection  uint32
}
