package placement

import (
	"sort"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

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
	if s.Point.Term > h.newest.Point.Term {
		// What the primary of an earlier term held may be in no log any more.
		h.list = h.list[:0]
	}
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

// reached returns since when the primary was known to be at or past a point; false when no sample tells.
func (h *History) reached(p position.Point) (clock.Millis, bool) {
	if i := sort.Search(len(h.list), func(i int) bool { return h.list[i].Point.Reaches(p) }); i < len(h.list) {
		return h.list[i].AskedAt, true
	}
	return h.newest.AskedAt, h.newest.Point != (position.Point{}) && h.newest.Point.Reaches(p)
}

// Behind returns for how long from now on a replica that was at place at that time is expected to lack the floor, if it goes on at the pace of the primary; 0 when it holds it, or nothing is known, or it was seen so long ago that it has to be tried again.
func (h *History) Behind(place position.Point, placeAt clock.Millis, floor position.Point, now clock.Millis) clock.Millis {
	if place == (position.Point{}) || place.Reaches(floor) || now-placeAt > placeLife {
		return 0
	}
	there, ok := h.reached(place)
	if !ok {
		return 0
	}
	wanted, ok := h.reached(floor)
	if !ok {
		return 0
	}
	return max(0, wanted-there-(now-placeAt))
}
