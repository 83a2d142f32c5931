package target

import (
	"database/sql/driver"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	recordBytes   = 32 // of a record without statements
	argumentBytes = 8  // of an argument that is no text
)

// logged is one statement of a record.
type logged struct {
	sql  string
	args []driver.Value
}

// record is one committed transaction; targets share records, so equal pointers are equal histories up to there.
type record struct {
	point      position.Point
	statements []logged
}

type entry struct {
	*record
	at clock.Millis // when it was received
}

func newRecord(end position.Point, term position.Term, statements []logged) *record {
	size := recordBytes
	for _, s := range statements {
		size += s.size()
	}
	at := position.Point{Term: term, Position: end.Position + position.Position(size)}
	return &record{point: at, statements: statements}
}

func (l logged) size() int {
	size := len(l.sql)
	for _, a := range l.args {
		switch v := a.(type) {
		case string:
			size += len(v)
		case []byte:
			size += len(v)
		default:
			size += argumentBytes
		}
	}
	return size
}

// end is the point of the last record held; the caller holds the network's mu.
func (t *Target) end() position.Point { return t.pointAt(len(t.log)) }

func (t *Target) pointAt(n int) position.Point {
	if n == 0 {
		return position.Point{}
	}
	return t.log[n-1].point
}

// stream connects to the primary if it can be reached, drops what the primary does not hold and takes what is new; the caller holds mu.
func (t *Target) stream() {
	t.following = ""
	if t.upstream == "" || t.primary || t.promoting || !t.working() {
		return
	}
	up := t.n.targets[t.upstream]
	if up == nil || !up.primary || !up.working() || !t.n.passes(up, t) {
		return
	}
	t.truncate(commonPrefix(up.log, t.log))
	t.receive(up.log[len(t.log):])
	t.following = t.upstream
}

func (t *Target) working() bool { return t.up && !t.paused }

func (t *Target) receive(entries []entry) {
	now := t.n.clk.Now()
	for _, e := range entries {
		t.log = append(t.log, entry{record: e.record, at: now})
	}
	if len(entries) > 0 {
		t.wake()
	}
}

func commonPrefix(a, b []entry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].record != b[n-1].record {
		n--
	}
	return n
}

func (t *Target) truncate(n int) {
	if n == len(t.log) {
		return
	}
	t.log = append([]entry(nil), t.log[:n]...)
	if t.applied > n {
		t.applied = n
		t.rewind = true
	}
}

// append writes a record of its own to the primary's log and ships it; the caller holds mu.
func (t *Target) append(statements []logged) {
	e := entry{record: newRecord(t.end(), t.logTerm, statements)}
	t.log = append(t.log, e)
	t.applied = len(t.log)
	for _, f := range t.n.targets {
		if f.following == t.cfg.ID {
			f.receive([]entry{e})
		}
	}
}
