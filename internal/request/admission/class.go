package admission

import (
	"container/heap"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// line holds waiting items, the most urgent first.
type line []entry

// entry is an item with its place in the order of arrival.
type entry struct {
	Item
	seq uint64
	// late is true once the item could not start in time.
	late bool
}

// due is by when the item should run; 0 means never.
func (e entry) due() clock.Millis {
	if e.late || e.StartBy == 0 {
		return e.Deadline
	}
	return e.StartBy
}

// before orders by when the items are due, of which 0 is the latest, and then by arrival.
func (e entry) before(f entry) bool {
	if e.due() == f.due() {
		return e.seq < f.seq
	}
	if e.due() == 0 || f.due() == 0 {
		return f.due() == 0
	}
	return e.due() < f.due()
}

// ahead is the number of entries that run before e.
func (l line) ahead(e entry) int {
	n := 0
	for i := range l {
		if l[i].before(e) {
			n++
		}
	}
	return n
}

func (l line) Len() int           { return len(l) }
func (l line) Less(i, j int) bool { return l[i].before(l[j]) }
func (l line) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *line) Push(x any)        { *l = append(*l, x.(entry)) }

// Pop removes the last entry; package heap calls it.
func (l *line) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// last returns the index of the entry that would run last, or -1.
func (l line) last() int {
	at := -1
	for i := range l {
		if at < 0 || l[at].before(l[i]) {
			at = i
		}
	}
	return at
}

func (l *line) take(i int) Item { return heap.Remove(l, i).(entry).Item }

// class holds the waiting items of one weight.
type class struct {
	weight int
	reads  line
	writes line
	// lateReads and lateWrites have missed their time to start.
	lateReads  line
	lateWrites line
	// passed counts the items of other classes that ran since this class waits.
	passed int
	// readTurn makes reads and writes of one weight take turns.
	readTurn bool
}

// empty reports whether no item waits that can still start in time.
func (c *class) empty() bool { return len(c.reads)+len(c.writes) == 0 }

func (c *class) lines() []*line {
	return []*line{&c.reads, &c.writes, &c.lateReads, &c.lateWrites}
}

// lateLine returns where the late item waits that runs first; nil where there is none.
func (c *class) lateLine() *line {
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

func demote(from, to *line, now clock.Millis) {
	for len(*from) > 0 && (*from)[0].StartBy != 0 && (*from)[0].StartBy <= now {
		e := heap.Pop(from).(entry)
		e.late = true
		heap.Push(to, e)
	}
}

// line returns the items of a kind that can still start in time.
func (c *class) line(k Kind) *line {
	if k == Write {
		return &c.writes
	}
	return &c.reads
}

// next takes the item that runs now; reads never run twice in a row while a write waits.
func (c *class) next() Item {
	kind := Write
	if len(c.writes) == 0 || c.readTurn && len(c.reads) > 0 {
		kind = Read
	}
	c.readTurn = kind == Write
	return c.line(kind).take(0)
}
