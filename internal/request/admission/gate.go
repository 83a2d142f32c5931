package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Request is a request for a slot.
type Request struct {
	// Weight is the importance of the request; a heavier one runs first.
	Weight int
	Kind   Kind
	// Workspace is the workspace of the request; it is empty without one.
	Workspace workspace.ID
	Stage     Stage
	// Cost is the usual work of the request, as in Item.
	Cost float64
	// StartBy is the latest start at which the request keeps its full value; 0 means that it is never late.
	StartBy clock.Millis
	// Deadline is the time from which the request is no longer worth running; 0 means never.
	Deadline clock.Millis
	// ExpectedDuration is how long a request usually holds a slot, in milliseconds; 0 means unknown.
	ExpectedDuration clock.Millis
}

// Load counts the requests of a gate: Busy holds a slot, Waiting is queued.
type Load struct {
	Busy    int
	Waiting int
	// Writes counts the writes among the busy and the waiting requests.
	Writes int
}

// Total returns the number of busy and waiting requests.
func (l Load) Total() int { return l.Busy + l.Waiting }

// Gate limits the concurrent requests to a target to its slots and queues the others. It is safe for concurrent use.
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

// NewGate returns a gate with the given number of slots and a queue for at most capacity requests.
func NewGate(clk *clock.Clock, slots, capacity int) *Gate {
	return &Gate{clk: clk, slots: slots, queue: NewQueue(capacity), waiters: map[ID]chan error{}}
}

// SetSlots changes the number of slots. Requests that hold a slot keep it.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = n
	g.grantSlots()
}

// Load returns the current load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Busy: g.busy, Waiting: g.queue.Len(), Writes: g.busyWrites + g.queue.Writes()}
}

// Acquire waits for a slot, which release gives back. The error is a *refusal.Error or, if ctx was cancelled, wraps the cause of ctx.
func (g *Gate) Acquire(ctx context.Context, req Request) (release func(), err error) {
	now := g.clk.Now()
	id, result := g.tryAcquire(now, req)
	if result != nil {
		if err := g.wait(ctx, now, req, id, result); err != nil {
			return nil, err
		}
	}
	return g.release(req.Kind), nil
}

// tryAcquire takes a free slot and returns a nil channel. Otherwise it queues the request and returns the channel that delivers the result.
func (g *Gate) tryAcquire(now clock.Millis, req Request) (ID, chan error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := Item{Weight: req.Weight, Kind: req.Kind, Workspace: req.Workspace, Stage: req.Stage, Cost: req.Cost, StartBy: req.StartBy, Deadline: req.Deadline}
	if g.busy < g.slots && g.queue.Len() == 0 && !i.expired(now) {
		g.acquireSlot(req.Kind)
		return 0, nil
	}
	g.lastID++
	i.ID = g.lastID
	result := make(chan error, 1)
	if g.missesDeadline(now, &req, i) {
		result <- refusal.Overloaded("too many requests wait for the target")
		return i.ID, result
	}
	g.waiters[i.ID] = result
	for _, item := range g.queue.Push(now, i) {
		g.notify(item.ID, refusalFor(now, item))
	}
	return i.ID, result
}

// missesDeadline reports whether the item is expected to miss its deadline because of the items ahead of it.
func (g *Gate) missesDeadline(now clock.Millis, req *Request, i Item) bool {
	if req.ExpectedDuration == 0 || i.Deadline == 0 || i.Stage == Continues {
		return false
	}
	rounds := clock.Millis((g.queue.Ahead(i) + max(g.slots, 1)) / max(g.slots, 1))
	return now+rounds*req.ExpectedDuration > i.Deadline
}

func refusalFor(now clock.Millis, i Item) error {
	if i.expired(now) {
		return refusal.Deadline("deadline passed before a slot came free")
	}
	return refusal.Overloaded("too many requests wait for the target")
}

func (g *Gate) wait(ctx context.Context, now clock.Millis, req Request, id ID, result chan error) error {
	var expired <-chan struct{}
	if req.Deadline != 0 {
		expired = g.clk.After(req.Deadline - now)
	}
	select {
	case err := <-result:
		return err
	case <-expired:
		return g.abandon(id, req.Kind, result, refusal.Deadline("deadline passed before a slot came free"))
	case <-ctx.Done():
		return g.abandon(id, req.Kind, result, contextError(ctx))
	}
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.Deadline("deadline passed before a slot came free")
	}
	return fmt.Errorf("wait for a slot: %w", context.Cause(ctx))
}

// abandon ends the wait of a request. If the slot was granted in the meantime, it gives the slot back.
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

// grantSlots gives the free slots to the next waiting requests.
func (g *Gate) grantSlots() {
	for g.busy < g.slots && g.queue.Len() > 0 {
		now := g.clk.Now()
		next, expired, ok := g.queue.Pop(now)
		for _, item := range expired {
			g.notify(item.ID, refusalFor(now, item))
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
