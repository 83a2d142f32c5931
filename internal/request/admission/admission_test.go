package admission

import (
	"context"
	"errors"
	"runtime"
	"slices"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func ids(items []Item) []ID {
	var out []ID
	for _, i := range items {
		out = append(out, i.ID)
	}
	return out
}

func TestPushRefusesTheLowest(t *testing.T) {
	r1, r2 := Item{Weight: 1}, Item{Weight: 2}
	w1, w2 := Item{Weight: 1, Kind: Write}, Item{Weight: 2, Kind: Write}
	late := Item{Weight: 1, Kind: Write, Deadline: 10}
	tests := []struct {
		name    string
		waiting []Item
		push    Item
		want    []ID
	}{
		{"room", []Item{w1, w1, w1}, w1, nil},
		{"same class", []Item{w1, w1, w1, w1}, w1, []ID{5}},
		{"lighter read", []Item{r1, w2, w1, w1}, w2, []ID{1}},
		{"lighter write", []Item{w2, w1, w2, r2}, w2, []ID{2}},
		{"read yields to write", []Item{r1, w1, w1, w1}, w1, []ID{1}},
		{"write keeps from read", []Item{r1, w1, w1, w1}, r1, []ID{5}},
		{"reads leave a place", []Item{r1, r1, r1}, r1, []ID{4}},
		{"reads displace reads", []Item{r1, r1, r1, w1}, r2, []ID{3}},
		{"reads displace writes past their share", []Item{r2, r2, w1, w1}, r2, []ID{4}},
		{"expired first", []Item{w1, late, w1, w1}, w1, []ID{2}},
		{"expired itself", nil, late, []ID{1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := NewQueue(4)
			for n, i := range tt.waiting {
				i.ID = ID(n + 1)
				q.Push(0, i)
			}
			tt.push.ID = ID(len(tt.waiting) + 1)
			if got := ids(q.Push(10, tt.push)); !slices.Equal(got, tt.want) {
				t.Errorf("got %v refused, want %v", got, tt.want)
			}
		})
	}
}

// queueModel checks a queue against a plain list of what waits, and returns the first fault.
type queueModel struct {
	waiting map[ID]Item
	skipped map[int]int
}

func (o *queueModel) remove(items []Item) string {
	for _, i := range items {
		if _, ok := o.waiting[i.ID]; !ok {
			return "an item that did not wait was given back"
		}
		delete(o.waiting, i.ID)
	}
	return ""
}

func (o *queueModel) run(i Item) string {
	if fault := o.remove([]Item{i}); fault != "" {
		return fault
	}
	weights := map[int]bool{}
	for _, j := range o.waiting {
		weights[j.Weight] = true
		if j.Weight > i.Weight && o.skipped[i.Weight] < AgingBound {
			return "a lighter item ran first without having aged"
		}
		if j.Weight == i.Weight && j.Kind == i.Kind && j.Deadline != 0 && (i.Deadline == 0 || j.Deadline < i.Deadline) {
			return "a later deadline of the same class ran first"
		}
	}
	o.skipped[i.Weight] = 0
	for weight := range weights {
		if weight != i.Weight {
			o.skipped[weight]++
		}
		if o.skipped[weight] > AgingBound+3 {
			return "a class starves"
		}
	}
	return ""
}

// checkAgainstModel pushes, pops and removes as intn says, on a queue whose Pop may be another one.
func checkAgainstModel(intn func(int) int, pop func(*Queue, clock.Millis) (Item, []Item, bool)) string {
	const capacity, steps = 12, 200
	q, o := NewQueue(capacity), &queueModel{map[ID]Item{}, map[int]int{}}
	now := clock.Millis(1)
	for n := range steps {
		now += clock.Millis(intn(3))
		fault := ""
		switch intn(5) {
		case 0, 1, 2:
			i := Item{ID: ID(n), Weight: 1 + intn(3), Kind: Kind(intn(2))}
			if intn(2) == 0 {
				i.Deadline = now + clock.Millis(1+intn(60))
			}
			o.waiting[i.ID] = i
			fault = o.remove(q.Push(now, i))
		case 3:
			i, expired, ok := pop(q, now)
			if fault = o.remove(expired); ok && fault == "" {
				fault = o.run(i)
			}
		default:
			id := ID(intn(steps))
			if _, want := o.waiting[id]; q.Remove(id) != want {
				return "an item was lost"
			}
			delete(o.waiting, id)
		}
		if q.Len() != len(o.waiting) || q.Len() > capacity {
			return "items were lost or the bound broken"
		}
		for weight := range o.skipped {
			if q.class(weight).noneInTime() {
				o.skipped[weight] = 0
			}
		}
		if fault != "" {
			return fault
		}
	}
	return ""
}

func TestQueueKeepsItsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intn := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		if fault := checkAgainstModel(intn, (*Queue).Pop); fault != "" {
			t.Fatal(fault)
		}
	})
}

