package placement

import "github.com/cactusfork/cactusfork/pkg/clock"

const (
	// historyStep is the least time between two samples that are kept, in milliseconds.
	historyStep clock.Millis = 50
	// historyLength is how many samples are kept.
	historyLength = 128
)

// History keeps recent samples of a group, so that a read gets the lowest floor that is young enough for it, which most replicas hold.
type History struct {
	// list is ordered by time, and so by point.
	list []Sample
	// newest may be too close to the last of the list to be kept.
	newest Sample
}

// Add takes a sample; the points of later samples never fall.
func (h *History) Add(s Sample) {
	h.newest = h.newest.Merge(s)
	n := len(h.list)
	if n > 0 && h.newest.AskedAt < h.list[n-1].AskedAt+historyStep {
		return
	}
	if n == historyLength {
		copy(h.list, h.list[1:])
		h.list = h.list[:n-1]
	}
	h.list = append(h.list, h.newest)
}

// Oldest returns the oldest sample that was asked for at or after since.
func (h *History) Oldest(since clock.Millis) (Sample, bool) {
	for _, s := range h.list {
		if s.Since(since) {
			return s, true
		}
	}
	return h.newest, h.newest.Since(since)
}

// Newest returns the newest sample.
func (h *History) Newest() Sample { return h.newest }
