package promotion

import (
	"fmt"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// TestActionDelaysSpread simulates the failure of one primary seen by 66 daemons.
// At most two thirds of them may query the store before the change ends.
func TestActionDelaysSpread(t *testing.T) {
	const daemons, changeDuration = 66, clock.Millis(700)
	maxActing := 0
	for i := range 20 {
		g := group.ID(fmt.Sprint("g", i))
		first, actBeforeEnd := clock.Millis(1<<40), 0
		for j := range daemons {
			first = min(first, ActionDelay(group.DaemonID(fmt.Sprint("d", j)), g, daemons))
		}
		for j := range daemons {
			if ActionDelay(group.DaemonID(fmt.Sprint("d", j)), g, daemons) < first+changeDuration {
				actBeforeEnd++
			}
		}
		if first > 4*delayPerDaemon+delayPerDaemon {
			t.Errorf("%s: got the first action after %d ms, want at most %d ms", g, first, 5*delayPerDaemon)
		}
		maxActing = max(maxActing, actBeforeEnd)
	}
	if maxActing > daemons*2/3 {
		t.Errorf("got %d of %d daemons acting before the change ended, want at most two thirds", maxActing, daemons)
	}
}
