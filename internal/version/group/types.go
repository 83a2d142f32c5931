package group

import (
	"github.com/cactusfork/cactusfork/pkg/position"
)

// ID names a database group, for example precios-db-1.
type ID string

// TargetID names one database server of a group.
type TargetID string

// DaemonID names one process of the proxy.
type DaemonID string

// DataCentre names the place of a VM.
type DataCentre string

// Target is one member of a group.
type Target struct {
	ID          TargetID   `json:"id"`
	Address     string     `json:"address"`
	DataCentre  DataCentre `json:"data-centre"`
	Slots       int        `json:"slots"`
	Connections int        `json:"connections"`
}

// Record is the platform's object of a group: its members and who was made primary at which term.
type Record struct {
	ID      ID            `json:"id"`
	Term    position.Term `json:"term"`
	Primary TargetID      `json:"primary"`
	Targets []Target      `json:"targets"`
}

// Majority is the least number of targets that any two majorities share one of.
func (r *Record) Majority() int { return len(r.Targets)/2 + 1 }

// Target returns the member named id.
func (r *Record) Target(id TargetID) (Target, bool) {
	for _, t := range r.Targets {
		if t.ID == id {
			return t, true
		}
	}
	return Target{}, false
}

// Status is what a target says of itself at one moment.
type Status struct {
	// Promise is the highest term of which the target has taken an order.
	Promise position.Term
	// Holder is the daemon whose order carried Promise.
	Holder DaemonID
	// Primary is true while the target takes writes; Received.Term is then the term it was promoted at, from the first moment on, whatever it has promised since.
	Primary bool
	// Following names the primary whose log streams in; empty when none does.
	Following TargetID
	// Received is the last log record held, with the term in which it was written.
	Received position.Point
	// Applied is the last log record that reads on this target see.
	Applied position.Point
}

// OrderKind is what an order asks of a target.
type OrderKind int

// The orders.
const (
	// Fence makes a target stop following and promise to take no order of a lower term.
	Fence OrderKind = iota + 1
	// Promote makes a fenced target the primary of the promised term.
	Promote
	// Follow makes a target follow the primary of a term, dropping what that primary does not hold.
	Follow
)

// Order changes the role of a target; a target refuses one whose term is below its promise, or equal to it from another holder.
type Order struct {
	Kind    OrderKind
	Term    position.Term
	Holder  DaemonID
	Primary Target
}
