package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// replayWorkspaces has workspaces share one slot, of which they use seven tenths. One of them makes up a fifth of the load; from a third
// of the run on that one sends 7.5 times its usual. It returns the share of the other workspaces' items that ran in time.
func replayWorkspaces(name func(n int) workspace.ID) float64 {
	const (
		workspaces              = 20
		length                  = 30 * clock.Second
		service    clock.Millis = 10
		objective  clock.Millis = 200
		load                    = 0.7 / float64(service)
	)
	r := rand.New(rand.NewPCG(3, 4))
	q := NewQueue(64)
	busyUntil := clock.Millis(0)
	var id ID
	hot := map[ID]bool{}
	asked, inTime := 0, 0
	for now := clock.Millis(1); now < length; now++ {
		for n := range workspaces {
			rate := load * 0.8 / (workspaces - 1)
			if n == 0 {
				rate = load * 0.2
				if now > length/3 {
					rate *= 7.5
				}
			}
			if r.Float64() >= rate {
				continue
			}
			id++
			hot[id] = n == 0
			if n != 0 && now > length/3 {
				asked++
			}
			q.Push(now, Item{ID: id, Weight: 1, Workspace: name(n), StartBy: now + objective, Deadline: now + 4*objective})
		}
		if now < busyUntil {
			continue
		}
		if i, _, ok := q.Pop(now); ok {
			busyUntil = now + service
			if !hot[i.ID] && now > length/3 && now < i.StartBy {
				inTime++
			}
		}
	}
	return float64(inTime) / float64(asked)
}

// Guards against a workspace that sends many times its usual and pushes out the others at a target that is full.
func TestHotWorkspaceDoesNotPushOutOthers(t *testing.T) {
	fair := replayWorkspaces(func(n int) workspace.ID { return workspace.ID(fmt.Sprint("w", n)) })
	together := replayWorkspaces(func(int) workspace.ID { return "" })
	t.Logf("others' items in time: %.3f with turns, %.3f without", fair, together)
	if want := 0.98; fair < want {
		t.Errorf("got %.3f of the others' items in time, want at least %.2f", fair, want)
	}
	if together >= fair {
		t.Errorf("got %.3f without turns, want less than the %.3f with turns", together, fair)
	}
}

// Guards against slots that stay idle while only one workspace has work.
func TestOneWorkspaceUsesAllSlots(t *testing.T) {
	q := NewQueue(64)
	for id := ID(1); id <= 10; id++ {
		if refused := q.Push(1, Item{ID: id, Weight: 1, Workspace: "a", StartBy: 1000, Deadline: 2000}); len(refused) != 0 {
			t.Fatalf("got %v refused, want none", refused)
		}
	}
	for id := ID(1); id <= 10; id++ {
		if i, _, ok := q.Pop(2); !ok || i.ID != id {
			t.Fatalf("got item %d, %t, want %d in the order of arrival", i.ID, ok, id)
		}
	}
}

// Guards against a full queue that refuses the first item of a workspace while another one holds most of the queue.
func TestFullQueueKeepsFirstItemOfAWorkspace(t *testing.T) {
	q := NewQueue(16)
	for id := ID(1); id <= 20; id++ {
		q.Push(1, Item{ID: id, Weight: 1, Workspace: "a", StartBy: 1000, Deadline: 2000})
	}
	refused := q.Push(1, Item{ID: 99, Weight: 1, Workspace: "b", StartBy: 1500, Deadline: 2000})
	if len(refused) != 1 || refused[0].Workspace != "a" {
		t.Errorf("got %v refused, want an item of workspace a", refused)
	}
	first, _, _ := q.Pop(2)
	second, _, _ := q.Pop(2)
	if first.ID != 99 && second.ID != 99 {
		t.Errorf("got items %d and %d, want 99 among the first two", first.ID, second.ID)
	}
}

// Guards against items without a workspace, of public routes, that run before all those of workspaces for as long as they come.
func TestItemsWithoutWorkspaceTakeTurns(t *testing.T) {
	q := NewQueue(64)
	for id := ID(1); id <= 4; id++ {
		q.Push(1, Item{ID: id, Weight: 1, Workspace: "a", StartBy: 1000, Deadline: 2000})
	}
	for id := ID(11); id <= 30; id++ {
		q.Push(1, Item{ID: id, Weight: 1, StartBy: 1000, Deadline: 2000})
	}
	ran := 0
	for range 8 {
		if i, _, ok := q.Pop(2); ok && i.Workspace == "a" {
			ran++
		}
	}
	if want := 4; ran != want {
		t.Errorf("got %d items of the workspace among the first 8, want %d", ran, want)
	}
}

// Guards against a wait that counts what runs later: an urgent statement would be refused for the transactions of its own workspace.
func TestWaitCountsOnlyWhatRunsBefore(t *testing.T) {
	q := NewQueue(64)
	for id := ID(1); id <= 10; id++ {
		q.Push(1, Item{ID: id, Weight: 1, Workspace: "a", Stage: Begins, StartBy: 1000, Deadline: 2000})
	}
	if got := q.Ahead(Item{ID: 99, Weight: 1, Workspace: "a", StartBy: 500, Deadline: 2000}); got != 0 {
		t.Errorf("got %d items ahead, want 0", got)
	}
}
