package trial

import (
	"strconv"
	"sync"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Tag identifies one write. The write appends it to the row, so that the final state shows how often the write ran.
type Tag string

// Outcome is the result of one request as its session saw it.
type Outcome int

// Outcomes of a request.
const (
	// Acknowledged means that the reply was complete and without an error.
	Acknowledged Outcome = iota + 1
	// NotRun means that the daemon refused the request and stated that it was not run.
	NotRun
	// Unknown means that the request may or may not have run.
	Unknown
	// Failed means that the target returned an error.
	Failed
)

// WriteKind is the kind of a write.
type WriteKind int

// Kinds of writes.
const (
	// Create inserts a quote.
	Create WriteKind = iota + 1
	// Revise updates a quote that the session created.
	Revise
)

// WriteRecord describes one write of a session.
type WriteRecord struct {
	Session  int // number of the session, from 0
	Quote    int // number of the quote within its session, from 0
	Tag      Tag
	Kind     WriteKind
	Outcome  Outcome
	Code     string // as in Reply
	Began    clock.Millis
	Finished clock.Millis
}

// ReadRecord describes one read of a session.
type ReadRecord struct {
	Outcome Outcome
	Code    string // as in Reply
	// Overdue lists acknowledged writes of any session that the rows lack although the maximum age of the read requires them.
	Overdue []Tag
	// Missing lists acknowledged writes of the session itself that the rows lack.
	Missing []Tag
	// Mixed is true if the reply contains rows of another request.
	Mixed bool
	// HasMaxAge is true for a request with a maximum age.
	HasMaxAge bool
	Began     clock.Millis
	Took      clock.Millis
}

// History records the requests of all sessions and their outcomes.
type History struct {
	mu     sync.Mutex
	Writes []WriteRecord
	Reads  []ReadRecord
}

func (h *History) addWrite(w *WriteRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Writes = append(h.Writes, *w)
}

func (h *History) addRead(r *ReadRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Reads = append(h.Reads, *r)
}

// servedEachKind reports whether a write and a read of each kind was acknowledged.
func (h *History) servedEachKind() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	var writes [Revise + 1]bool
	var withMaxAge, without bool
	for i := range h.Writes {
		if w := &h.Writes[i]; w.Outcome == Acknowledged {
			writes[w.Kind] = true
		}
	}
	for i := range h.Reads {
		if r := &h.Reads[i]; r.Outcome == Acknowledged {
			withMaxAge, without = withMaxAge || r.HasMaxAge, without || !r.HasMaxAge
		}
	}
	return writes[Create] && writes[Revise] && withMaxAge && without
}

// complete reports whether the history shows what a trial of the fault is for: requests of each kind, and a write that was acknowledged
// behind a fault of the primary.
func (h *History) complete(f Fault, times faultTimes) bool {
	if !h.servedEachKind() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !f.primaryFails() || failoverGap(h, times) != nil
}

// quoteID returns the prefix of the row IDs of a session's quote. The INSERT statement appends the number of existing rows with that
// prefix, so that a write that runs twice creates a second row.
func quoteID(session, quote int) string {
	return "s" + strconv.Itoa(session) + "-q" + strconv.Itoa(quote)
}
