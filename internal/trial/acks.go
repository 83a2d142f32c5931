package trial

import (
	"math/rand/v2"
	"sync"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// lookupMaxAge is the maximum age of the request bulletin.lookup in ServiceFile, in milliseconds.
const lookupMaxAge = 5 * clock.Second

// ackedWrite is an acknowledged write with the time of its acknowledgement.
type ackedWrite struct {
	tag Tag
	at  clock.Millis
}

// ackLog records the acknowledged writes of all sessions, by the row ID of the quote.
type ackLog struct {
	mu     sync.Mutex
	ids    []string // keys of writes in the order of their first write
	writes map[string][]ackedWrite
}

func newAckLog() *ackLog { return &ackLog{writes: make(map[string][]ackedWrite)} }

func (l *ackLog) add(id string, tag Tag, at clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writes[id] == nil {
		l.ids = append(l.ids, id)
	}
	l.writes[id] = append(l.writes[id], ackedWrite{tag: tag, at: at})
}

// pick returns the row ID of a random quote, or false if no write was acknowledged yet.
func (l *ackLog) pick(rnd *rand.Rand) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ids) == 0 {
		return "", false
	}
	return l.ids[rnd.IntN(len(l.ids))], true
}

// before returns the writes to the row with that ID that were acknowledged before at.
func (l *ackLog) before(id string, at clock.Millis) []Tag {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Tag
	for _, p := range l.writes[id] {
		if p.at < at {
			out = append(out, p.tag)
		}
	}
	return out
}
