package edge

import (
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
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
	primary group.TargetID
	// noPrimarySince is since when no target is believed to be the primary; 0 while one is.
	noPrimarySince clock.Millis
}

// outageSince is since when the group has had no primary that answers; 0 while it has one.
func (g *groupView) outageSince() clock.Millis {
	if t := g.target(g.primary); t != nil {
		return t.outageSince()
	}
	return g.noPrimarySince
}

// unreachableSince is since when neither the group's primary nor most of its targets answer this daemon; 0 while they do: a primary that fails alone is replaced, and then serves callers here as well as elsewhere.
func (g *groupView) unreachableSince() clock.Millis {
	failing := 0
	for _, t := range g.targets {
		if t.outageSince() > 0 {
			failing++
		}
	}
	if 2*failing <= len(g.targets) {
		return 0
	}
	return g.outageSince()
}

func (g *groupView) candidates() []placement.Candidate {
	list := make([]placement.Candidate, len(g.targets))
	for i, t := range g.targets {
		list[i] = t.candidate(t.meta.Load().ID == g.primary)
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
