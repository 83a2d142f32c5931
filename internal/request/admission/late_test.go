package admission

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestInTimeItemsRunBeforeLateItems(t *testing.T) {
	tests := []struct {
		name    string
		waiting []Item
		now     clock.Millis
		want    []ID
	}{
		{"earliest start first", []Item{{Weight: 1, StartBy: 90}, {Weight: 1, StartBy: 80}}, 10, []ID{2, 1}},
		{"late item runs last", []Item{{Weight: 1, StartBy: 40}, {Weight: 1, StartBy: 80}}, 50, []ID{2, 1}},
		{"light item in time before heavy late item", []Item{{Weight: 9, StartBy: 40}, {Weight: 1, StartBy: 80}}, 50, []ID{2, 1}},
		{"heaviest late item first", []Item{{Weight: 1, StartBy: 30}, {Weight: 9, StartBy: 40}}, 50, []ID{2, 1}},
		{"earliest deadline of the late items first", []Item{{Weight: 1, StartBy: 30, Deadline: 200}, {Weight: 1, Kind: Write, StartBy: 40, Deadline: 100}}, 50, []ID{2, 1}},
		{"no StartBy is never late", []Item{{Weight: 1, StartBy: 30}, {Weight: 1, Deadline: 900}}, 50, []ID{2, 1}},
		{"expired item does not run", []Item{{Weight: 1, StartBy: 30, Deadline: 40}, {Weight: 1, StartBy: 80}}, 50, []ID{2}},
		{"StartBy after the deadline", []Item{{Weight: 1, StartBy: 90, Deadline: 40}, {Weight: 1, StartBy: 80}}, 50, []ID{2}},
	}
	for _, tt := range tests {
		q := NewQueue(8)
		for n, i := range tt.waiting {
			i.ID = ID(n + 1)
			q.Push(0, i)
		}
		var got []ID
		for {
			i, _, ok := q.Pop(tt.now)
			if !ok {
				break
			}
			got = append(got, i.ID)
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
		if q.Len() != 0 {
			t.Errorf("%s: got %d items left, want 0", tt.name, q.Len())
		}
	}
}

func TestLateItemIsDisplacedFirst(t *testing.T) {
	q := NewQueue(2)
	q.Push(0, Item{ID: 1, Weight: 9, Kind: Write, StartBy: 40, Deadline: 900})
	q.Push(0, Item{ID: 2, Weight: 1, Kind: Write, StartBy: 400, Deadline: 900})
	if got := ids(q.Push(50, Item{ID: 3, Weight: 1, Kind: Write, StartBy: 450, Deadline: 900})); !slices.Equal(got, []ID{1}) {
		t.Errorf("got %v refused, want the late item", got)
	}
}

// requestKind describes the load of one kind of request, and counts its outcomes.
type requestKind struct {
	name                            string
	perSecond                       int
	weight                          int
	serviceTime, objective, timeout clock.Millis
	requested, served, late         int
}

// simulateOverloadedPrimary simulates 12 s of a group with two slots whose replicas lag, so the primary also serves the reads: 1.2 times its capacity.
// Without objectives the items have no StartBy.
func simulateOverloadedPrimary(objectives bool) []*requestKind {
	kinds := []*requestKind{
		{name: "filing", perSecond: 29, weight: 15, serviceTime: 5, objective: 120, timeout: 800},
		{name: "browse", perSecond: 26, weight: 14, serviceTime: 22, objective: 400, timeout: 1500},
		{name: "posting", perSecond: 120, weight: 14, serviceTime: 14, objective: 200, timeout: 800},
	}
	rng := rand.New(rand.NewPCG(3, 4))
	q := NewQueue(256)
	arrived, kind := map[ID]clock.Millis{}, map[ID]*requestKind{}
	busy := make([]clock.Millis, 2)
	last := ID(0)
	for now := clock.Millis(1); now < 12*clock.Second; now++ {
		for _, k := range kinds {
			if rng.IntN(1000) >= k.perSecond {
				continue
			}
			last++
			k.requested++
			arrived[last], kind[last] = now, k
			i := Item{ID: last, Weight: k.weight, Deadline: now + k.timeout - k.serviceTime}
			if objectives {
				i.StartBy = now + k.objective - k.serviceTime
			}
			q.Push(now, i)
		}
		for s := range busy {
			if busy[s] > now {
				continue
			}
			i, _, ok := q.Pop(now)
			if !ok {
				continue
			}
			k := kind[i.ID]
			busy[s] = now + k.serviceTime
			if busy[s]-arrived[i.ID] <= k.objective {
				k.served++
			} else {
				k.late++
			}
		}
	}
	return kinds
}

func TestOverloadedPrimaryServesInTime(t *testing.T) {
	want := map[string]int{"filing": 99, "browse": 60, "posting": 70}
	for _, k := range simulateOverloadedPrimary(true) {
		if got := 100 * k.served / k.requested; got < want[k.name] {
			t.Errorf("%s: got %d %% in time, want at least %d", k.name, got, want[k.name])
		}
	}
	// For comparison, without objectives the queue orders by deadline alone, and nearly all postings are late.
	for _, k := range simulateOverloadedPrimary(false) {
		t.Logf("without objectives, %s: %d %% in time, %d %% late", k.name, 100*k.served/k.requested, 100*k.late/k.requested)
	}
}

func TestGateRefusesRequestThatMissesDeadline(t *testing.T) {
	m := clock.NewManual(1)
	g := NewGate(&m.Clock, 2, 64)
	for range 2 {
		if _, err := g.Acquire(t.Context(), Request{Weight: 1}); err != nil {
			t.Fatal(err)
		}
	}
	for range 8 {
		go func() { _, _ = g.Acquire(t.Context(), Request{Weight: 1, StartBy: 300, Deadline: 10_000}) }()
	}
	for g.Load().Waiting < 8 {
		runtime.Gosched()
	}
	// Eight requests wait ahead for two slots of 100 ms each, so the next one starts after about 500 ms.
	if _, err := g.Acquire(t.Context(), Request{Weight: 1, StartBy: 350, Deadline: 401, ExpectedDuration: 100}); err == nil {
		t.Error("got a slot, want an immediate refusal")
	}
	if got := g.Load().Waiting; got != 8 {
		t.Errorf("got %d requests waiting, want 8", got)
	}
}
