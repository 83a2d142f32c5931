package placement

import (
	"sort"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// minSampleInterval is the minimum time between two stored samples, in milliseconds.
	minSampleInterval clock.Millis = 50
	// maxSamples is the maximum number of stored samples.
	maxSamples = 128
)

// History stores recent samples of a group. A read gets the oldest sample that is recent enough for it as its floor,
// because most replicas have reached that point.
type History struct {
	// samples is ordered by time and therefore also by point.
	samples []Sample
	// newest is not in samples if it follows the last stored one by less than minSampleInterval.
	newest Sample
}

// Add records a sample. A sample of a later term discards the stored ones; an older point never lowers the newest.
func (h *History) Add(s Sample) {
	if s.Point.Term > h.newest.Point.Term {
		// The new primary may never have received the last points of the earlier term.
		h.samples = h.samples[:0]
	}
	h.newest = h.newest.Merge(s)
	n := len(h.samples)
	if n > 0 && h.newest.RequestedAt < h.samples[n-1].RequestedAt+minSampleInterval {
		return
	}
	if n == maxSamples {
		copy(h.samples, h.samples[1:])
		h.samples = h.samples[:n-1]
	}
	h.samples = append(h.samples, h.newest)
}

// Oldest returns the oldest sample that was requested at or after since, and false if there is none.
func (h *History) Oldest(since clock.Millis) (Sample, bool) {
	for _, s := range h.samples {
		if s.Covers(since) {
			return s, true
		}
	}
	return h.newest, h.newest.Covers(since)
}

// Newest returns the latest confirmed point with the latest request time.
func (h *History) Newest() Sample { return h.newest }

// reachedAt returns the time by which the primary had reached p according to the samples, and false if no sample reaches p.
func (h *History) reachedAt(p position.Point) (clock.Millis, bool) {
	if i := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].Point.Reaches(p) }); i < len(h.samples) {
		return h.samples[i].RequestedAt, true
	}
	return h.newest.RequestedAt, h.newest.Point != (position.Point{}) && h.newest.Point.Reaches(p)
}

// ExpectedLag returns how long a replica that was at the given point at pointAt is expected to stay below the floor, in milliseconds from now.
// It assumes that the replica advances as fast as the primary did.
// The result is 0 if the replica has reached the floor, if the samples do not cover the points,
// or if the point is so old that only another attempt can tell.
func (h *History) ExpectedLag(point position.Point, pointAt clock.Millis, floor position.Point, now clock.Millis) clock.Millis {
	if point == (position.Point{}) || point.Reaches(floor) || now-pointAt > pointMaxAge {
		return 0
	}
	replicaReachedAt, ok := h.reachedAt(point)
	if !ok {
		return 0
	}
	floorReachedAt, ok := h.reachedAt(floor)
	if !ok {
		return 0
	}
	return max(0, floorReachedAt-replicaReachedAt-(now-pointAt))
}
