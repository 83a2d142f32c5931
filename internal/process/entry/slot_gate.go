package entry

import (
	"math/rand/v2"
	"sync"

	"github.com/cactusfork/cactusfork/internal/request/admission"
	"github.com/cactusfork/cactusfork/internal/request/limit"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// slotGate is where requests to one target wait for one of this daemon's slots.
type slotGate struct {
	clk     *clock.Clock
	gate    *admission.Gate
	mu      sync.Mutex
	limiter *limit.Limiter
}

func newSlotGate(now clock.Millis, t *group.Target, queue int, clk *clock.Clock) *slotGate {
	l := limit.NewLimiter(now, max(t.Slots, 1))
	l.Jitter = func(d clock.Millis) clock.Millis { return d/2 + rand.N(d/2+1) }
	d := &slotGate{clk: clk, gate: admission.NewGate(clk, 0, queue), limiter: l}
	d.adjust(now)
	return d
}

// adjust opens the gate as wide as the limiter allows now.
func (d *slotGate) adjust(now clock.Millis) {
	d.mu.Lock()
	n := d.limiter.Slots(now)
	d.mu.Unlock()
	d.gate.SetSlots(n)
}

func (d *slotGate) setShare(now clock.Millis, n int) {
	d.mu.Lock()
	d.limiter.SetShare(now, n)
	d.mu.Unlock()
	d.adjust(now)
}

func (d *slotGate) refused(now clock.Millis) {
	d.mu.Lock()
	d.limiter.Refused(now)
	d.mu.Unlock()
	d.adjust(now)
}

func (d *slotGate) served() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.Served()
}

// wanted is how many statements this daemon has for the target.
func (d *slotGate) wanted() int {
	l := d.gate.Load()
	return l.Busy + l.Waiting
}

// slots is how many statements this daemon may have at work at the target now.
func (d *slotGate) slots() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Slots(d.clk.Now())
}
