package trial

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
)

// Parts holds the times of the steps of a change of primary, each in milliseconds after the fault began; 0 means that the step was
// not observed.
type Parts struct {
	Suspected  clock.Millis `json:"suspected"`
	Began      clock.Millis `json:"change-began"`
	Fenced     clock.Millis `json:"fenced"`
	Chosen     clock.Millis `json:"chosen"`
	Recorded   clock.Millis `json:"recorded"`
	Promoted   clock.Millis `json:"promoted"`
	FirstWrite clock.Millis `json:"first-write"`
}

// failoverParts finds the first event of each step after the fault among the events of all daemons. The events carry wall time, so
// the start of the fault is converted to it.
func (env *Environment) failoverParts(fault clock.Millis) *Parts {
	wall := env.clk.Wall() - env.clk.Now() + fault
	p := &Parts{}
	steps := map[event.Kind]*clock.Millis{
		event.Suspected:   &p.Suspected,
		event.ChangeBegan: &p.Began,
		event.Fenced:      &p.Fenced,
		event.Chosen:      &p.Chosen,
		event.Recorded:    &p.Recorded,
		event.Promoted:    &p.Promoted,
		event.FirstWrite:  &p.FirstWrite,
	}
	for _, l := range env.Events {
		events := l.Events()
		for i := range events {
			keepEarliest(steps[events[i].Kind], events[i].At.Millis-wall)
		}
	}
	return p
}

// keepEarliest sets step to at if at is positive and step is 0 or later than at; a nil step is ignored.
func keepEarliest(step *clock.Millis, at clock.Millis) {
	if step == nil || at <= 0 {
		return
	}
	if *step == 0 || at < *step {
		*step = at
	}
}
