package event

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Stamp is a hybrid logical timestamp. Stamps are ordered by Millis, Counter and Daemon.
type Stamp struct {
	// Millis is the time since the Unix epoch. It is at least that of each stamp that the daemon has seen before.
	Millis clock.Millis `json:"millis"`
	// Counter orders stamps with equal Millis.
	Counter uint32 `json:"counter"`
	Daemon  string `json:"daemon"`
}

// Before reports whether s is ordered before o.
func (s Stamp) Before(o Stamp) bool {
	if s.Millis != o.Millis {
		return s.Millis < o.Millis
	}
	if s.Counter != o.Counter {
		return s.Counter < o.Counter
	}
	return s.Daemon < o.Daemon
}

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	Started         Kind = "started"             // the daemon starts
	Draining        Kind = "draining"            // the daemon begins to drain
	Stopped         Kind = "stopped"             // the daemon has stopped
	PeerJoined      Kind = "peer-joined"         // the peer in Detail has joined
	PeerLost        Kind = "peer-lost"           // the peer in Detail is lost
	Configured      Kind = "configured"          // the daemon uses the configuration described in Detail
	Suspected       Kind = "suspected"           // the daemon suspects that Target has failed
	FalseAlarm      Kind = "false-alarm"         // the suspected Target answers again
	Confirmed       Kind = "confirmed"           // the failure of the primary Target is confirmed
	ChangeBegan     Kind = "change-began"        // the daemon begins a change of primary to Term
	Fenced          Kind = "fenced"              // a majority of targets has promised Term
	Chosen          Kind = "chosen"              // Target is chosen as the next primary
	Recorded        Kind = "recorded"            // the platform has recorded the choice
	Unrecorded      Kind = "going-on-unrecorded" // the change continues without a record at the platform
	Promoted        Kind = "promoted"            // Target is the primary of Term
	Followed        Kind = "followed"            // Target follows the primary in Detail
	ChangeEnded     Kind = "change-ended"        // the daemon uses Target as the primary of Term
	ChangeAbandoned Kind = "change-abandoned"    // the daemon abandons the change for the reason in Detail
	FirstWrite      Kind = "first-write"         // the daemon sees the first acknowledged write at Term
	Refused         Kind = "refused"             // a request is refused with Code
	UnknownOutcome  Kind = "unknown-outcome"     // the outcome of a request is unknown
	Counted         Kind = "counted"             // Counts of requests
)

// Event is one entry of the time line. Fields that do not apply to its kind are empty.
type Event struct {
	At      Stamp         `json:"at"`
	Kind    Kind          `json:"kind"`
	Group   string        `json:"group,omitempty"`
	Service string        `json:"service,omitempty"`
	Request string        `json:"request,omitempty"`
	Session string        `json:"session,omitempty"`
	Target  string        `json:"target,omitempty"`
	Term    position.Term `json:"term,omitempty"`
	Code    string        `json:"code,omitempty"`
	Detail  string        `json:"detail,omitempty"`
	Counts  *Counts       `json:"counts,omitempty"`
}

// Counts holds the numbers of requests with one service, request name and kind since the previous Counted event of the daemon for them.
type Counts struct {
	Kind         string `json:"kind"` // read or write
	Weight       int    `json:"weight"`
	Asked        int64  `json:"asked"` // received from callers
	Served       int64  `json:"served"`
	ReplicaReads int64  `json:"replica-reads"` // of Served
	Refused      int64  `json:"refused"`
	Unknown      int64  `json:"unknown"` // with unknown outcome
	Sent         int64  `json:"sent"`    // exchanges sent to a target
}
