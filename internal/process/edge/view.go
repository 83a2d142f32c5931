package edge

import (
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
)

// view is the immutable state that traffic works by.
type view struct {
	config *topology.Config
	groups map[group.ID]*groupView
}

// groupView is a group of targets and which of them is believed to be the primary.
type groupView struct {
	id      group.ID
	targets []*target
	leader  group.TargetID
}

func (g *groupView) candidates() []placement.Candidate {
	list := make([]placement.Candidate, len(g.targets))
	for i, t := range g.targets {
		list[i] = t.candidate(t.meta.Load().ID == g.leader)
	}
	return list
}

func (g *groupView) target(id group.TargetID) *target {
	for _, t := range g.targets {
		if t.meta.Load().ID == id {
			return t
		}
	}
	return nil
}

// findTarget returns a target by its group and name, or nil.
func (v *view) findTarget(g group.ID, id group.TargetID) *target {
	if gv := v.groups[g]; gv != nil {
		return gv.target(id)
	}
	return nil
}
