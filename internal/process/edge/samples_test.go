package edge

import (
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Guards against a sample that is requested too early for the read that waits for it, so that a second one is needed.
func TestSampleIsRequestedWhenTheReadNeedsIt(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	for _, ahead := range []clock.Millis{1, 20} {
		since := d.clk.Now() + ahead
		if _, _, start := d.samples.get("g", since); !start {
			t.Fatalf("%d ms ahead: got a sample or a pending request, want neither", ahead)
		}
		d.samplePrimary(t.Context(), "g", since)
		got, pending, _ := d.samples.get("g", since)
		if pending != nil {
			t.Fatalf("%d ms ahead: got no sample of %d ms or later by one request, want one", ahead, since)
		}
		if got.RequestedAt < since {
			t.Errorf("%d ms ahead: got a sample of %d ms, want one of %d ms or later", ahead, got.RequestedAt, since)
		}
	}
}
