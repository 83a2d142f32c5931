package promotion

import (
	"fmt"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// TestActionDelaysSpread replays the failure of one primary before 66 daemons: by the time a change is over, few others have asked the store.
func TestActionDelaysSpread(t *testing.T) {
	const daemons, changeDuration = 66, clock.Millis(700)
	most := 0
	for i := range 20 {
		g := group.ID(fmt.Sprint("g", i))
		first, actBeforeEnd := clock.Millis(1<<40), 0
		for j := range daemons {
			first = min(first, Turn(group.DaemonID(fmt.Sprint("d", j)), g, daemons))
		}
		for j := range daemons {
			if Turn(group.DaemonID(fmt.Sprint("d", j)), g, daemons) < first+changeDuration {
				actBeforeEnd++
			}
		}
		if first > 4*delayPerDaemon+delayPerDaemon {
			t.Errorf("%s: got the first turn after %d ms, want one soon", g, first)
		}
		most = max(most, actBeforeEnd)
	}
	if most > daemons*2/3 {
		t.Errorf("got %d of %d daemons before the change was over, want fewer", most, daemons)
	}
}
