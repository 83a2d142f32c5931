package target

import (
	"database/sql/driver"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	recordBytes   = 32 // size of a record without statements
	argumentBytes = 8  // size of an argument that is neither text nor bytes
)

// loggedStatement is one statement of a record.
type loggedStatement struct {
	sql  string
	args []driver.Value
}

// record is one committed transaction. Targets share records, so that equal pointers mean equal histories up to that record.
type record struct {
	point      position.Point
	statements []loggedStatement
}

// logEntry is a record in the log of one target.
type logEntry struct {
	*record
	at clock.Millis // when it was received
}

// newRecord returns a record whose position follows end by the size of its statements.
func newRecord(end position.Point, term position.Term, statements []loggedStatement) *record {
	size := recordBytes
	for _, s := range statements {
		size += s.size()
	}
	at := position.Point{Term: term, Position: end.Position + position.Position(size)}
	return &record{point: at, statements: statements}
}

func (l loggedStatement) size() int {
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

// lastPoint returns the point of the last record in the log; the caller holds the network's mu.
func (t *Target) lastPoint() position.Point { return t.pointAt(len(t.log)) }

// pointAt returns the point after the first n records of the log.
func (t *Target) pointAt(n int) position.Point {
	if n == 0 {
		return position.Point{}
	}
	return t.log[n-1].point
}

// followUpstream connects to the upstream target if it is a reachable primary, truncates the records that the primary does not have
// and receives the missing ones. The caller holds the network's mu.
func (t *Target) followUpstream() {
	t.following = ""
	if t.upstream == "" || t.primary || t.promoting || !t.isRunning() {
		return
	}
	up := t.network.targets[t.upstream]
	if up == nil || !up.primary || !up.isRunning() || !t.network.canReplicate(up, t) {
		return
	}
	t.truncate(commonPrefix(up.log, t.log))
	t.receive(up.log[len(t.log):])
	t.following = t.upstream
}

func (t *Target) isRunning() bool { return t.up && !t.paused }

func (t *Target) receive(entries []logEntry) {
	now := t.network.clk.Now()
	for _, e := range entries {
		t.log = append(t.log, logEntry{record: e.record, at: now})
	}
	if len(entries) > 0 {
		t.notifyChange()
	}
}

// commonPrefix returns the number of records that both logs share from their start.
func commonPrefix(a, b []logEntry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].record != b[n-1].record {
		n--
	}
	return n
}

// truncate removes the records after the first n; if one of them was applied, the database needs a rewind.
func (t *Target) truncate(n int) {
	if n == len(t.log) {
		return
	}
	t.log = append([]logEntry(nil), t.log[:n]...)
	if t.applied > n {
		t.applied = n
		t.rewind = true
	}
}

// append appends a record to the primary's log and sends it to the targets that follow it. The caller holds the network's mu.
func (t *Target) append(statements []loggedStatement) {
	e := logEntry{record: newRecord(t.lastPoint(), t.logTerm, statements)}
	t.log = append(t.log, e)
	t.applied = len(t.log)
	for _, f := range t.network.targets {
		if f.following == t.cfg.ID {
			f.receive([]logEntry{e})
		}
	}
}
