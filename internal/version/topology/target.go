package topology

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Revision orders the changes of an entry.
type Revision uint64

// Target is one database server as its own entry describes it.
type Target struct {
	ID         group.TargetID
	Group      group.ID
	Address    string
	DataCentre group.DataCentre
	Slots      int
	// Draining is true once the target has said that it is about to stop.
	Draining bool
	// Primary is the role that the target sees itself in.
	Primary bool
	// Warming is how much longer the target stays slow after its start.
	Warming clock.Millis
	// Born is when the target started, by its own clock; another value means that it has lost its connections.
	Born int64
	// Revision is that of the entry.
	Revision Revision
}
