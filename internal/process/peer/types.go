package peer

import (
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Incarnation orders the entries about one daemon. A restart and the refutation of a suspicion raise it.
type Incarnation uint64

// Sequence orders the demands that a daemon sends within one incarnation.
type Sequence uint64

// State is the state of a member. The higher of two states of the same incarnation takes precedence.
type State int

// The states of a member.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Left
)

// Demand is the number of statements that a daemon wants to run at one target.
type Demand struct {
	Group      group.ID
	Target     group.TargetID
	Statements int
}

// Member describes one daemon.
type Member struct {
	ID      group.DaemonID
	Address string
	// AdminAddress is the address of the daemon's HTTP endpoint for operators.
	AdminAddress string
	DataCentre   group.DataCentre
	Incarnation  Incarnation
	Demand       []Demand
	// Lost is true while no pulse of the member's data centre arrives.
	Lost bool
}

// Entry is the state of one member as known to a daemon.
type Entry struct {
	Member
	State State
	// Since is the local time at which State began.
	Since clock.Millis
	// Sequence orders Demand within the incarnation; 0 means that Demand is unknown.
	Sequence Sequence
}

// live reports whether the member is considered live.
func (e *Entry) live() bool { return e.State == Alive || e.State == Suspect }

// Pulse is a counter that the bridges of a data centre increment in each period. It shows other data centres that daemons there run.
type Pulse struct {
	DataCentre group.DataCentre
	Count      uint64
}

// Reach states whether a daemon reaches a target.
type Reach int

// The values of Reach.
const (
	Unknown Reach = iota
	Reachable
	Unreachable
)

// View is a daemon's latest view of a target.
type View struct {
	Daemon group.DaemonID
	Reach  Reach
	// Age is the time since the probe of the target that the view is based on.
	Age clock.Millis
}

// KeyVersion is the key and the version of an object that a daemon holds.
type KeyVersion struct {
	Key     platform.Key
	Version platform.Version
}

// Digest lists the published objects that a daemon holds, with a hash over them.
type Digest struct {
	Hash uint64
	Held []KeyVersion
}
