package admission

import (
	"container/heap"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// entryHeap holds waiting items, the most urgent first.
type entryHeap []entry

// entry is an item with its place in the order of arrival.
type entry struct {
	Item
	seq uint64
	// late is true once the item could not start in time.
	late bool
}

// dueAt is by when the item should run; 0 means never.
func (e entry) dueAt() clock.Millis {
	if e.late || e.StartBy == 0 {
		return e.Deadline
	}
	return e.StartBy
}

// before orders by when the items are due, of which 0 is the latest, and then by arrival.
func (e entry) before(f entry) bool {
	if e.dueAt() == f.dueAt() {
		return e.seq < f.seq
	}
	if e.dueAt() == 0 || f.dueAt() == 0 {
		return f.dueAt() == 0
	}
	return e.dueAt() < f.dueAt()
}

// ahead is the number of entries that run before e.
func (l entryHeap) ahead(e entry) int {
	n := 0
	for i := range l {
		if l[i].before(e) {
			n++
		}
	}
	return n
}

func (l entryHeap) Len() int           { return len(l) }
func (l entryHeap) Less(i, j int) bool { return l[i].before(l[j]) }
func (l entryHeap) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *entryHeap) Push(x any)        { *l = append(*l, x.(entry)) }

// Pop removes the last entry; package heap calls it.
func (l *entryHeap) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// lastIndex returns the index of the entry that would run lastIndex, or -1.
func (l entryHeap) lastIndex() int {
	at := -1
	for i := range l {
		if at < 0 || l[at].before(l[i]) {
			at = i
		}
	}
	return at
}

func (l *entryHeap) removeAt(i int) Item { return heap.Remove(l, i).(entry).Item }

// class holds the waiting items of one weight.
type class struct {
	weight int
	reads  entryHeap
	writes entryHeap
	// lateReads and lateWrites have missed their time to start.
	lateReads  entryHeap
	lateWrites entryHeap
	// skipped counts the items of other classes that ran since this class waits.
	skipped int
	// readNext makes reads and writes of one weight take turns.
	readNext bool
}

// noneInTime reports whether no item waits that can still start in time.
func (c *class) noneInTime() bool { return len(c.reads)+len(c.writes) == 0 }

func (c *class) heaps() []*entryHeap {
	return []*entryHeap{&c.reads, &c.writes, &c.lateReads, &c.lateWrites}
}

// lateHeap returns where the late item waits that runs first; nil where there is none.
func (c *class) lateHeap() *entryHeap {
	r, w := &c.lateReads, &c.lateWrites
	switch {
	case len(*r) == 0 && len(*w) == 0:
		return nil
	case len(*r) == 0 || len(*w) > 0 && (*w)[0].before((*r)[0]):
		return w
	}
	return r
}

// demote moves the items that can no longer start in time behind all others.
func (c *class) demote(now clock.Millis) {
	demote(&c.reads, &c.lateReads, now)
	demote(&c.writes, &c.lateWrites, now)
}

func demote(from, to *entryHeap, now clock.Millis) {
	for len(*from) > 0 && (*from)[0].StartBy != 0 && (*from)[0].StartBy <= now {
		e := heap.Pop(from).(entry)
		e.late = true
		heap.Push(to, e)
	}
}

// heapOf returns the items of a kind that can still start in time.
func (c *class) heapOf(k Kind) *entryHeap {
	if k == Write {
		return &c.writes
	}
	return &c.reads
}

// popInTime takes the item that runs now; reads never run twice in a row while a write waits.
func (c *class) popInTime() Item {
	kind := Write
	if len(c.writes) == 0 || c.readNext && len(c.reads) > 0 {
		kind = Read
	}
	c.readNext = kind == Write
	return c.heapOf(kind).removeAt(0)
}
