package trial

import (
	"strconv"
	"sync"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Tag names one write; it is written into the row, so that the final state tells how often the write ran.
type Tag string

// Fate is what a session was told of one request.
type Fate int

// The fates.
const (
	// Acknowledged means that the answer came whole.
	Acknowledged Fate = iota + 1
	// NotRun means that the refusal said that the request was not run.
	NotRun
	// Unknown means that the write may or may not have run.
	Unknown
	// Failed means an error of the target itself.
	Failed
)

// WriteKind tells the two kinds of write apart.
type WriteKind int

// The kinds of write.
const (
	Create WriteKind = iota + 1
	Revise
)

// WriteEntry is one write of a session.
type WriteEntry struct {
	Session  int
	Quote    int
	Tag      Tag
	Kind     WriteKind
	Fate     Fate
	Code     string
	Began    clock.Millis
	Finished clock.Millis
}

// ReadEntry is one read of a session.
type ReadEntry struct {
	Fate Fate
	Code string
	// Overdue are writes of any session that the answer should show by the age that the read states.
	Overdue []Tag
	// Missing are acknowledged writes of the session that the answer did not show.
	Missing []Tag
	// Mixed is true when the answer was that of another request.
	Mixed bool
	// Aged is true for a read that states an age.
	Aged  bool
	Began clock.Millis
	Took  clock.Millis
}

// History is what all sessions asked and were told.
type History struct {
	mu     sync.Mutex
	Writes []WriteEntry
	Reads  []ReadEntry
}

func (h *History) addWrite(w *WriteEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Writes = append(h.Writes, *w)
}

func (h *History) addRead(r *ReadEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Reads = append(h.Reads, *r)
}

// quoteID is the prefix of the ids of a session's quote; the statement adds a number, so that a doubled entry stands beside the first.
func quoteID(session, quote int) string {
	return "s" + strconv.Itoa(session) + "-q" + strconv.Itoa(quote)
}
