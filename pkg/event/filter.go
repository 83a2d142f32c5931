package event

import (
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Filter picks events; an empty field picks all.
type Filter struct {
	Group   string
	Session string
	Request string
	// Since and Until are milliseconds since the Unix epoch; Until itself is left out.
	Since clock.Millis
	Until clock.Millis
}

// Pick returns the events that f lets through.
func (f *Filter) Pick(all []Event) []Event {
	var out []Event
	for i := range all {
		if f.takes(&all[i]) {
			out = append(out, all[i])
		}
	}
	return out
}

func (f *Filter) takes(e *Event) bool {
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

// changeKinds are the events that tell of a change of primary.
var changeKinds = []Kind{
	Started, Draining, Stopped, Suspected, FalseAlarm, Confirmed, ChangeBegan, Fenced, Chosen,
	Recorded, Unrecorded, Promoted, Followed, ChangeEnded, ChangeLeft, FirstWrite,
}

// Changes returns the events that tell of changes of primary.
func Changes(all []Event) []Event {
	var out []Event
	for i := range all {
		if slices.Contains(changeKinds, all[i].Kind) {
			out = append(out, all[i])
		}
	}
	return out
}
