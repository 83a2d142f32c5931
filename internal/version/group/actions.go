package group

import "github.com/cactusfork/cactusfork/pkg/position"

// Action is a step that the control loop carries out for a Machine; only types of this package implement it.
type Action interface{ action() }

// RequestPeerViews asks every other daemon for its view of Target; each reply returns as a PeerReply.
type RequestPeerViews struct{ Target TargetID }

// SendOrder sends Order to Target; the result returns as an OrderResult.
type SendOrder struct {
	Target TargetID
	Order  Order
}

// PutRecord writes Record if the stored object still has version IfVersion; the result returns as a PutResult.
type PutRecord struct {
	Record    Record
	IfVersion uint64
}

// ReadRecord reads the group's stored object; the result returns as a RecordUpdate, or not at all if the platform is down.
type ReadRecord struct{}

// ReportKind is the kind of an entry in the time line of a change.
type ReportKind string

// The kinds of time line entries.
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

// Report adds an entry to the time line; it has no result.
type Report struct {
	Kind   ReportKind
	Target TargetID
	Term   position.Term
	Detail string
}

func (RequestPeerViews) action() {}
func (SendOrder) action()        {}
func (PutRecord) action()        {}
func (ReadRecord) action()       {}
func (Report) action()           {}
