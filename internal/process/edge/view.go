package edge

import (
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// view is the immutable state by which sessions choose routes and targets.
type view struct {
	config *topology.Config
	groups map[group.ID]*groupView
}

// groupView is a group's targets and its known primary.
type groupView struct {
	id      group.ID
	targets []*target
	primary group.TargetID
	// noPrimarySince is the time since which no primary is known; 0 while one is.
	noPrimarySince clock.Millis
}

// outageSince returns the time since which the group has had no primary that replies; 0 while it has one.
func (g *groupView) outageSince() clock.Millis {
	if t := g.target(g.primary); t != nil {
		return t.outageSince()
	}
	return g.noPrimarySince
}

// unreachableSince returns the time since which neither the group's primary nor most of its targets have replied to this daemon; 0 while they do. A primary that fails alone does not count: it is replaced, and the group then serves callers here as well as elsewhere.
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

// candidates returns the state of the targets for the placement of a statement of the workspace.
func (g *groupView) candidates(ws workspace.ID) []placement.Candidate {
	list := make([]placement.Candidate, len(g.targets))
	for i, t := range g.targets {
		list[i] = t.candidate(t.meta.Load().ID == g.primary)
		if ws != "" {
			list[i].OpenCost = t.pool.OpenCost(ws)
		}
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

// workingPrimary returns the primary of a group, or nil if none is known or if it fails.
func (v *view) workingPrimary(g group.ID) *target {
	gv := v.groups[g]
	if gv == nil {
		return nil
	}
	if t := gv.target(gv.primary); t != nil && t.outageSince() == 0 {
		return t
	}
	return nil
}

// findTarget returns a target by its group and ID, or nil.
func (v *view) findTarget(g group.ID, id group.TargetID) *target {
	if gv := v.groups[g]; gv != nil {
		return gv.target(id)
	}
	return nil
}
