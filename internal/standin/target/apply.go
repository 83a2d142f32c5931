package target

import (
	"context"
	"fmt"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// lockTimeout bounds the wait for the transaction that holds the database.
const lockTimeout = 5 * clock.Second

// apply replays the records of the log until ctx ends, each after the lag.
func (t *Target) apply(ctx context.Context) {
	for {
		wait, changed, due := t.nextDue()
		var timer <-chan struct{}
		if wait > 0 {
			timer = t.network.clk.After(wait)
			_, _, due = t.nextDue() // the clock may have advanced before the timer was set
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

// nextDue reports whether the target has something to apply now. Otherwise it returns how long to wait; if the wait is 0, only a change
// can make something due.
func (t *Target) nextDue() (wait clock.Millis, changed <-chan struct{}, due bool) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	switch {
	case !t.isRunning() || t.failure != nil:
		return 0, t.changed, false
	case t.rewind || t.promoting:
		return 0, t.changed, true
	case t.applied == len(t.log):
		return 0, t.changed, false
	}
	wait = t.log[t.applied].at + t.lag - t.network.clk.Now()
	return wait, t.changed, wait <= 0
}

// applyNext replays one record, or completes a promotion if no record is left.
func (t *Target) applyNext(ctx context.Context) error {
	if err := t.lockDatabase(ctx); err != nil {
		return err
	}
	defer t.unlockDatabase()
	if r := t.nextRecord(); r != nil {
		return t.replay(r)
	}
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	if t.isRunning() && t.promoting && t.applied == len(t.log) && !t.rewind {
		t.becomePrimary()
	}
	return nil
}

// applyAll replays all received records without regard to the lag.
func (t *Target) applyAll(ctx context.Context) error {
	if err := t.lockDatabase(ctx); err != nil {
		return err
	}
	defer t.unlockDatabase()
	for r := t.nextRecord(); r != nil; r = t.nextRecord() {
		if err := t.replay(r); err != nil {
			return err
		}
	}
	return nil
}

// nextRecord returns the record after the last applied one, or nil if there is none, the target does not run or a rewind is due.
func (t *Target) nextRecord() *record {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	if !t.isRunning() || t.rewind || t.applied == len(t.log) {
		return nil
	}
	return t.log[t.applied].record
}

// replay applies r, the next record. The caller holds the database, but the log may change meanwhile; if r is no longer the next
// record of the log, the database needs a rewind.
func (t *Target) replay(r *record) error {
	err := t.db.replay(r)
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	if err != nil {
		t.failure = fmt.Errorf("replay %s: %w", r.point, err)
		return t.failure
	}
	if t.rewind || t.applied == len(t.log) || t.log[t.applied].record != r {
		t.rewind = true
		return nil
	}
	t.applied++
	return nil
}

// lockDatabase locks the database for one statement or transaction and rewinds it first if that is due. It fails after lockTimeout.
func (t *Target) lockDatabase(ctx context.Context) error {
	select {
	case t.dbLock <- struct{}{}:
	default:
		if err := t.waitForDatabase(ctx); err != nil {
			return err
		}
	}
	for {
		entries, due, err := t.rewindTo()
		if err == nil && due {
			err = t.rebuild(entries)
		}
		if err != nil {
			t.unlockDatabase()
			return err
		}
		if !due {
			return nil
		}
	}
}

func (t *Target) waitForDatabase(ctx context.Context) error {
	select {
	case t.dbLock <- struct{}{}:
		return nil
	case <-t.network.clk.After(lockTimeout):
		return fail(codeLockNotAvailable, lockWaitedTooLong)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *Target) unlockDatabase() { <-t.dbLock }

// rewindTo returns the records that the database should contain, and whether a rewind to them is due.
func (t *Target) rewindTo() (entries []logEntry, due bool, err error) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	return t.log[:t.applied], t.rewind, t.failure
}

// rebuild replays entries into a new database that replaces the old one. The caller holds the old one, but the log may change
// meanwhile, so that another rewind becomes due.
func (t *Target) rebuild(entries []logEntry) error {
	db, err := openDatabase(t.db.ctx)
	if err != nil {
		return fmt.Errorf("rewind: %w", err)
	}
	for _, e := range entries {
		if err := db.replay(e.record); err != nil {
			_ = db.close()
			return fmt.Errorf("rewind: %w", err)
		}
	}
	_ = t.db.close()
	t.db = db
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.rewind = t.applied != len(entries)
	return nil
}
