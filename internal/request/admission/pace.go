package admission

import "github.com/cactusfork/cactusfork/pkg/clock"

const (
	// paceWeight is the part of a new interval in the usual one.
	paceWeight = 0.1
	// paceLife is how long a pace tells how fast items leave the queue, in milliseconds.
	paceLife clock.Millis = 500
)

// pace is how fast items leave a queue while others wait behind them.
type pace struct {
	// last is when an item left; 0 while none waits behind it.
	last     clock.Millis
	seen     clock.Millis
	interval float64
}

// left notes that an item left at now, and whether others wait behind it.
func (p *pace) left(now clock.Millis, others bool) {
	if p.last > 0 {
		d := float64(now - p.last)
		if p.seen == 0 || now-p.seen > paceLife {
			p.interval = d
		}
		p.interval += paceWeight * (d - p.interval)
		p.seen = now
	}
	p.last = 0
	if others {
		p.last = now
	}
}

// wait is how long an item waits with so many ahead of it, in milliseconds; 0 while nothing is known.
func (p *pace) wait(now clock.Millis, ahead int) clock.Millis {
	if p.seen == 0 || now-p.seen > paceLife {
		return 0
	}
	return clock.Millis(p.interval * float64(ahead))
}
