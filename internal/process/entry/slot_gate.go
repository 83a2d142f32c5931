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

func newSlotGate(t *group.Target, queue int, clk *clock.Clock) *slotGate {
	now := clk.Now()
	l := limit.NewLimiter(now, max(t.Slots, 1))
	l.Jitter = func(d clock.Millis) clock.Millis { return d/2 + rand.N(d/2+1) }
	g := &slotGate{clk: clk, gate: admission.NewGate(clk, 0, queue), limiter: l}
	g.adjust(now)
	return g
}

// adjust opens the gate as wide as the limiter allows now.
func (g *slotGate) adjust(now clock.Millis) {
	g.mu.Lock()
	n := g.limiter.Slots(now)
	g.mu.Unlock()
	g.gate.SetSlots(n)
}

func (g *slotGate) setShare(now clock.Millis, n int) {
	g.mu.Lock()
	g.limiter.SetShare(now, n)
	g.mu.Unlock()
	g.adjust(now)
}

func (g *slotGate) refused(now clock.Millis) {
	g.mu.Lock()
	g.limiter.Refused(now)
	g.mu.Unlock()
	g.adjust(now)
}

func (g *slotGate) served() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Served()
}

// slots is how many statements this daemon may have at work at the target now.
func (g *slotGate) slots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Slots(g.clk.Now())
}
