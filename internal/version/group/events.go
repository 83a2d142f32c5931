package group

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Event is an observation of a daemon, the input of a Machine; only types of this package implement it.
type Event interface{ event() }

// Tick signals that time has passed.
type Tick struct{}

// ProbeReply is a target's reply to a status request sent at RequestedAt.
type ProbeReply struct {
	Target      TargetID
	RequestedAt clock.Millis
	Status      Status
}

// FailureCause is the way in which a request to a target failed.
type FailureCause int

// The causes of a failure. Refused and Reset are early evidence of a crash; Timeout is not.
const (
	Refused FailureCause = iota + 1
	Reset
	Timeout
)

// RequestFailure reports that a probe or a caller's statement sent at RequestedAt got no reply.
type RequestFailure struct {
	Target      TargetID
	RequestedAt clock.Millis
	Cause       FailureCause
}

// Reachability is whether a daemon can reach a target.
type Reachability int

// The values of Reachability.
const (
	Unknown Reachability = iota
	Reachable
	Unreachable
)

// PeerReply is another daemon's reply to a question that this daemon sent at RequestedAt.
type PeerReply struct {
	Daemon       DaemonID
	Target       TargetID
	Reachability Reachability
	RequestedAt  clock.Millis
}

// RecordUpdate is the group's stored object and its version, as read, watched or received from a peer.
type RecordUpdate struct {
	Record  Record
	Version uint64
}

// PutOutcome is the outcome of a conditional update.
type PutOutcome int

// The outcomes of an update.
const (
	PutOK PutOutcome = iota + 1
	// PutConflict means that the stored object had another version.
	PutConflict
	// PutUnknown means that the update may or may not have taken effect.
	PutUnknown
	// PutUnavailable means that the update did not reach the platform.
	PutUnavailable
)

// PutResult is the result of a PutRecord; Version is the new version if Outcome is PutOK.
type PutResult struct {
	Record  Record
	Version uint64
	Outcome PutOutcome
}

// OrderOutcome is the outcome of an order.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderOK OrderOutcome = iota + 1
	// OrderRejected means that the target has promised a higher term, or the same term to another holder.
	OrderRejected
	// OrderUnknown means that the order failed or its reply was lost.
	OrderUnknown
)

// OrderResult is the result of a SendOrder; Status is set if Outcome is OrderOK, Promise and Holder if it is OrderRejected.
type OrderResult struct {
	Target  TargetID
	Order   Order
	Status  Status
	Outcome OrderOutcome
	Promise position.Term
	Holder  DaemonID
}

// LeavingUpdate reports whether a target's VM is marked as leaving.
type LeavingUpdate struct {
	Target  TargetID
	Leaving bool
}

func (Tick) event()           {}
func (ProbeReply) event()     {}
func (RequestFailure) event() {}
func (PeerReply) event()      {}
func (RecordUpdate) event()   {}
func (PutResult) event()      {}
func (OrderResult) event()    {}
func (LeavingUpdate) event()  {}
