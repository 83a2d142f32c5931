package promotion

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// delayPerDaemon is the mean gap between the delays of two daemons, in milliseconds.
// It is several times the duration of a store read plus a store write.
const delayPerDaemon clock.Millis = 30

// ActionDelay returns the delay, in milliseconds, after which daemon d may act on group g; daemons is the size of the fleet.
// Hashed delays let one daemon act first, so that most of the others need not query the store.
func ActionDelay(d group.DaemonID, g group.ID, daemons int) clock.Millis {
	spread := uint64(delayPerDaemon) * uint64(max(daemons, 1))
	return clock.Millis(xxhash.Sum64String(string(d)+"\x00"+string(g)) % spread)
}
