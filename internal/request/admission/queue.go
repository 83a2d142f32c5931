package admission

import (
	"container/heap"
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// AgingBound is the number of items of other classes that may run before a waiting class gets its turn.
	AgingBound = 8
	// writeReserveDivisor divides the capacity to get the part that is reserved for writes.
	writeReserveDivisor = 4
	// startDelayDivisor divides the time left until StartBy to get the longest expected wait with which an item is accepted:
	// the later statements of its transaction need the rest.
	startDelayDivisor = 2
	// beginDelayDivisor replaces startDelayDivisor for an item that begins a transaction: its statements wait one after the other.
	beginDelayDivisor = 6
	// BeginsAgingBound is the number of other items of its class that may run before a waiting transaction begins.
	BeginsAgingBound = 16
	// lateStarvationLimit is how long late items wait while none of them runs, in milliseconds. It is longer than a statement usually takes.
	lateStarvationLimit clock.Millis = 100
)

// ID identifies a waiting item; the owner of the queue assigns it.
type ID uint64

// Kind distinguishes reads from writes.
type Kind int

// The kinds of item.
const (
	Read Kind = iota
	Write
)

// Item is a request that waits for a slot.
type Item struct {
	ID     ID
	Weight int
	// Workspace is the workspace of the request. Those of one weight and kind take turns; it is empty without workspaces.
	Workspace workspace.ID
	// StartBy is the latest start at which the request keeps its full value. A later item runs only if no item waits that is still in time.
	// 0 means that the item is never late.
	StartBy clock.Millis
	// Deadline is the time from which the item is no longer worth running; 0 means never.
	Deadline clock.Millis
	Kind     Kind
	Stage    Stage
	// Cost is the usual work of the item, as a multiple of the mean at its target; 0 means that it is not known. An item of more work
	// than the mean takes the place of several others at a target that is full, and is refused earlier in proportion.
	Cost float64
}

// Stage says what an item is to a transaction.
type Stage int

// The stages.
const (
	// Single is a statement outside a transaction.
	Single Stage = iota
	// Begins is the first statement of a transaction. At a target that is full a transaction takes the place of several single
	// statements, each of which serves a caller: it runs behind them, and is refused earlier.
	Begins
	// Continues is a further statement of a transaction. It is not refused for its expected wait, as a refusal wastes what the
	// transaction has used of the target.
	Continues
)

func (i Item) expired(now clock.Millis) bool { return i.Deadline != 0 && i.Deadline <= now }

// maxDelay returns the longest expected wait with which the item is accepted, in milliseconds.
func (i Item) maxDelay(now clock.Millis) clock.Millis {
	divisor := clock.Millis(startDelayDivisor)
	if i.Stage == Begins {
		divisor = beginDelayDivisor
	}
	return clock.Millis(float64((i.StartBy-now)/divisor) / max(1, i.Cost))
}

// Queue is a bounded priority queue of the requests that wait for one target. Its methods get the time as a parameter.
type Queue struct {
	capacity int
	classes  []*class // in descending order of weight
	reads    int
	writes   int
	seq      uint64
	rate     departureRate
	fair     fairness
	// lateRanAt is the last time at which a late item ran or no late item waited.
	lateRanAt clock.Millis
}

// NewQueue returns a queue for at most capacity items.
func NewQueue(capacity int) *Queue { return &Queue{capacity: capacity} }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.reads + q.writes }

// Writes returns the number of waiting writes.
func (q *Queue) Writes() int { return q.writes }

// Push adds i and returns the items that are refused as a result: expired items, a less important one that made room, or i itself.
func (q *Queue) Push(now clock.Millis, i Item) []Item {
	defer q.resetSkipped()
	if i.expired(now) {
		return []Item{i}
	}
	if i.Stage != Continues && i.StartBy > now && q.rate.estimateWait(now, q.Ahead(i)) > i.maxDelay(now) {
		return []Item{i}
	}
	if !q.full(i.Kind) {
		q.add(i)
		return nil
	}
	if removed := q.expire(now); len(removed) > 0 {
		return append(removed, q.Push(now, i)...)
	}
	if h := q.lowestLateHeap(i.Kind); h != nil {
		displaced := q.removeAt(h, h.lastIndex())
		q.add(i)
		return []Item{displaced}
	}
	c, kind := q.lowestClass(i.Kind)
	if c == nil {
		return []Item{i}
	}
	h := c.heapOf(kind)
	sameRank := c.weight == i.Weight && kind == i.Kind
	if !yieldsTo(c.weight, kind, i) && (!sameRank || i.Workspace == "" || !h.holdsMore(i.Workspace)) {
		return []Item{i}
	}
	displaced := q.removeAt(h, h.lastIndex())
	q.add(i)
	return []Item{displaced}
}

// full reports whether the queue has no room for an item of kind k.
func (q *Queue) full(k Kind) bool {
	return q.Len() >= q.capacity || k == Read && q.readsFull()
}

func (q *Queue) readsFull() bool { return q.reads >= q.capacity-q.capacity/writeReserveDivisor }

// yieldsTo reports whether a waiting item is displaced by i: an item of less weight, or a read by a write of the same weight.
func yieldsTo(weight int, kind Kind, i Item) bool {
	if weight != i.Weight {
		return weight < i.Weight
	}
	return kind == Read && i.Kind == Write
}

// lowestLateHeap returns the heap of the late items with the least weight that an item of kind k may displace, or nil if there is none.
func (q *Queue) lowestLateHeap(k Kind) *entryHeap {
	for _, c := range slices.Backward(q.classes) {
		if len(c.lateReads) > 0 {
			return &c.lateReads
		}
		if len(c.lateWrites) > 0 && (k == Write || !q.readsFull()) {
			return &c.lateWrites
		}
	}
	return nil
}

