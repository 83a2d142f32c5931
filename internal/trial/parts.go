package trial

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
)

// Parts are the steps of a change of primary, each in milliseconds after the fault; 0 when the step was not seen.
type Parts struct {
	Suspected  clock.Millis `json:"suspected"`
	Began      clock.Millis `json:"change-began"`
	Fenced     clock.Millis `json:"fenced"`
	Chosen     clock.Millis `json:"chosen"`
	Recorded   clock.Millis `json:"recorded"`
	Promoted   clock.Millis `json:"promoted"`
	FirstWrite clock.Millis `json:"first-write"`
}

// parts finds the first event of each step after the fault over all daemons.
func (s *Environment) parts(fault clock.Millis) *Parts {
	wall := s.clk.Wall() - s.clk.Now() + fault
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
	for _, l := range s.Events {
		events := l.Events()
		for i := range events {
			earliest(steps[events[i].Kind], events[i].At.Millis-wall)
		}
	}
	return p
}

func earliest(step *clock.Millis, at clock.Millis) {
	if step == nil || at <= 0 {
		return
	}
	if *step == 0 || at < *step {
		*step = at
	}
}
