package admission

import (
	"container/heap"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// entryHeap is a heap of waiting items, the most urgent first.
type entryHeap []entry

// entry is an item with its sequence number.
type entry struct {
	Item
	seq uint64
	// late is true once the item has missed its StartBy.
	late bool
}

// dueAt returns the time by which the item should run: StartBy while that is ahead, then Deadline. 0 means never.
func (e entry) dueAt() clock.Millis {
	if e.late || e.StartBy == 0 {
		return e.Deadline
	}
	return e.StartBy
}

// before orders entries that begin a transaction last, then by due time, where 0 comes last, and then by arrival.
func (e entry) before(f entry) bool {
	if (e.Stage == Begins) != (f.Stage == Begins) {
		return f.Stage == Begins
	}
	if e.dueAt() == f.dueAt() {
		return e.seq < f.seq
	}
	if e.dueAt() == 0 || f.dueAt() == 0 {
		return f.dueAt() == 0
	}
	return e.dueAt() < f.dueAt()
}

// ahead returns the number of entries that run before e.
func (h entryHeap) ahead(e entry) int {
	if e.Workspace != "" {
		return h.aheadFairly(e)
	}
	n := 0
	for i := range h {
		if h[i].before(e) {
			n++
		}
	}
	return n
}

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h entryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *entryHeap) Push(x any)        { *h = append(*h, x.(entry)) }

// Pop removes the last element; it implements heap.Interface.
func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// lastIndex returns the index of the entry that makes room for another one, or -1 if the heap is empty: the least urgent, where
// workspaces wait that of the one with most entries.
func (h entryHeap) lastIndex() int {
	if h.hasWorkspace() {
		return h.displaced()
	}
	index := -1
	for i := range h {
		if index < 0 || h[index].before(h[i]) {
			index = i
		}
	}
	return index
}

func (h *entryHeap) removeAt(i int) Item { return heap.Remove(h, i).(entry).Item }

// class holds the waiting items of one weight.
type class struct {
	weight int
	reads  entryHeap
	writes entryHeap
	// lateReads and lateWrites hold items that have missed their StartBy.
	lateReads  entryHeap
	lateWrites entryHeap
	// skipped counts the items of other classes that ran while an item of this class waited in time.
	skipped int
	// readNext alternates reads and writes within the class.
	readNext bool
	// beginsSkipped counts the items that ran while one that begins a transaction waited.
	beginsSkipped int
}

// noneInTime reports whether the class has no waiting item that can still start in time.
func (c *class) noneInTime() bool { return len(c.reads)+len(c.writes) == 0 }

func (c *class) heaps() []*entryHeap {
	return []*entryHeap{&c.reads, &c.writes, &c.lateReads, &c.lateWrites}
}

// lateHeap returns the heap whose first item is the next late item to run, or nil if no late item waits.
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

// demote moves the items that have missed their StartBy to the late heaps, which run after all other items.
func (c *class) demote(now clock.Millis) {
	demote(&c.reads, &c.lateReads, now)
	demote(&c.writes, &c.lateWrites, now)
}

func demote(from, to *entryHeap, now clock.Millis) {
	for i := 0; i < len(*from); {
		if (*from)[i].StartBy == 0 || (*from)[i].StartBy > now {
			i++
			continue
		}
		e := heap.Remove(from, i).(entry)
		e.late = true
		heap.Push(to, e)
		i = 0 // the removal may have moved an entry to the front of i
	}
}

// heapOf returns the items of kind k that can still start in time.
func (c *class) heapOf(k Kind) *entryHeap {
	if k == Write {
		return &c.writes
	}
	return &c.reads
}

// popInTime removes and returns the next item that can start in time. Two reads never run in a row while a write waits.
func (c *class) popInTime(f *fairness) Item {
	kind := Write
	if len(c.writes) == 0 || c.readNext && len(c.reads) > 0 {
		kind = Read
	}
	c.readNext = kind == Write
	h := c.heapOf(kind)
	if c.beginsSkipped >= BeginsAgingBound {
		if i := h.firstBegin(); i >= 0 {
			c.beginsSkipped = 0
			return h.removeAt(i)
		}
	}
	index := 0
	if f.active(*h) {
		index = f.next(*h)
	}
	next := h.removeAt(index)
	switch {
	case next.Stage == Begins:
		c.beginsSkipped = 0
	case c.reads.firstBegin() >= 0 || c.writes.firstBegin() >= 0:
		c.beginsSkipped++
	}
	return next
}

// firstBegin returns the index of the most urgent entry that begins a transaction, or -1.
func (h entryHeap) firstBegin() int {
	index := -1
	for i := range h {
		if h[i].Stage == Begins && (index < 0 || h[i].before(h[index])) {
			index = i
		}
	}
	return index
}
