package group

import "github.com/cactusfork/cactusfork/pkg/position"

// Action is something that the control loop does for the machine; only this package's types are actions.
type Action interface{ action() }

// AskPeers asks every other daemon for its view of Target; each answer comes back as PeerViewed.
type AskPeers struct{ Target TargetID }

// SendOrder sends Order to Target; it comes back as Ordered.
type SendOrder struct {
	Target TargetID
	Order  Order
}

// PutRecord writes Record if the object still has version IfVersion; it comes back as PutDone.
type PutRecord struct {
	Record    Record
	IfVersion uint64
}

// ReadRecord reads the group's object; it comes back as Recorded, or not at all when the platform is down.
type ReadRecord struct{}

// ReportKind names an entry of the time line of a change.
type ReportKind string

// The entries of the time line.
const (
	ReportSuspected  ReportKind = "suspected"
	ReportFalseAlarm ReportKind = "false-alarm"
	ReportConfirmed  ReportKind = "confirmed"
	ReportStarted    ReportKind = "change-started"
	ReportFenced     ReportKind = "fenced"
	ReportChosen     ReportKind = "chosen"
	ReportRecorded   ReportKind = "recorded"
	ReportUnrecorded ReportKind = "going-on-unrecorded"
	ReportPromoted   ReportKind = "promoted"
	ReportAdopted    ReportKind = "adopted"
	ReportFollowed   ReportKind = "followed"
	ReportAbandoned  ReportKind = "abandoned"
)

// Report is an entry for the time line; nothing comes back.
type Report struct {
	Kind   ReportKind
	Target TargetID
	Term   position.Term
	Detail string
}

func (AskPeers) action()   {}
func (SendOrder) action()  {}
func (PutRecord) action()  {}
func (ReadRecord) action() {}
func (Report) action()     {}
