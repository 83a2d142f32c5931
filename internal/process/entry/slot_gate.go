package entry

import (
	"math/rand/v2"
	"sync"

	"github.com/cactusfork/cactusfork/internal/request/admission"
	"github.com/cactusfork/cactusfork/internal/request/limit"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// slotGate queues the requests to one target until one of this daemon's slots is free.
type slotGate struct {
	clk     *clock.Clock
	gate    *admission.Gate
	mu      sync.Mutex
	limiter *limit.Limiter
}

func newSlotGate(t *group.Target, queue int, clk *clock.Clock) *slotGate {
	now := clk.Now()
	l := limit.NewLimiter(now, max(t.Slots, 1))
	l.Jitter = func(d clock.Millis) clock.Millis { return d/2 + rand.N(d/2+1) }
	g := &slotGate{clk: clk, gate: admission.NewGate(clk, 0, queue), limiter: l}
	g.adjust(now)
	return g
}

// adjust sets the gate's slots to the number that the limiter allows at now.
func (g *slotGate) adjust(now clock.Millis) {
	g.mu.Lock()
	n := g.limiter.Slots(now)
	g.mu.Unlock()
	g.gate.SetSlots(n)
}

// setShare sets this daemon's share of the target's slots.
func (g *slotGate) setShare(now clock.Millis, n int) {
	g.mu.Lock()
	g.limiter.SetShare(now, n)
	g.mu.Unlock()
	g.adjust(now)
}

// recordOverload lowers the slots after the target refused a connection or a statement as overloaded.
func (g *slotGate) recordOverload(now clock.Millis) {
	g.mu.Lock()
	g.limiter.Refused(now)
	g.mu.Unlock()
	g.adjust(now)
}

// recordServed tells the limiter that the target completed a request.
func (g *slotGate) recordServed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Served()
}

// slots returns the number of statements that this daemon may currently have in flight at the target.
func (g *slotGate) slots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Slots(g.clk.Now())
}
