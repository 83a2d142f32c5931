package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Ticket is what a request shows at a gate.
type Ticket struct {
	Weight int
	Kind   Kind
	// StartBy is by when the request has to start to be of full worth; 0 means that it is always in time.
	StartBy clock.Millis
	// Deadline is when the request is no longer worth running; 0 means never.
	Deadline clock.Millis
	// Usual is how long a request usually holds a slot; 0 means that it is not known.
	Usual clock.Millis
}

// Load is what a gate has at work and waiting, in requests.
type Load struct {
	Busy    int
	Waiting int
	// Writes counts those at work and waiting.
	Writes int
}

// Total is the number of requests at work and waiting.
func (l Load) Total() int { return l.Busy + l.Waiting }

// Gate lets as many requests at once to a target as it has slots, and queues the others.
type Gate struct {
	clk *clock.Clock

	mu         sync.Mutex
	slots      int
	busy       int
	busyWrites int
	queue      *Queue
	lastID     ID
	waiters    map[ID]chan error
}

// NewGate returns a gate of that many slots with that many capacity to wait.
func NewGate(clk *clock.Clock, slots, capacity int) *Gate {
	return &Gate{clk: clk, slots: slots, queue: NewQueue(capacity), waiters: map[ID]chan error{}}
}

// SetSlots changes the number of slots; requests at work keep theirs.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = n
	g.grantSlots()
}

// Load returns the present load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Busy: g.busy, Waiting: g.queue.Len(), Writes: g.busyWrites + g.queue.Writes()}
}

// Enter waits for a slot, which release gives back; its errors are refusals, or the cause of ctx wrapped when that was cancelled.
func (g *Gate) Enter(ctx context.Context, t Ticket) (release func(), err error) {
	now := g.clk.Now()
	id, result := g.tryAcquire(now, t)
	if result != nil {
		if err := g.wait(ctx, now, t, id, result); err != nil {
			return nil, err
		}
	}
	return g.release(t.Kind), nil
}

// tryAcquire takes a slot at once, or else a place in the queue with the channel that tells the outcome.
func (g *Gate) tryAcquire(now clock.Millis, t Ticket) (ID, chan error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := Item{Weight: t.Weight, Kind: t.Kind, StartBy: t.StartBy, Deadline: t.Deadline}
	if g.busy < g.slots && g.queue.Len() == 0 && !i.expired(now) {
		g.acquireSlot(t.Kind)
		return 0, nil
	}
	g.lastID++
	i.ID = g.lastID
	result := make(chan error, 1)
	if g.missesDeadline(now, &t, i) {
		result <- refusal.Overloaded("too many requests wait for the target")
		return i.ID, result
	}
	g.waiters[i.ID] = result
	for _, out := range g.queue.Push(now, i) {
		g.notify(out.ID, refusalFor(now, out))
	}
	return i.ID, result
}

// missesDeadline reports whether those ahead of the item are too many for it to start before its deadline.
func (g *Gate) missesDeadline(now clock.Millis, t *Ticket, i Item) bool {
	if t.Usual == 0 || i.Deadline == 0 {
		return false
	}
	rounds := clock.Millis((g.queue.Ahead(i) + max(g.slots, 1)) / max(g.slots, 1))
	return now+rounds*t.Usual > i.Deadline
}

func refusalFor(now clock.Millis, i Item) error {
	if i.expired(now) {
		return refusal.Deadline("deadline passed before a slot came free")
	}
	return refusal.Overloaded("too many requests wait for the target")
}

func (g *Gate) wait(ctx context.Context, now clock.Millis, t Ticket, id ID, result chan error) error {
	var expired <-chan struct{}
	if t.Deadline != 0 {
		expired = g.clk.After(t.Deadline - now)
	}
	select {
	case err := <-result:
		return err
	case <-expired:
		return g.abandon(id, t.Kind, result, refusal.Deadline("deadline passed before a slot came free"))
	case <-ctx.Done():
		return g.abandon(id, t.Kind, result, contextError(ctx))
	}
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.Deadline("deadline passed before a slot came free")
	}
	return fmt.Errorf("wait for a slot: %w", context.Cause(ctx))
}

// abandon gives up waiting, and gives back the slot if it came at the same moment.
func (g *Gate) abandon(id ID, k Kind, result chan error, reason error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(id) {
		delete(g.waiters, id)
		return reason
	}
	if err := <-result; err != nil {
		return err
	}
	g.releaseSlot(k)
	return reason
}

func (g *Gate) release(k Kind) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.releaseSlot(k)
		})
	}
}

func (g *Gate) acquireSlot(k Kind) {
	g.busy++
	if k == Write {
		g.busyWrites++
	}
}

func (g *Gate) releaseSlot(k Kind) {
	g.busy--
	if k == Write {
		g.busyWrites--
	}
	g.grantSlots()
}

// grantSlots hands the free slots to those whose turn it is.
func (g *Gate) grantSlots() {
	for g.busy < g.slots && g.queue.Len() > 0 {
		now := g.clk.Now()
		next, expired, ok := g.queue.Pop(now)
		for _, out := range expired {
			g.notify(out.ID, refusalFor(now, out))
		}
		if !ok {
			return
		}
		g.acquireSlot(next.Kind)
		g.notify(next.ID, nil)
	}
}

func (g *Gate) notify(id ID, err error) {
	g.waiters[id] <- err
	delete(g.waiters, id)
}
