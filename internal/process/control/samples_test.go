package control

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestAppendThinnedKeepsSamplesOfAllAges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []route.Sample
		now := clock.Millis(1)
		steps := rapid.SliceOfN(rapid.Int64Range(1, 200), 1, 3000).Draw(t, "steps")
		for _, step := range steps {
			now += clock.Millis(step)
			all = appendThinned(all, route.Sample{RequestedAt: now}, now)
		}
		if got := len(all); got > maxSamples {
			t.Fatalf("got %d samples, want at most %d", got, maxSamples)
		}
		if got := all[len(all)-1].RequestedAt; got != now {
			t.Fatalf("got newest sample of time %d, want %d", got, now)
		}
		for i := 1; i < len(all); i++ {
			if all[i].RequestedAt <= all[i-1].RequestedAt {
				t.Fatalf("got %v, want increasing times", all)
			}
		}
		// A read with a maximum age of 5 s needs a sample that is not much younger than 5 s.
		for _, s := range all {
			age := now - s.RequestedAt
			if age <= 5*clock.Second && age >= 3*clock.Second {
				return
			}
		}
		if now > 20*clock.Second {
			t.Fatalf("got %d samples at %d ms, none of them 3 to 5 s old", len(all), now)
		}
	})
}
