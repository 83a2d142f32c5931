package target

import (
	"context"
	"fmt"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

const lockTimeout = 5 * clock.Second // of waiting for another transaction

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
	if r := t.nextRecord(); r != nil {
		return t.replay(r)
	}
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	if t.working() && t.promoting && t.applied == len(t.log) && !t.rewind {
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
	for r := t.nextRecord(); r != nil; r = t.nextRecord() {
		if err := t.replay(r); err != nil {
			return err
		}
	}
	return nil
}

// nextRecord returns the record after the last applied one, or nil.
func (t *Target) nextRecord() *record {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	if !t.working() || t.rewind || t.applied == len(t.log) {
		return nil
	}
	return t.log[t.applied].record
}

// replay applies the next record; the caller holds the database, while the log may change.
func (t *Target) replay(r *record) error {
	err := t.db.replay(r)
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
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

// lockDatabase takes the database for one statement or transaction and rewinds it first where that is due.
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
	case <-t.n.clk.After(lockTimeout):
		return fail(codeLockNotAvailable, lockWaitedTooLong)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *Target) unlockDatabase() { <-t.dbLock }

// rewindTo returns what a rewound database holds, and whether it is due.
func (t *Target) rewindTo() (entries []entry, due bool, err error) {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	return t.log[:t.applied], t.rewind, t.failure
}

// rebuild replays entries into a new database; the caller holds the old one, while the log may change.
func (t *Target) rebuild(entries []entry) error {
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
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	t.rewind = t.applied != len(entries)
	return nil
}
