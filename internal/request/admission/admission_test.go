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

func TestPushRefusesLeastImportant(t *testing.T) {
	r1, r2 := Item{Weight: 1}, Item{Weight: 2}
	w1, w2 := Item{Weight: 1, Kind: Write}, Item{Weight: 2, Kind: Write}
	late := Item{Weight: 1, Kind: Write, Deadline: 10}
	tests := []struct {
		name    string
		waiting []Item
		push    Item
		want    []ID
	}{
		{"free capacity", []Item{w1, w1, w1}, w1, nil},
		{"full of the same class", []Item{w1, w1, w1, w1}, w1, []ID{5}},
		{"lighter read is displaced", []Item{r1, w2, w1, w1}, w2, []ID{1}},
		{"lighter write is displaced", []Item{w2, w1, w2, r2}, w2, []ID{2}},
		{"write displaces read of the same weight", []Item{r1, w1, w1, w1}, w1, []ID{1}},
		{"read does not displace write of the same weight", []Item{r1, w1, w1, w1}, r1, []ID{5}},
		{"capacity reserved for writes", []Item{r1, r1, r1}, r1, []ID{4}},
		{"heavier read displaces read", []Item{r1, r1, r1, w1}, r2, []ID{3}},
		{"heavier read displaces lighter write", []Item{r2, r2, w1, w1}, r2, []ID{4}},
		{"expired item is removed first", []Item{w1, late, w1, w1}, w1, []ID{2}},
		{"pushed item has expired", nil, late, []ID{1}},
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

// queueModel is a reference model of the queue without an order; its methods return a description of the first violation.
type queueModel struct {
	waiting map[ID]Item
	skipped map[int]int
}

func (m *queueModel) remove(items []Item) string {
	for _, i := range items {
		if _, ok := m.waiting[i.ID]; !ok {
			return "an item was returned that was not waiting"
		}
		delete(m.waiting, i.ID)
	}
	return ""
}

func (m *queueModel) run(i Item) string {
	if fault := m.remove([]Item{i}); fault != "" {
		return fault
	}
	weights := map[int]bool{}
	for _, j := range m.waiting {
		weights[j.Weight] = true
		if j.Weight > i.Weight && m.skipped[i.Weight] < AgingBound {
			return "a lighter item ran before a heavier one without aging"
		}
		if j.Weight == i.Weight && j.Kind == i.Kind && j.Deadline != 0 && (i.Deadline == 0 || j.Deadline < i.Deadline) {
			return "an item ran before one of the same class with an earlier deadline"
		}
	}
	m.skipped[i.Weight] = 0
	for weight := range weights {
		if weight != i.Weight {
			m.skipped[weight]++
		}
		if m.skipped[weight] > AgingBound+3 {
			return "a class was skipped too often"
		}
	}
	return ""
}

// checkAgainstModel pushes, pops and removes items as chosen by intn and compares the queue with the model; pop replaces Queue.Pop.
func checkAgainstModel(intn func(int) int, pop func(*Queue, clock.Millis) (Item, []Item, bool)) string {
	const capacity, steps = 12, 200
	q, m := NewQueue(capacity), &queueModel{map[ID]Item{}, map[int]int{}}
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
			m.waiting[i.ID] = i
			fault = m.remove(q.Push(now, i))
		case 3:
			i, expired, ok := pop(q, now)
			if fault = m.remove(expired); ok && fault == "" {
				fault = m.run(i)
			}
		default:
			id := ID(intn(steps))
			if _, want := m.waiting[id]; q.Remove(id) != want {
				return "Remove reports a wrong result"
			}
			delete(m.waiting, id)
		}
		if q.Len() != len(m.waiting) || q.Len() > capacity {
			return "the queue has a wrong length or exceeds its capacity"
		}
		for weight := range m.skipped {
			if q.class(weight).noneInTime() {
				m.skipped[weight] = 0
			}
		}
		if fault != "" {
			return fault
		}
	}
	return ""
}

func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intn := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		if fault := checkAgainstModel(intn, (*Queue).Pop); fault != "" {
			t.Fatal(fault)
		}
	})
}

func TestModelDetectsBrokenPops(t *testing.T) {
	lightestFirst := func(q *Queue, now clock.Millis) (Item, []Item, bool) {
		expired := q.Expire(now)
		for _, c := range slices.Backward(q.classes) {
			if !c.noneInTime() {
				i := c.popInTime(&fairness{})
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
	for name, pop := range map[string]func(*Queue, clock.Millis) (Item, []Item, bool){"lightest first": lightestFirst, "expired items lost": dropExpired, "no aging": withoutAging} {
		if !findsFault(pop) {
			t.Errorf("got no violation for %s, want one", name)
		}
	}
}

func TestWriteRunsDuringReadBurst(t *testing.T) {
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
	t.Errorf("got no write within %d pops, want one", AgingBound+1)
}

func TestGate(t *testing.T) {
	m := clock.NewManual(1)
	g := NewGate(&m.Clock, 1, 1)
	release, err := g.Acquire(t.Context(), Request{Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := g.Acquire(ctx, Request{Weight: 1}); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
	if _, err := g.Acquire(t.Context(), Request{Weight: 1, Deadline: 1}); !errors.Is(err, refusal.Deadline("")) {
		t.Errorf("got %v, want a deadline refusal", err)
	}
	light, heavy := make(chan error, 1), make(chan error, 1)
	acquire := func(weight int, out chan error) {
		_, err := g.Acquire(t.Context(), Request{Weight: weight, Kind: Write})
		out <- err
	}
	go acquire(1, light)
	for g.Load().Waiting == 0 {
		runtime.Gosched()
	}
	go acquire(2, heavy)
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
				release, err := g.Acquire(t.Context(), Request{Weight: 1 + n%2, Kind: Kind(n % 2)})
				if err != nil {
					continue
				}
				if got := g.Load().Busy; got > slots {
					t.Errorf("got %d busy slots, want at most %d", got, slots)
				}
				release()
			}
		})
	}
	wg.Wait()
	if got := g.Load(); got != (Load{}) {
		t.Errorf("got load %v, want none", got)
	}
}
