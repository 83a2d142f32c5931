package caller

import (
	"context"
	"crypto/tls"

	"github.com/xdg-go/scram"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
	"github.com/cactusfork/cactusfork/pkg/token"
)

// User is the name by which a caller logs in.
type User string

// Config bounds the server; zero fields take the default beside them.
type Config struct {
	Clock *clock.Clock
	// DataCentre is where this process runs.
	DataCentre group.DataCentre
	// MaxConnections is how many callers may be connected at once; 1000.
	MaxConnections int
	// MaxMessage is the longest message taken from a caller, in bytes; 16 MiB.
	MaxMessage int
	// MaxExchange is the longest exchange taken from a caller, in bytes; 32 MiB.
	MaxExchange int
	// MaxHeld is how much of an answer is held back before its rows are forwarded, in bytes; 256 KiB.
	MaxHeld int
	// MaxAttempts is on how many leases an exchange is tried; 3.
	MaxAttempts int
	// StartupTimeout bounds the time from accept to login; 10 s.
	StartupTimeout clock.Millis
	// RequestTimeout bounds one exchange; 30 s.
	RequestTimeout clock.Millis
	// WriteTimeout bounds how long a caller may leave its answer unread; 20 s.
	WriteTimeout clock.Millis
	// TransactionIdleTimeout bounds how long an open transaction may wait for its caller; 30 s.
	TransactionIdleTimeout clock.Millis
	// DrainTimeout bounds how long exchanges and transactions may go on once Serve's context has ended; 10 s.
	DrainTimeout clock.Millis
}

const (
	defaultMaxConnections         = 1000
	defaultMaxMessage             = 16 << 20
	defaultMaxExchange            = 32 << 20
	defaultMaxHeld                = 256 << 10
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
	orDefault(&c.MaxMessage, defaultMaxMessage)
	orDefault(&c.MaxExchange, defaultMaxExchange)
	orDefault(&c.MaxHeld, defaultMaxHeld)
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

// Seams are what the server needs from the rest of the process; Service, Acquire, Floor, Confirm and Tokens are required.
type Seams struct {
	// Service returns the published service of a name; callers give it as the database.
	Service func(service.Name) (*service.Service, bool)
	// Allowed reports whether the user may use the service; nil allows every user the service of its own name.
	Allowed func(User, service.Name) bool
	// Credentials returns what a user's SCRAM proof is checked against; nil lets callers in without a password.
	Credentials func(User) (scram.StoredCredentials, error)
	// TLS returns the present TLS configuration; nil, or a nil result, means that TLS is not offered.
	TLS func() *tls.Config
	// RequireTLS refuses callers without TLS.
	RequireTLS bool
	// Parameters returns what is reported to callers at login, over the server's own values; it may be nil.
	Parameters func(service.Name) map[string]string
	// Tokens returns the keys in force.
	Tokens func() *token.Keys
	// Acquire waits for admission, a target and a connection; its error may be a *refusal.Error.
	Acquire func(ctx context.Context, s *service.Service, n route.Need, o AcquireOptions) (*Lease, error)
	// Floor asks for a sample now.
	Floor func(ctx context.Context, g group.ID) (position.Point, error)
	// Confirm returns once a majority of the group holds p at its term.
	Confirm func(ctx context.Context, g group.ID, p position.Point) error
	// Report takes the outcome of every request; it may be nil.
	Report func(Outcome)
}

// AcquireOptions says more of the request that wants a lease.
type AcquireOptions struct {
	User User
	// Arrived is when the request's first byte was handled.
	Arrived clock.Millis
	// Attempt counts from 0.
	Attempt int
	// Code is the SQLSTATE of the error that the last attempt would have ended in.
	Code string
	// Avoid are the targets of earlier attempts.
	Avoid []group.TargetID
	// Transaction is true when the lease lasts until a transaction ends.
	Transaction bool
}

// Lease is a target connection lent for one exchange or transaction.
type Lease struct {
	Conn   *target.Conn
	Target group.TargetID
	// Primary is true when the lease is for the primary of Term.
	Primary bool
	Term    position.Term
	// Release gives the connection back; it is called exactly once.
	Release func(reuse bool, o Outcome)
}

// Result says how a request ended.
type Result int

// The results.
const (
	// Acknowledged means that the caller got the target's answer.
	Acknowledged Result = iota + 1
	// Refused means that the proxy answered with an error and the request had no effect.
	Refused
	// Unknown means that a write was sent and its effect is not known.
	Unknown
	// Lost means that the caller went away before the answer.
	Lost
)

// Outcome is what became of one request, or of one transaction.
type Outcome struct {
	Service service.Name
	Request service.RequestName
	Kind    service.Kind
	Target  group.TargetID
	Replica bool
	Result  Result
	// Code is the SQLSTATE of the error that the caller got; empty when there was none.
	Code     string
	Attempts int
	Arrived  clock.Millis
	Finished clock.Millis
	// Weight is that of the request; Application and Connection tell whose it was.
	Weight      int
	Application string
	Connection  uint32
}
