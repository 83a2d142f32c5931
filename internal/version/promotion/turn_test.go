package promotion

import (
	"fmt"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// TestTurnsSpread replays the failure of one primary before 66 daemons: by the time a change is over, few others have asked the store.
func TestTurnsSpread(t *testing.T) {
	const daemons, change = 66, clock.Millis(700)
	worst := 0
	for i := range 20 {
		g := group.ID(fmt.Sprint("g", i))
		first, early := clock.Millis(1<<40), 0
		for j := range daemons {
			first = min(first, Turn(group.DaemonID(fmt.Sprint("d", j)), g, daemons))
		}
		for j := range daemons {
			if Turn(group.DaemonID(fmt.Sprint("d", j)), g, daemons) < first+change {
				early++
			}
		}
		if first > 4*turnStep+turnStep {
			t.Errorf("%s: got the first turn after %d ms, want one soon", g, first)
		}
		worst = max(worst, early)
	}
	if worst > daemons*2/3 {
		t.Errorf("got %d of %d daemons before the change was over, want fewer", worst, daemons)
	}
}
