package event

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Stamp is a hybrid logical time, ordered by Millis, Counter and Daemon.
type Stamp struct {
	// Millis is milliseconds since the Unix epoch, never behind a stamp that this daemon has seen.
	Millis  clock.Millis `json:"millis"`
	Counter uint32       `json:"counter"`
	Daemon  string       `json:"daemon"`
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

// Kind says what an event is about.
type Kind string

// The kinds of event.
const (
	Started        Kind = "started"
	Draining       Kind = "draining"
	Stopped        Kind = "stopped"
	PeerJoined     Kind = "peer-joined"
	PeerLost       Kind = "peer-lost"
	Configured     Kind = "configured"
	Suspected      Kind = "suspected"
	FalseAlarm     Kind = "false-alarm"
	Confirmed      Kind = "confirmed"
	ChangeBegan    Kind = "change-began"
	Fenced         Kind = "fenced"
	Chosen         Kind = "chosen"
	Recorded       Kind = "recorded"
	Unrecorded     Kind = "going-on-unrecorded"
	Promoted       Kind = "promoted"
	Followed       Kind = "followed"
	ChangeEnded    Kind = "change-ended"
	ChangeLeft     Kind = "change-abandoned"
	FirstWrite     Kind = "first-write"
	Refused        Kind = "refused"
	UnknownOutcome Kind = "unknown-outcome"
	Counted        Kind = "counted"
)

// Event is one line of the time line; fields that do not apply are empty.
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

// Counts are the requests of one service and request name since the last such event of the daemon.
type Counts struct {
	Kind         string `json:"kind"`
	Weight       int    `json:"weight"`
	Asked        int64  `json:"asked"`
	Served       int64  `json:"served"`
	ReplicaReads int64  `json:"replica-reads"`
	Refused      int64  `json:"refused"`
	Unknown      int64  `json:"unknown"`
	Sent         int64  `json:"sent"`
}
