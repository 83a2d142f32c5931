package topology

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Version numbers configurations; a daemon never goes back to a lower one.
type Version uint64

// Database is the name by which callers ask for a route.
type Database string

// Consistency is what reads of a route must see.
type Consistency int

// The kinds of consistency.
const (
	// Strong reads see every acknowledged commit and are served by the primary.
	Strong Consistency = iota + 1
	// Bounded reads see every commit acknowledged longer ago than the route's staleness.
	Bounded
	// ReadYourWrites reads are bounded and see every commit of their session.
	ReadYourWrites
)

// Route leads from a database to a group of targets.
type Route struct {
	Name        string
	Database    Database
	Group       group.ID
	Consistency Consistency
	// Staleness is the greatest age of what reads see.
	Staleness clock.Millis
	// Timeout bounds one statement.
	Timeout clock.Millis
	// Objective is the latency that callers hope for, over a whole operation.
	Objective clock.Millis
	// Priority is 0 for the most urgent work.
	Priority int
}

// Group is what the configuration says of one group of targets.
type Group struct {
	ID group.ID
	// Connections is how many a target takes from all daemons together.
	Connections int
	// SyncReplicas is how many replicas must have received a commit before it is acknowledged.
	SyncReplicas int
}

// Config is one whole configuration.
type Config struct {
	Version Version
	Routes  map[Database]*Route
	Groups  map[group.ID]Group
	// TransactionIdle is how long a transaction may rest before it may be ended; 0 means for ever.
	TransactionIdle clock.Millis
}
