package admission

import "github.com/cactusfork/cactusfork/pkg/clock"

const (
	// intervalWeight is the part of a new interval in the usual one.
	intervalWeight = 0.1
	// rateMaxAge is how long a pace tells how fast items leave the queue, in milliseconds.
	rateMaxAge clock.Millis = 500
)

// departureRate is how fast items leave a queue while moreWaiting wait behind them.
type departureRate struct {
	// lastAt is when an item left; 0 while none waits behind it.
	lastAt     clock.Millis
	measuredAt clock.Millis
	interval   float64
}

// observe notes that an item observe at now, and whether moreWaiting wait behind it.
func (p *departureRate) observe(now clock.Millis, moreWaiting bool) {
	if p.lastAt > 0 {
		d := float64(now - p.lastAt)
		if p.measuredAt == 0 || now-p.measuredAt > rateMaxAge {
			p.interval = d
		}
		p.interval += intervalWeight * (d - p.interval)
		p.measuredAt = now
	}
	p.lastAt = 0
	if moreWaiting {
		p.lastAt = now
	}
}

// estimateWait is how long an item waits with so many ahead of it, in milliseconds; 0 while nothing is known.
func (p *departureRate) estimateWait(now clock.Millis, ahead int) clock.Millis {
	if p.measuredAt == 0 || now-p.measuredAt > rateMaxAge {
		return 0
	}
	return clock.Millis(p.interval * float64(ahead))
}
