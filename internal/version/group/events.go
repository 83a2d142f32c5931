package group

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Event is something that a daemon has learnt; only this package's types are events.
type Event interface{ event() }

// Tick tells that time has passed.
type Tick struct{}

// Answered is a target's answer to a question sent at AskedAt.
type Answered struct {
	Target  TargetID
	AskedAt clock.Millis
	Status  Status
}

// FailureCause tells how a target failed to answer.
type FailureCause int

// The causes of a failure; Refused and Reset are quick evidence of a crash, Timeout is not.
const (
	Refused FailureCause = iota + 1
	Reset
	Timeout
)

// Failed tells that a probe or live traffic sent at AskedAt got no answer.
type Failed struct {
	Target  TargetID
	AskedAt clock.Millis
	Cause   FailureCause
}

// ViewAnswer is what a daemon says of its own way to a target.
type ViewAnswer int

// The views of a target.
const (
	Unknown ViewAnswer = iota
	Reachable
	Unreachable
)

// PeerViewed is another daemon's answer to a question that this one sent at AskedAt.
type PeerViewed struct {
	Daemon    DaemonID
	Target    TargetID
	Reachable ViewAnswer
	AskedAt   clock.Millis
}

// Recorded is the platform's object as read, watched or learnt from a peer.
type Recorded struct {
	Record  Record
	Version uint64
}

// PutOutcome is how a conditional update ended.
type PutOutcome int

// The outcomes of an update.
const (
	PutOK PutOutcome = iota + 1
	// PutConflict means that the object had another version.
	PutConflict
	// PutUnknown means that the update may or may not have taken effect.
	PutUnknown
	// PutUnavailable means that the platform was not reached.
	PutUnavailable
)

// PutDone ends a PutRecord; Version is the new version when Outcome is PutOK.
type PutDone struct {
	Record  Record
	Version uint64
	Outcome PutOutcome
}

// OrderOutcome is how an order ended.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderOK OrderOutcome = iota + 1
	// OrderOutranked means that the target has promised a higher term, or this one to another holder.
	OrderOutranked
	// OrderUnknown means that the order failed or that its answer was lost.
	OrderUnknown
)

// Ordered ends a SendOrder; Status is set when Outcome is OrderOK, Promise and Holder when it is OrderOutranked.
type Ordered struct {
	Target  TargetID
	Order   Order
	Status  Status
	Outcome OrderOutcome
	Promise position.Term
	Holder  DaemonID
}

// Left tells whether a target's VM is marked as leaving.
type Left struct {
	Target  TargetID
	Leaving bool
}

func (Tick) event()       {}
func (Answered) event()   {}
func (Failed) event()     {}
func (PeerViewed) event() {}
func (Recorded) event()   {}
func (PutDone) event()    {}
func (Ordered) event()    {}
func (Left) event()       {}
