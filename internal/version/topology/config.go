package topology

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Version is the version number of a configuration; a daemon never returns to a lower one.
type Version uint64

// Database is the database name by which a caller selects a route.
type Database string

// Consistency is the guarantee that a route gives for what its reads see.
type Consistency int

// The consistency levels.
const (
	// Strong reads see every acknowledged commit and are served by the primary.
	Strong Consistency = iota + 1
	// Bounded reads see every commit acknowledged longer ago than the route's MaxStaleness.
	Bounded
	// ReadYourWrites reads give the guarantee of Bounded and also see every commit of their session.
	ReadYourWrites
)

// Route maps a database to a group of targets.
type Route struct {
	Name        string
	Database    Database
	Group       group.ID
	Consistency Consistency
	// MaxStaleness is the maximum age of the data that reads see.
	MaxStaleness clock.Millis
	// Timeout is the maximum duration of one statement.
	Timeout clock.Millis
	// LatencyObjective is the latency objective for a whole operation of a caller.
	LatencyObjective clock.Millis
	// Priority is the priority class; 0 is the most urgent.
	Priority int
	// Public is true for a route that callers without a known key may use.
	Public bool
}

// Group is the configuration of one group of targets.
type Group struct {
	ID group.ID
	// MaxConnections is the maximum number of connections to one target, over all daemons together.
	MaxConnections int
	// SyncReplicas is how many replicas must have received a commit before it is acknowledged.
	SyncReplicas int
}

// Config is one version of the complete configuration.
type Config struct {
	Version Version
	Routes  map[Database]*Route
	Groups  map[group.ID]Group
	// Workspaces holds the workspaces and their keys; nil if the configuration has none, and every caller may use every route.
	Workspaces *workspace.Directory
	// Rejected holds the errors of the parts that are left out.
	Rejected []error
	// TransactionIdleTimeout is how long a transaction may be idle before it may be ended; 0 means no limit.
	TransactionIdleTimeout clock.Millis
}
