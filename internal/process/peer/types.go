package peer

import (
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Incarnation numbers the lives of a daemon; a restart and the denial of a suspicion raise it.
type Incarnation uint64

// Sequence numbers the demands of one incarnation.
type Sequence uint64

// State is what is held of a member; of two states of one incarnation the higher overrides.
type State int

// The states of a member.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Left
)

// Demand is the number of statements that a daemon wants at work at one target.
type Demand struct {
	Group      group.ID
	Target     group.TargetID
	Statements int
}

// Member is a daemon held to be live.
type Member struct {
	ID      group.DaemonID
	Address string
	// AdminAddress is where the daemon answers operators.
	AdminAddress string
	DataCentre   group.DataCentre
	Incarnation  Incarnation
	Demand       []Demand
	// Lost is true while nothing is heard of the member's data centre.
	Lost bool
}

// Entry is what a daemon knows of one member.
type Entry struct {
	Member
	State State
	// Since is when State was entered, by the local clock.
	Since clock.Millis
	// Sequence numbers Demand within the incarnation.
	Sequence Sequence
}

// live reports whether the member is held to run.
func (e *Entry) live() bool { return e.State == Alive || e.State == Suspect }

// Pulse counts the periods of a data centre, as long as one of its daemons is heard.
type Pulse struct {
	DataCentre group.DataCentre
	Count      uint64
}

// Reach is what a daemon saw of a target.
type Reach int

// The answers to the question whether a target is reached.
const (
	Unknown Reach = iota
	Reachable
	Unreachable
)

// View is a daemon's last sight of a target.
type View struct {
	Daemon group.DaemonID
	Reach  Reach
	// Ago is how long before the answer the target was last asked.
	Ago clock.Millis
}

// KeyVersion is the version held of an object.
type KeyVersion struct {
	Key     platform.Key
	Version platform.Version
}

// Digest sums up the published objects that a daemon holds.
type Digest struct {
	Hash uint64
	Held []KeyVersion
}