// lowestClass returns the class and kind of the in-time items that an item of kind k displaces first, or nil if there is none.
// Once the reads fill their part of the capacity, a read displaces only reads.
func (q *Queue) lowestClass(k Kind) (*class, Kind) {
	for _, c := range slices.Backward(q.classes) {
		if len(c.reads) > 0 {
			return c, Read
		}
		if len(c.writes) > 0 && (k == Write || !q.readsFull()) {
			return c, Write
		}
	}
	return nil, Read
}

// Pop removes and returns the next item to run, and the refused items, which are expired or starved. It returns false if no item is left to run.
func (q *Queue) Pop(now clock.Millis) (next Item, expired []Item, ok bool) {
	defer q.resetSkipped()
	expired = q.expire(now)
	c := q.nextClass()
	if c == nil {
		next, ok = q.popLate()
		if ok {
			q.lateRanAt = now
			q.rate.observe(now, q.Len() > 0)
		}
		return next, expired, ok
	}
	for _, other := range q.classes {
		if !other.noneInTime() {
			other.skipped++
		}
	}
	c.skipped = 0
	next = c.popInTime(&q.fair)
	q.adjustCount(next.Kind, -1)
	if next.Workspace != "" || q.fair.turns != nil {
		q.fair.record(next.Workspace, q.Len() > 0)
	}
	q.rate.observe(now, q.Len() > 0)
	return next, expired, true
}

// popLate removes and returns the next late item: the one with the most weight, then the earliest deadline.
func (q *Queue) popLate() (Item, bool) {
	for _, c := range q.classes {
		if h := c.lateHeap(); h != nil {
			return q.removeAt(h, 0), true
		}
	}
	return Item{}, false
}

// Ahead returns the number of in-time items that run before i. It ignores the classes that aging may put first.
func (q *Queue) Ahead(i Item) int {
	n := 0
	e := entry{Item: i, seq: q.seq + 1}
	for _, c := range q.classes {
		switch {
		case c.weight > i.Weight:
			n += len(c.reads) + len(c.writes)
		case c.weight == i.Weight:
			n += c.reads.ahead(e) + c.writes.ahead(e)
		}
	}
	return n
}

// nextClass returns the class to serve next among those with in-time items: one that was skipped AgingBound times, or else the heaviest.
func (q *Queue) nextClass() *class {
	var heaviest, aged *class
	for _, c := range q.classes {
		if c.noneInTime() {
			continue
		}
		if heaviest == nil {
			heaviest = c
		}
		if c.skipped >= AgingBound && (aged == nil || c.skipped > aged.skipped) {
			aged = c
		}
	}
	if aged != nil {
		return aged
	}
	return heaviest
}

// Expire removes and returns the items whose deadline has passed, and the late items if they are starved.
func (q *Queue) Expire(now clock.Millis) []Item {
	defer q.resetSkipped()
	return q.expire(now)
}

func (q *Queue) expire(now clock.Millis) []Item {
	removed := q.dropLate(now)
	for _, c := range q.classes {
		for _, h := range c.heaps() {
			for i := 0; i < len(*h); {
				if !(*h)[i].expired(now) {
					i++
					continue
				}
				removed = append(removed, q.removeAt(h, i))
				i = 0 // the removal may have moved an entry to the front of i
			}
		}
	}
	return removed
}

// dropLate demotes the items that have missed their StartBy. It removes and returns all late items once none of them
// has run for lateStarvationLimit, because the in-time items then use the whole capacity of the slots.
func (q *Queue) dropLate(now clock.Millis) []Item {
	hadLate := false
	for _, c := range q.classes {
		hadLate = hadLate || c.lateHeap() != nil
		c.demote(now)
	}
	if !hadLate {
		q.lateRanAt = now
	}
	if now-q.lateRanAt < lateStarvationLimit {
		return nil
	}
	var removed []Item
	for _, c := range q.classes {
		for h := c.lateHeap(); h != nil; h = c.lateHeap() {
			removed = append(removed, q.removeAt(h, 0))
		}
	}
	return removed
}

// Remove removes the item with the given ID and reports whether it was waiting.
func (q *Queue) Remove(id ID) bool {
	defer q.resetSkipped()
	for _, c := range q.classes {
		for _, h := range c.heaps() {
			index := slices.IndexFunc(*h, func(e entry) bool { return e.ID == id })
			if index >= 0 {
				q.removeAt(h, index)
				return true
			}
		}
	}
	return false
}

func (q *Queue) removeAt(h *entryHeap, index int) Item {
	i := h.removeAt(index)
	q.adjustCount(i.Kind, -1)
	return i
}

// resetSkipped resets the aging of the classes that have no in-time item.
// It runs at the end of each operation, so a class whose only item is displaced by another of the same class keeps its count.
func (q *Queue) resetSkipped() {
	for _, c := range q.classes {
		if c.noneInTime() {
			c.skipped = 0
		}
	}
}

func (q *Queue) add(i Item) {
	q.seq++
	if i.Deadline != 0 {
		i.StartBy = min(i.StartBy, i.Deadline)
	}
	heap.Push(q.class(i.Weight).heapOf(i.Kind), entry{Item: i, seq: q.seq})
	q.adjustCount(i.Kind, 1)
}

func (q *Queue) adjustCount(k Kind, n int) {
	if k == Write {
		q.writes += n
		return
	}
	q.reads += n
}

// class returns the class of a weight and creates it if it does not exist.
func (q *Queue) class(weight int) *class {
	index, found := slices.BinarySearchFunc(q.classes, weight, func(c *class, w int) int { return w - c.weight })
	if !found {
		q.classes = slices.Insert(q.classes, index, &class{weight: weight})
	}
	return q.classes[index]
}
