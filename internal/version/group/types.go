package group

import (
	"github.com/cactusfork/cactusfork/pkg/position"
)

// ID is the name of a database group, for example precios-db-1.
type ID string

// TargetID is the name of one database server of a group.
type TargetID string

// DaemonID is the name of one daemon process.
type DaemonID string

// DataCentre is the name of the data centre of a VM.
type DataCentre string

// Target is one member of a group.
type Target struct {
	ID          TargetID   `json:"id"`
	Address     string     `json:"address"`
	DataCentre  DataCentre `json:"data-centre"`
	Slots       int        `json:"slots"`
	Connections int        `json:"connections"`
}

// Record is the stored object of a group: its members, the current primary, and the term at which that primary was chosen.
type Record struct {
	ID      ID            `json:"id"`
	Term    position.Term `json:"term"`
	Primary TargetID      `json:"primary"`
	Targets []Target      `json:"targets"`
}

// Majority returns the smallest number of targets such that any two sets of that size overlap.
func (r *Record) Majority() int { return len(r.Targets)/2 + 1 }

// Target returns the member with that ID and whether it exists.
func (r *Record) Target(id TargetID) (Target, bool) {
	for _, t := range r.Targets {
		if t.ID == id {
			return t, true
		}
	}
	return Target{}, false
}

// Status is the state that a target reports at one moment.
type Status struct {
	// Promise is the highest term of any order that the target has accepted.
	Promise position.Term
	// Holder is the daemon whose order carried that term.
	Holder DaemonID
	// Primary is true while the target takes writes.
	// Received.Term is then the term of its promotion, from the first moment on, even if it has since promised a higher term.
	Primary bool
	// Following is the primary whose log the target receives; it is empty if there is none.
	Following TargetID
	// Received is the position of the last log record held, with the term in which that record was written.
	Received position.Point
	// Applied is the position and term of the last log record visible to reads on this target.
	Applied position.Point
}

// OrderKind is the kind of an order to a target.
type OrderKind int

// The kinds of orders.
const (
	// Fence makes a target stop following and promise to reject orders of a lower term.
	Fence OrderKind = iota + 1
	// Promote makes a fenced target the primary of the promised term.
	Promote
	// Follow makes a target follow the primary of a term and discard log that this primary does not hold.
	Follow
)

// Order changes the role of a target.
// A target rejects an order whose term is below its promise, or equal to its promise but from another holder.
type Order struct {
	Kind    OrderKind
	Term    position.Term
	Holder  DaemonID
	Primary Target
}
