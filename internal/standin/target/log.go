package target

import (
	"context"
	"database/sql/driver"
	"fmt"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	recordBytes   = 32 // of a record without statements
	argumentBytes = 8  // of an argument that is no text

	lockTimeout = 5 * clock.Second // of waiting for another transaction
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

// apply replays the log until ctx ends, each record once it is due.
func (t *Target) apply(ctx context.Context) {
	for {
		wait, changed, due := t.nextDue()
		var timer <-chan struct{}
		if wait > 0 {
			timer = t.n.clk.After(wait)
			_, _, due = t.nextDue() // the clock may have moved before the timer was set
		}
		if due {
			if err := t.applyNext(ctx); err != nil && ctx.Err() != nil {
				return
			}
			continue
		}
		select {
		case <-changed:
		case <-timer:
		case <-ctx.Done():
			return
		}
	}
}

// nextDue says whether there is something to apply now, or how long to wait; 0 is until a change.
func (t *Target) nextDue() (wait clock.Millis, changed <-chan struct{}, due bool) {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	switch {
	case !t.working() || t.failure != nil:
		return 0, t.changed, false
	case t.rewind || t.promoting:
		return 0, t.changed, true
	case t.applied == len(t.log):
		return 0, t.changed, false
	}
	wait = t.log[t.applied].at + t.lag - t.n.clk.Now()
	return wait, t.changed, wait <= 0
}

// applyNext replays one record, or ends a promotion when none is left.
func (t *Target) applyNext(ctx context.Context) error {
	if err := t.lockDatabase(ctx); err != nil {
		return err
	}
	defer t.unlockDatabase()
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	if !t.working() {
		return nil
	}
	if t.applied < len(t.log) {
		return t.replay()
	}
	if t.promoting {
		t.becomePrimary()
	}
	return nil
}

// applyAll replays everything that was received, whatever the lag.
func (t *Target) applyAll(ctx context.Context) error {
	if err := t.lockDatabase(ctx); err != nil {
		return err
	}
	defer t.unlockDatabase()
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	for t.applied < len(t.log) {
		if err := t.replay(); err != nil {
			return err
		}
	}
	return nil
}

// replay applies the next record; the caller holds the database and mu.
func (t *Target) replay() error {
	if err := t.db.replay(t.log[t.applied].record); err != nil {
		t.failure = fmt.Errorf("replay %s: %w", t.log[t.applied].point, err)
		return t.failure
	}
	t.applied++
	return nil
}

// lockDatabase takes the database for one statement or transaction and rewinds it first where that is due.
func (t *Target) lockDatabase(ctx context.Context) error {
	select {
	case t.dbLock <- struct{}{}:
	default:
		if err := t.waitForDatabase(ctx); err != nil {
			return err
		}
	}
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	if t.rewind && t.failure == nil {
		t.rebuild()
	}
	if t.failure != nil {
		t.unlockDatabase()
		return t.failure
	}
	return nil
}

func (t *Target) waitForDatabase(ctx context.Context) error {
	select {
	case t.dbLock <- struct{}{}:
		return nil
	case <-t.n.clk.After(lockTimeout):
		return fail(codeLockNotAvailable, lockWaitedTooLong)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *Target) unlockDatabase() { <-t.dbLock }

// rebuild replays the log into a new database; the caller holds the old one and mu.
func (t *Target) rebuild() {
	old := t.db
	db, err := openDatabase(old.ctx)
	if err != nil {
		t.failure = fmt.Errorf("rewind: %w", err)
		return
	}
	t.db, t.rewind = db, false
	_ = old.close()
	applied := t.applied
	for t.applied = 0; t.applied < applied; {
		if t.replay() != nil {
			return
		}
	}
}
