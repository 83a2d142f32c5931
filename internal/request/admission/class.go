package admission

import "container/heap"

// line holds waiting items, earliest deadline first.
type line []entry

// entry is an item with its place in the order of arrival.
type entry struct {
	Item
	seq uint64
}

// before orders by deadline, of which 0 is the latest, and then by arrival.
func (e entry) before(f entry) bool {
	if e.Deadline == f.Deadline {
		return e.seq < f.seq
	}
	if e.Deadline == 0 || f.Deadline == 0 {
		return f.Deadline == 0
	}
	return e.Deadline < f.Deadline
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
	// passed counts the items of other classes that ran since this class waits.
	passed int
	// readTurn makes reads and writes of one weight take turns.
	readTurn bool
}

func (c *class) empty() bool { return len(c.reads)+len(c.writes) == 0 }

// line returns the items of a kind.
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
