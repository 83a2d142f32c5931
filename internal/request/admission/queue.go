package admission

import (
	"container/heap"
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// AgingBound is the number of items that may run ahead of a waiting class.
	AgingBound = 8
	// writeReserveDivisor is the part of the capacity, one in so many, that reads leave to writes.
	writeReserveDivisor = 4
	// startDelayDivisor is the part of the time in which an item can start in time, one in so many, that it is let wait by the pace of those ahead: the statements behind it in its transaction need the rest.
	startDelayDivisor = 2
	// lateStarvationLimit is how long late items wait while none of them runs, in milliseconds: longer than a statement usually takes.
	lateStarvationLimit clock.Millis = 100
)

// ID names a waiting item; the owner of the queue gives it.
type ID uint64

// Kind tells reads from writes.
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
	// StartBy is by when the item has to start to be of full worth; later it runs only when no other waits that is still in time. 0 means that it is always in time.
	StartBy clock.Millis
	// Deadline is when the item is no longer worth running; 0 means never.
	Deadline clock.Millis
	Kind     Kind
}

// expired reports whether the item is not worth running at now.
func (i Item) expired(now clock.Millis) bool { return i.Deadline != 0 && i.Deadline <= now }

// Queue holds the requests that wait for one target, bounded, without a clock of its own.
type Queue struct {
	capacity int
	classes  []*class // heaviest first
	reads    int
	writes   int
	seq      uint64
	rate     departureRate
	// lateRanAt is when a late item last ran, or the first of those that wait became late.
	lateRanAt clock.Millis
}

// NewQueue returns a queue of at most that many capacity.
func NewQueue(capacity int) *Queue { return &Queue{capacity: capacity} }

// Len is the number of waiting items.
func (q *Queue) Len() int { return q.reads + q.writes }

// Writes is the number of waiting writes.
func (q *Queue) Writes() int { return q.writes }

// Push adds i and returns the items that are refused for it, which may be i itself or have expired.
func (q *Queue) Push(now clock.Millis, i Item) []Item {
	defer q.resetSkipped()
	if i.expired(now) {
		return []Item{i}
	}
	if i.StartBy > now && q.rate.estimateWait(now, q.Ahead(i)) > (i.StartBy-now)/startDelayDivisor {
		return []Item{i}
	}
	if !q.full(i.Kind) {
		q.add(i)
		return nil
	}
	if removed := q.expire(now); len(removed) > 0 {
		return append(removed, q.Push(now, i)...)
	}
	if l := q.lowestLateHeap(i.Kind); l != nil {
		out := q.removeAt(l, l.lastIndex())
		q.add(i)
		return []Item{out}
	}
	c, kind := q.lowestClass(i.Kind)
	if c == nil || !yieldsTo(c.weight, kind, i) {
		return []Item{i}
	}
	l := c.heapOf(kind)
	out := q.removeAt(l, l.lastIndex())
	q.add(i)
	return []Item{out}
}

// full reports whether an item of kind k has no place.
func (q *Queue) full(k Kind) bool {
	return q.Len() >= q.capacity || k == Read && q.readsFull()
}

func (q *Queue) readsFull() bool { return q.reads >= q.capacity-q.capacity/writeReserveDivisor }

// yieldsTo reports whether a waiting item gives its place to i: a lighter one, or a read to a write of its weight.
func yieldsTo(weight int, kind Kind, i Item) bool {
	if weight != i.Weight {
		return weight < i.Weight
	}
	return kind == Read && i.Kind == Write
}

// lowestLateHeap returns where the lightest late item waits that gives its place to one of kind k; nil where there is none.
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

// lowestClass returns where to refuse first for an item of kind k among those in time; once reads have all their capacity, a read displaces only reads.
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

// Pop returns the item to run now and the items found expired, which do not run; it reports false when none is left.
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
	next = c.popInTime()
	q.adjustCount(next.Kind, -1)
	q.rate.observe(now, q.Len() > 0)
	return next, expired, true
}

// popLate takes the late item to run now: the heaviest, earliest deadline first.
func (q *Queue) popLate() (Item, bool) {
	for _, c := range q.classes {
		if l := c.lateHeap(); l != nil {
			return q.removeAt(l, 0), true
		}
	}
	return Item{}, false
}

// Ahead is the number of items that wait in time and run before i, but for those that age lets pass.
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

// nextClass returns the heaviest class that waits in time, unless another was passed AgingBound times.
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

// Expire removes and returns the items whose deadline has passed.
func (q *Queue) Expire(now clock.Millis) []Item {
	defer q.resetSkipped()
	return q.expire(now)
}

func (q *Queue) expire(now clock.Millis) []Item {
	removed := q.dropLate(now)
	for _, c := range q.classes {
		for _, l := range c.heaps() {
			for len(*l) > 0 && (*l)[0].expired(now) {
				removed = append(removed, q.removeAt(l, 0))
			}
		}
	}
	return removed
}

// dropLate moves the items that can no longer start in time behind all others, and takes them out once none of them has run for lateStarvationLimit: those in time take all that the slots can do.
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
		for l := c.lateHeap(); l != nil; l = c.lateHeap() {
			removed = append(removed, q.removeAt(l, 0))
		}
	}
	return removed
}

// Remove takes out the item named id, and reports whether it still waited.
func (q *Queue) Remove(id ID) bool {
	defer q.resetSkipped()
	for _, c := range q.classes {
		for _, l := range c.heaps() {
			at := slices.IndexFunc(*l, func(e entry) bool { return e.ID == id })
			if at >= 0 {
				q.removeAt(l, at)
				return true
			}
		}
	}
	return false
}

func (q *Queue) removeAt(l *entryHeap, at int) Item {
	i := l.removeAt(at)
	q.adjustCount(i.Kind, -1)
	return i
}

// resetSkipped forgets the turns of the classes in which nothing waits in time any more.
// It runs last, so that a class whose only item gives way to another one of it keeps its turn.
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

// class returns the class of a weight, and makes it at first.
func (q *Queue) class(weight int) *class {
	at, found := slices.BinarySearchFunc(q.classes, weight, func(c *class, w int) int { return w - c.weight })
	if !found {
		q.classes = slices.Insert(q.classes, at, &class{weight: weight})
	}
	return q.classes[at]
}
