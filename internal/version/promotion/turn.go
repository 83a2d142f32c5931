package promotion

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// delayPerDaemon is the mean time between the turns of two daemons, in milliseconds: several times a read and a write of the store.
const delayPerDaemon clock.Millis = 30

// Turn is how long a daemon of so many lets others act on a group first, so that one comes first and most need not ask the store.
func Turn(d group.DaemonID, g group.ID, daemons int) clock.Millis {
	spread := uint64(delayPerDaemon) * uint64(max(daemons, 1))
	return clock.Millis(xxhash.Sum64String(string(d)+"\x00"+string(g)) % spread)
}
