package settings

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Settings is the content of a daemon's settings file, with defaults for absent keys; all durations are in milliseconds.
//
// Each field is a section of the file, whose name is the field's name in lower case.
type Settings struct {
	Daemon   Daemon
	Callers  Callers
	Targets  Targets
	Platform Platform
	Peers    Peers
	Failover Failover
	Log      Log
	Limits   Limits
}

// Limits bounds what others can make the daemon retain.
type Limits struct {
	// Memory is the memory that the daemon may use, in MiB.
	Memory int `ini:"memory-mb" default:"256" min:"32" max:"1000000"`
	// Message bounds a message, Exchange the messages up to a Sync, and SessionState the prepared statements and parameters of a session, in KiB.
	Message      int `ini:"message-kb" default:"16384" min:"16" max:"1048576"`
	Exchange     int `ini:"exchange-kb" default:"32768" min:"16" max:"1048576"`
	SessionState int `ini:"session-state-kb" default:"4096" min:"16" max:"1048576"`
	// Stall is how long a caller may make no progress while memory is short.
	Stall clock.Millis `ini:"stall" default:"1s" min:"50ms" max:"1m"`
	// MemoryWait is how long a message waits for memory before it is refused.
	MemoryWait clock.Millis `ini:"memory-wait" default:"1s" min:"10ms" max:"1m"`
	// WriteTimeout bounds how long a caller may leave its reply unread.
	WriteTimeout clock.Millis `ini:"write-timeout" default:"20s" min:"100ms" max:"10m"`
	// HTTPConnections bounds the connections of each of the peer and admin addresses; 0 means a fifteenth of the callers' connections.
	HTTPConnections int `ini:"http-connections" default:"0" min:"0" max:"100000"`
	// HTTPHeader bounds the headers of a request, in KiB.
	HTTPHeader int `ini:"http-header-kb" default:"16" min:"1" max:"1024"`
	// StoreResponse bounds a response of the platform, in MiB; 0 means an eighth of Memory, at most 64.
	StoreResponse int `ini:"store-response-mb" default:"0" min:"0" max:"1024"`
}

// Daemon is the identity of the daemon and the addresses that it listens on.
type Daemon struct {
	// ID is unique among the daemons.
	ID string `ini:"id" need:"yes"`
	// DataCentre is the data centre that the daemon runs in.
	DataCentre string `ini:"data-centre" need:"yes"`
	// CallerAddress accepts connections of callers.
	CallerAddress string `ini:"caller-address" need:"yes" kind:"address"`
	// PeerAddress accepts connections of other daemons.
	PeerAddress string `ini:"peer-address" need:"yes" kind:"address"`
	// AdminAddress accepts HTTP requests of operators and health checks.
	AdminAddress string `ini:"admin-address" need:"yes" kind:"address"`
}

// Callers limits, authenticates and encrypts the connections of callers.
type Callers struct {
	// MaxConnections is how many callers may be connected at once.
	MaxConnections int `ini:"connections" default:"5000" min:"1" max:"100000"`
	// RequestTimeout bounds the time of one exchange.
	RequestTimeout clock.Millis `ini:"deadline" default:"10s" min:"10ms" max:"10m"`
	// Notice is how long a stopping daemon still accepts callers while its health check fails.
	Notice clock.Millis `ini:"notice" default:"2s" min:"0s" max:"1m"`
	// Drain is how long exchanges and transactions may continue after Notice.
	Drain clock.Millis `ini:"drain" default:"20s" min:"0s" max:"10m"`
	// Queue is how many statements may wait for a slot of one target.
	Queue int `ini:"queue" default:"512" min:"1" max:"100000"`
	// TokenKeyFile is the file with the key that signs session tokens; without it, the daemon generates a key.
	TokenKeyFile string `ini:"token-key-file" kind:"file"`
	// PreviousTokenKeyFile is the file with a second key, whose tokens are still accepted.
	PreviousTokenKeyFile string `ini:"previous-token-key-file" kind:"file"`
	CertificateFile      string `ini:"certificate-file" kind:"file"`
	PrivateKeyFile       string `ini:"private-key-file" kind:"file"`
	// PasswordsFile is the file with the users, their services and password verifiers.
	PasswordsFile string `ini:"passwords-file" kind:"file"`
	// RequireTLS refuses connections of callers without TLS.
	RequireTLS bool `ini:"require-tls" default:"false"`
	// Authenticate requires callers to log in with a password.
	Authenticate bool `ini:"authenticate" default:"true"`
}

// Targets configures the connections from the daemon to database servers.
type Targets struct {
	// User is the name that the daemon logs in with.
	User string `ini:"user" default:"cactusfork"`
	// PasswordFile is the file with the password of User.
	PasswordFile string `ini:"password-file" kind:"file"`
	// WarmConnections is how many connections to each target and database stay open without work.
	WarmConnections int `ini:"warm-connections" default:"1" min:"0" max:"100"`
	// DialTimeout bounds the time to open a connection.
	DialTimeout clock.Millis `ini:"dial-timeout" default:"1s" min:"10ms" max:"1m"`
	// ReplicaWait is how long a read may wait for a replica before it goes to the primary; 0 disables the wait.
	ReplicaWait clock.Millis `ini:"replica-wait" default:"50ms" min:"0s" max:"10s"`
	// IdleTimeout is how long an idle connection beyond WarmConnections stays open.
	IdleTimeout clock.Millis `ini:"idle-timeout" default:"1m" min:"1s" max:"1h"`
}

// Platform configures access to the platform's object API, which holds services and groups.
type Platform struct {
	URL string `ini:"url" need:"yes" kind:"url"`
	// Timeout bounds one call to the platform.
	Timeout clock.Millis `ini:"timeout" default:"1s" min:"10ms" max:"1m"`
	// Watchers is how many daemons of each data centre watch the platform for changes.
	Watchers int `ini:"watchers" default:"2" min:"1" max:"16"`
}

// Peers configures discovery of other daemons and mutual TLS between daemons.
type Peers struct {
	// Seeds are the peer addresses of daemons to contact at start.
	Seeds []string `ini:"seeds" kind:"addresses"`
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval clock.Millis `ini:"period" default:"250ms" min:"50ms" max:"10s"`
	CertificateFile   string       `ini:"certificate-file" kind:"file"`
	PrivateKeyFile    string       `ini:"private-key-file" kind:"file"`
	// AuthorityFile is the file with the CA certificates that certificates of other daemons and operators are verified against.
	AuthorityFile string `ini:"authority-file" kind:"file"`
}

// Failover configures the probes that detect a failed primary.
type Failover struct {
	// ProbeInterval is the time between two status requests to a target while no statement waits for the reply.
	ProbeInterval clock.Millis `ini:"probe-interval" default:"100ms" min:"10ms" max:"5s"`
	// ProbeTimeout bounds the wait for the reply to a status request.
	ProbeTimeout clock.Millis `ini:"probe-timeout" default:"250ms" min:"10ms" max:"10s"`
}

// Log configures the log and the time line.
type Log struct {
	// Level is the least severe level that is logged.
	Level string `ini:"level" default:"info" oneof:"debug info warn error"`
	// TimelineFile is the file that events of the time line are appended to; without it, they are kept in memory only.
	TimelineFile string `ini:"timeline-file"`
}
