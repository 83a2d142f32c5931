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

	mu      sync.Mutex
	slots   int
	busy    int
	writing int
	queue   *Queue
	last    ID
	waiting map[ID]chan error
}

// NewGate returns a gate of that many slots with that many places to wait.
func NewGate(clk *clock.Clock, slots, places int) *Gate {
	return &Gate{clk: clk, slots: slots, queue: NewQueue(places), waiting: map[ID]chan error{}}
}

// SetSlots changes the number of slots; requests at work keep theirs.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = n
	g.admit()
}

// Load returns the present load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{Busy: g.busy, Waiting: g.queue.Len(), Writes: g.writing + g.queue.Writes()}
}

// Enter waits for a slot, which release gives back; its errors are refusals, or the cause of ctx wrapped when that was cancelled.
func (g *Gate) Enter(ctx context.Context, t Ticket) (release func(), err error) {
	now := g.clk.Now()
	id, granted := g.ask(now, t)
	if granted != nil {
		if err := g.wait(ctx, now, t, id, granted); err != nil {
			return nil, err
		}
	}
	return g.release(t.Kind), nil
}

// ask takes a slot at once, or else a place in the queue with the channel that tells the outcome.
func (g *Gate) ask(now clock.Millis, t Ticket) (ID, chan error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := Item{Weight: t.Weight, Kind: t.Kind, StartBy: t.StartBy, Deadline: t.Deadline}
	if g.busy < g.slots && g.queue.Len() == 0 && !i.expired(now) {
		g.start(t.Kind)
		return 0, nil
	}
	g.last++
	i.ID = g.last
	granted := make(chan error, 1)
	if g.hopeless(now, &t, i) {
		granted <- refusal.Overloaded("too many requests wait for the target")
		return i.ID, granted
	}
	g.waiting[i.ID] = granted
	for _, out := range g.queue.Push(now, i) {
		g.tell(out.ID, refused(now, out))
	}
	return i.ID, granted
}

// hopeless reports whether those ahead of the item are too many for it to start before its deadline.
func (g *Gate) hopeless(now clock.Millis, t *Ticket, i Item) bool {
	if t.Usual == 0 || i.Deadline == 0 {
		return false
	}
	rounds := clock.Millis((g.queue.Ahead(i) + max(g.slots, 1)) / max(g.slots, 1))
	return now+rounds*t.Usual > i.Deadline
}

func refused(now clock.Millis, i Item) error {
	if i.expired(now) {
		return refusal.Deadline("deadline passed before a slot came free")
	}
	return refusal.Overloaded("too many requests wait for the target")
}

func (g *Gate) wait(ctx context.Context, now clock.Millis, t Ticket, id ID, granted chan error) error {
	var late <-chan struct{}
	if t.Deadline != 0 {
		late = g.clk.After(t.Deadline - now)
	}
	select {
	case err := <-granted:
		return err
	case <-late:
		return g.leave(id, t.Kind, granted, refusal.Deadline("deadline passed before a slot came free"))
	case <-ctx.Done():
		return g.leave(id, t.Kind, granted, ended(ctx))
	}
}

func ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.Deadline("deadline passed before a slot came free")
	}
	return fmt.Errorf("wait for a slot: %w", context.Cause(ctx))
}

// leave gives up waiting, and gives back the slot if it came at the same moment.
func (g *Gate) leave(id ID, k Kind, granted chan error, why error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(id) {
		delete(g.waiting, id)
		return why
	}
	if err := <-granted; err != nil {
		return err
	}
	g.end(k)
	return why
}

func (g *Gate) release(k Kind) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.end(k)
		})
	}
}

func (g *Gate) start(k Kind) {
	g.busy++
	if k == Write {
		g.writing++
	}
}

func (g *Gate) end(k Kind) {
	g.busy--
	if k == Write {
		g.writing--
	}
	g.admit()
}

// admit hands the free slots to those whose turn it is.
func (g *Gate) admit() {
	for g.busy < g.slots && g.queue.Len() > 0 {
		now := g.clk.Now()
		next, expired, ok := g.queue.Pop(now)
		for _, out := range expired {
			g.tell(out.ID, refused(now, out))
		}
		if !ok {
			return
		}
		g.start(next.Kind)
		g.tell(next.ID, nil)
	}
}

func (g *Gate) tell(id ID, err error) {
	g.waiting[id] <- err
	delete(g.waiting, id)
}
