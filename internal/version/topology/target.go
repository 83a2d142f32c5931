package topology

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Revision orders the updates of a registry entry.
type Revision uint64

// Target is one database server as described by its own registry entry.
type Target struct {
	ID         group.TargetID
	Group      group.ID
	Address    string
	DataCentre group.DataCentre
	Slots      int
	// Draining is true once the target has announced that it is about to stop.
	Draining bool
	// Primary is true if the target reports itself as primary.
	Primary bool
	// WarmupLeft is the remaining warm-up time after a start, during which the target is slow.
	WarmupLeft clock.Millis
	// StartedAt is the target's start time by its own clock, in Unix milliseconds; 0 if it is unknown.
	// A different value means that the target has restarted and its connections are lost.
	StartedAt int64
	// Sequence counts the target's writes of its entry since StartedAt.
	Sequence uint64
	// Revision is the revision of the entry.
	Revision Revision
}

// WrittenBefore reports whether the target itself wrote its entry t before other, as far as the entries tell. It does not depend on the registry, which may show an old entry again.
func (t *Target) WrittenBefore(other *Target) bool {
	if t.StartedAt == 0 || other.StartedAt == 0 {
		return false
	}
	if t.StartedAt != other.StartedAt {
		return t.StartedAt < other.StartedAt
	}
	return t.Sequence < other.Sequence
}
