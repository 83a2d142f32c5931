package event

import (
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Filter selects events that match all its fields. An empty field matches every event.
type Filter struct {
	Group   string
	Session string
	Request string
	// Since and Until are milliseconds since the Unix epoch. Since is inclusive and Until exclusive.
	Since clock.Millis
	Until clock.Millis
}

// Apply returns the events that match f.
func (f *Filter) Apply(all []Event) []Event {
	var out []Event
	for i := range all {
		if f.matches(&all[i]) {
			out = append(out, all[i])
		}
	}
	return out
}

func (f *Filter) matches(e *Event) bool {
	switch {
	case f.Group != "" && e.Group != f.Group:
		return false
	case f.Session != "" && e.Session != f.Session:
		return false
	case f.Request != "" && e.Request != f.Request:
		return false
	case f.Since != 0 && e.At.Millis < f.Since:
		return false
	case f.Until != 0 && e.At.Millis >= f.Until:
		return false
	}
	return true
}

// changeKinds are the kinds of events that belong to a change of primary, and the starts and stops of daemons.
var changeKinds = []Kind{
	Started, Draining, Stopped, Suspected, FalseAlarm, Confirmed, ChangeBegan, Fenced, Chosen,
	Recorded, Unrecorded, Promoted, Followed, ChangeEnded, ChangeAbandoned, FirstWrite,
}

// Changes returns the events of changes of primary, and the starts and stops of daemons.
func Changes(all []Event) []Event {
	var out []Event
	for i := range all {
		if slices.Contains(changeKinds, all[i].Kind) {
			out = append(out, all[i])
		}
	}
	return out
}
