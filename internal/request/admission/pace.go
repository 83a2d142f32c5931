package admission

import "github.com/cactusfork/cactusfork/pkg/clock"

const (
	// intervalWeight is the weight of a new interval in the moving average.
	intervalWeight = 0.1
	// rateMaxAge is how long a measured rate remains valid, in milliseconds.
	rateMaxAge clock.Millis = 500
)

// departureRate measures how fast items leave a queue in which others wait.
type departureRate struct {
	// lastAt is the time of the last departure, or 0 if the queue was empty after it.
	lastAt clock.Millis
	// measuredAt is the time of the last update of interval; 0 means that there was none.
	measuredAt clock.Millis
	// interval is the moving average of the time between two departures, in milliseconds.
	interval float64
}

// observe records that an item left at now, and whether other items still wait.
func (r *departureRate) observe(now clock.Millis, moreWaiting bool) {
	if r.lastAt > 0 {
		d := float64(now - r.lastAt)
		if r.measuredAt == 0 || now-r.measuredAt > rateMaxAge {
			r.interval = d
		}
		r.interval += intervalWeight * (d - r.interval)
		r.measuredAt = now
	}
	r.lastAt = 0
	if moreWaiting {
		r.lastAt = now
	}
}

// estimateWait returns the expected wait behind the given number of items in milliseconds, or 0 if no valid rate is known.
func (r *departureRate) estimateWait(now clock.Millis, ahead int) clock.Millis {
	if r.measuredAt == 0 || now-r.measuredAt > rateMaxAge {
		return 0
	}
	return clock.Millis(r.interval * float64(ahead))
}
