package trial

import (
	"math/rand/v2"
	"sync"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// statedAge is the age that the demo's bulletin.lookup accepts, in milliseconds.
const statedAge = 5 * clock.Second

// posted is an acknowledged write with the time of its acknowledgement.
type posted struct {
	tag Tag
	at  clock.Millis
}

// ackLog is what all sessions know to have been acknowledged, by quote.
type ackLog struct {
	mu     sync.Mutex
	ids    []string
	writes map[string][]posted
}

func newAckLog() *ackLog { return &ackLog{writes: make(map[string][]posted)} }

func (b *ackLog) add(id string, tag Tag, at clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.writes[id] == nil {
		b.ids = append(b.ids, id)
	}
	b.writes[id] = append(b.writes[id], posted{tag: tag, at: at})
}

// pick returns a random quote, or false while there is none.
func (b *ackLog) pick(rnd *rand.Rand) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ids) == 0 {
		return "", false
	}
	return b.ids[rnd.IntN(len(b.ids))], true
}

// before returns the writes of a quote that were acknowledged before at.
func (b *ackLog) before(id string, at clock.Millis) []Tag {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Tag
	for _, p := range b.writes[id] {
		if p.at < at {
			out = append(out, p.tag)
		}
	}
	return out
}
