package capacity

import (
	"context"
	"runtime"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
)

// tally counts the bytes written to it.
type tally int

// Write counts b.
func (t *tally) Write(b []byte) (int, error) {
	*t += tally(len(b))
	return len(b), nil
}

func events() measure {
	return measure{
		slopes: []Slope{
			{ID: EventBytes, What: "event of a change of primary as a line", Size: "event", Unit: "B"},
			{ID: EventCPU, What: "event of a change of primary stamped, kept and written", Size: "event", Unit: "µs"},
			{ID: EventMemory, What: "memory of the events kept", Size: "event", Unit: "B"},
		},
		sizes: []int{1000, 10_000, 40_000},
		run: func(_ context.Context, n int) ([]float64, error) {
			var written tally
			before := held()
			l := event.NewLog("daemon-0001", n, clock.System(), &written)
			var err error
			u, failed := during(func() error {
				for range n {
					if err = l.Add(aChange); err != nil {
						return err
					}
				}
				return nil
			})
			memory := held() - before
			runtime.KeepAlive(l)
			return []float64{float64(written), u.cpu, memory}, failed
		},
	}
}

// aChange is an event as a change of primary has them.
var aChange = event.Event{Kind: event.Promoted, Group: "database-00001", Target: "database-00001-b", Term: 17}
