package admission

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Guards against a target that is full and spends its slots on the statements with the most work, for each of which several others are
// refused. At 2.2 times the capacity, more operations are served and more credit is earned when costs are known.
func TestCostlyItemsAreRefusedEarlier(t *testing.T) {
	const overload = 250
	for _, window := range []int{2, 4} {
		without := replayWith(&simulation{window: window, opsPerSecond: overload, staged: true})
		with := replayWith(&simulation{window: window, opsPerSecond: overload, staged: true, costs: true})
		t.Logf("window %d: served %.3f, credit %.3f without costs, %.3f, %.3f with", window, without.servedShare(), without.credit/without.maxCredit, with.servedShare(), with.credit/with.maxCredit)
		if with.servedShare() <= without.servedShare() || with.credit <= without.credit {
			t.Errorf("window %d: got no more served or earned with costs", window)
		}
		if got := with.inTime["lookup"] + with.late["lookup"]; 4*got < with.requested["lookup"] {
			t.Errorf("window %d: got %d of %d of the costly kind served, want at least a quarter", window, got, with.requested["lookup"])
		}
	}
}

// Guards against a cost that follows how busy a target is in place of the work of the route.
func TestCostsFollowTheWorkOfARoute(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	c := NewCosts()
	if got := c.Of("a"); got != 1 {
		t.Errorf("got cost %.2f of an unknown route, want 1", got)
	}
	mean := 10.0
	for i := range 5000 {
		if i == 2500 {
			mean *= 8 // the target is full
		}
		c.Observe("half", mean/2*(0.5+r.Float64()), mean)
		c.Observe("double", mean*2*(0.5+r.Float64()), mean)
		c.Observe("huge", mean*100, mean)
	}
	for route, want := range map[string]float64{"half": 0.5, "double": 2, "huge": maxCost} {
		if got := c.Of(route); math.Abs(got-want) > 0.2*want {
			t.Errorf("%s: got cost %.2f, want %.2f", route, got, want)
		}
	}
	c.Keep(func(route string) bool { return route == "half" })
	if len(c.byRoute) != 1 {
		t.Errorf("got %d routes kept, want 1", len(c.byRoute))
	}
}