func TestOrderCatchesBrokenPops(t *testing.T) {
	lightestFirst := func(q *Queue, now clock.Millis) (Item, []Item, bool) {
		expired := q.Expire(now)
		for _, c := range slices.Backward(q.classes) {
			if !c.noneInTime() {
				i := c.popInTime()
				q.adjustCount(i.Kind, -1)
				return i, expired, true
			}
		}
		return Item{}, expired, false
	}
	dropExpired := func(q *Queue, now clock.Millis) (Item, []Item, bool) {
		i, _, ok := q.Pop(now)
		return i, nil, ok
	}
	withoutAging := func(q *Queue, now clock.Millis) (Item, []Item, bool) {
		for _, c := range q.classes {
			c.skipped = 0
		}
		return q.Pop(now)
	}
	for name, pop := range map[string]func(*Queue, clock.Millis) (Item, []Item, bool){"lightest first": lightestFirst, "lossy": dropExpired, "ageless": withoutAging} {
		if !findsFault(pop) {
			t.Errorf("got no fault for %s, want one", name)
		}
	}
}

func TestWriteRunsWithinAReadBurst(t *testing.T) {
	q := NewQueue(64)
	q.Push(0, Item{ID: 1, Weight: 1, Kind: Write})
	for n := range AgingBound + 1 {
		for k := range 40 {
			q.Push(0, Item{ID: ID(100*n + k + 2), Weight: 1 + k%2, Deadline: 5})
		}
		if i, _, _ := q.Pop(0); i.ID == 1 {
			return
		}
	}
	t.Errorf("got no write in %d pops, want one", AgingBound+1)
}

func TestGate(t *testing.T) {
	m := clock.NewManual(1)
	g := NewGate(&m.Clock, 1, 1)
	release, err := g.Enter(t.Context(), Ticket{Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := g.Enter(ctx, Ticket{Weight: 1}); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
	if _, err := g.Enter(t.Context(), Ticket{Weight: 1, Deadline: 1}); !errors.Is(err, refusal.Deadline("")) {
		t.Errorf("got %v, want a deadline refusal", err)
	}
	light, heavy := make(chan error, 1), make(chan error, 1)
	enter := func(weight int, out chan error) {
		_, err := g.Enter(t.Context(), Ticket{Weight: weight, Kind: Write})
		out <- err
	}
	go enter(1, light)
	for g.Load().Waiting == 0 {
		runtime.Gosched()
	}
	go enter(2, heavy)
	if err := <-light; !errors.Is(err, refusal.Overloaded("")) {
		t.Errorf("got %v, want an overload refusal", err)
	}
	release()
	release()
	if err := <-heavy; err != nil {
		t.Errorf("got %v, want a slot", err)
	}
	if got, want := g.Load(), (Load{Busy: 1, Writes: 1}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestGateNeverExceedsItsSlots(t *testing.T) {
	const slots, callers, rounds = 3, 16, 50
	g := NewGate(clock.System(), slots, callers)
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			for range rounds {
				release, err := g.Enter(t.Context(), Ticket{Weight: 1 + n%2, Kind: Kind(n % 2)})
				if err != nil {
					continue
				}
				if got := g.Load().Busy; got > slots {
					t.Errorf("got %d at work, want at most %d", got, slots)
				}
				release()
			}
		})
	}
	wg.Wait()
	if got := g.Load(); got != (Load{}) {
		t.Errorf("got %v, want nothing left", got)
	}
}
