package admission

import (
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/workspace"
)

// fairness orders the workspaces whose items wait together. It answers a workspace that sends many times its usual load to a target
// that is full: its items wait behind one another, not in front of those of other workspaces. While no other workspace waits, it gets
// all slots.
type fairness struct {
	// turns holds, for each workspace that has run an item while others waited, the turn of its next item.
	turns map[workspace.ID]uint64
	// turn is the turn of the item that ran last. A workspace that was away does not make up for it.
	turn uint64
}

// active reports whether the entries take turns: those of a workspace wait, or have run while others waited.
func (f *fairness) active(h entryHeap) bool { return f.turns != nil || h.hasWorkspace() }

func (h entryHeap) hasWorkspace() bool {
	return slices.ContainsFunc(h, func(e entry) bool { return e.Workspace != "" })
}

// turnOf returns the turn of the next item of the workspace.
func (f *fairness) turnOf(w workspace.ID) uint64 { return max(f.turns[w], f.turn) }

// next returns the index of the item that runs next: one of the workspace whose turn is earliest, and of those the most urgent.
func (f *fairness) next(h entryHeap) int {
	best := 0
	for i := range h {
		if i == 0 {
			continue
		}
		a, b := f.turnOf(h[i].Workspace), f.turnOf(h[best].Workspace)
		if a < b || a == b && h[i].before(h[best]) {
			best = i
		}
	}
	return best
}

// record notes that an item of the workspace runs, and whether others still wait.
func (f *fairness) record(w workspace.ID, moreWaiting bool) {
	if !moreWaiting {
		f.turns, f.turn = nil, 0
		return
	}
	if f.turns == nil {
		f.turns = make(map[workspace.ID]uint64)
	}
	f.turn = f.turnOf(w)
	f.turns[w] = f.turn + 1
}

// aheadFairly returns the number of entries that run before e if the workspaces take turns.
func (h entryHeap) aheadFairly(e entry) int {
	waiting := make(map[workspace.ID]int)
	for i := range h {
		if h[i].before(e) {
			waiting[h[i].Workspace]++
		}
	}
	own := waiting[e.Workspace]
	n := own
	for w, count := range waiting {
		if w != e.Workspace {
			n += min(count, own+1)
		}
	}
	return n
}

// holdsMore reports whether some workspace has more than one entry more than w has.
func (h entryHeap) holdsMore(w workspace.ID) bool {
	waiting := make(map[workspace.ID]int)
	for i := range h {
		waiting[h[i].Workspace]++
	}
	for _, n := range waiting {
		if n > waiting[w]+1 {
			return true
		}
	}
	return false
}

// displaced returns the index of the entry that makes room for another one: the least urgent of the workspace with most entries. One that
// continues a transaction makes room only if no other does.
func (h entryHeap) displaced() int {
	waiting := make(map[workspace.ID]int)
	for i := range h {
		waiting[h[i].Workspace]++
	}
	index := -1
	for i := range h {
		switch {
		case index >= 0 && (h[index].Stage == Continues) != (h[i].Stage == Continues):
			if h[index].Stage == Continues {
				index = i
			}
		case index < 0 || waiting[h[index].Workspace] < waiting[h[i].Workspace]:
			index = i
		case waiting[h[index].Workspace] == waiting[h[i].Workspace] && h[index].before(h[i]):
			index = i
		}
	}
	return index
}
