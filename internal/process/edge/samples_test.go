package edge

import (
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Guards against samples that are requested too early for the read that waits for them, so that a second one is needed.
func TestSampleIsRequestedWhenTheReadNeedsIt(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	for _, ahead := range []clock.Millis{0, 1, 20} {
		since := d.clk.Now() + ahead
		got, err := d.sample(t.Context(), "g", since, since+clock.Second)
		if err != nil || got.RequestedAt < since {
			t.Errorf("%d ms ahead: got a sample of %d ms, %v, want one of %d ms or later", ahead, got.RequestedAt, err, since)
		}
	}
}
