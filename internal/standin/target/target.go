package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// settings are what a control session stages and a reload puts into force.
type settings struct {
	term     position.Term
	holder   group.DaemonID
	upstream group.TargetID
}

// Counts says how many statements of each kind a target has run or refused.
type Counts struct {
	Reads   uint64
	Writes  uint64
	Control uint64
	Refused uint64 // for want of a slot
}

var errEnded = errors.New("target has ended")

// Target is one stand-in database server.
type Target struct {
	cfg     Config
	n       *Network
	address string
	dbLock  chan struct{}
	db      *database // guarded by dbLock

	reads, writes, control, refused atomic.Uint64

	// The fields below are guarded by the network's mu.
	stop      context.CancelFunc
	release   func() // gives back the port that a crash has reserved
	done      *sync.WaitGroup
	sessions  map[*session]bool
	lastPID   uint32
	lockOwner *session
	atWork    int
	changed   chan struct{}

	up        bool
	paused    bool
	leaving   bool
	lag       clock.Millis
	log       []entry
	applied   int
	rewind    bool  // the database holds records that the log does not
	failure   error // ended the replay or the target
	primary   bool
	promoting bool
	toTerm    position.Term // of the promotion
	logTerm   position.Term
	epoch     uint64 // rises when the target stops being a primary
	upstream  group.TargetID
	following group.TargetID
	promise   position.Term
	holder    group.DaemonID
	staged    settings
}

func newTarget(ctx context.Context, n *Network, cfg Config) (*Target, error) {
	db, err := openDatabase(ctx)
	if err != nil {
		return nil, err
	}
	return &Target{
		cfg:      cfg,
		n:        n,
		lag:      cfg.Lag,
		db:       db,
		dbLock:   make(chan struct{}, 1),
		changed:  make(chan struct{}),
		sessions: make(map[*session]bool),
		release:  func() {},
	}, nil
}

// start listens and runs until ctx ends or the target crashes.
func (t *Target) start(ctx context.Context) error {
	listen := t.cfg.Listen
	if t.address != "" {
		listen = t.address
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	run, stop := context.WithCancel(ctx)
	done := new(sync.WaitGroup)
	t.n.mu.Lock()
	t.address = l.Addr().String()
	t.stop, t.done = stop, done
	t.up = true
	t.release()
	t.release = func() {}
	t.n.connect()
	t.n.mu.Unlock()
	done.Go(func() {
		<-run.Done()
		_ = l.Close()
	})
	done.Go(func() { t.apply(run) })
	done.Go(func() { t.accept(run, l, done) })
	return nil
}

func (t *Target) accept(ctx context.Context, l net.Listener, done *sync.WaitGroup) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		done.Go(func() { t.serve(ctx, conn) })
	}
}

// ID returns the target's name.
func (t *Target) ID() group.TargetID { return t.cfg.ID }

// DataCentre returns where the target is.
func (t *Target) DataCentre() group.DataCentre { return t.cfg.DataCentre }

// Address returns host and port, which stay the same over restarts.
func (t *Target) Address() string {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	return t.address
}

// Crash ends the listener and all sessions at once and keeps what a disk would: log, role and settings.
func (t *Target) Crash() {
	if !t.halt() {
		return
	}
	t.setPaused(false)
	release, err := reserve(t.Address())
	if err != nil {
		return // only a restart needs the port, and says so
	}
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	t.release = release
}

// halt ends the run of the target and reports whether it was up.
func (t *Target) halt() bool {
	t.n.mu.Lock()
	up, stop, done := t.up, t.stop, t.done
	t.up = false
	t.promoting = false
	t.n.connect()
	t.n.mu.Unlock()
	stop()
	done.Wait()
	return up
}

// shutDown ends the target for good.
func (t *Target) shutDown() {
	t.halt()
	t.dbLock <- struct{}{}
	defer t.unlockDatabase()
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	t.failure = errEnded
	t.release()
	t.release = func() {}
	_ = t.db.close()
}

// Restart starts a crashed target on its old address until ctx ends, with the settings that were staged.
func (t *Target) Restart(ctx context.Context) error {
	t.n.mu.Lock()
	up := t.up
	if !up {
		t.reload(nil)
	}
	t.n.mu.Unlock()
	if up {
		return fmt.Errorf("restart %s: still up", t.cfg.ID)
	}
	if err := t.start(ctx); err != nil {
		return fmt.Errorf("restart %s: %w", t.cfg.ID, err)
	}
	return nil
}

// Pause freezes the target: what it is sent is accepted but not answered, and it neither sends nor takes log records.
func (t *Target) Pause() { t.setPaused(true) }

// Resume goes on after Pause.
func (t *Target) Resume() { t.setPaused(false) }

func (t *Target) setPaused(paused bool) {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	t.paused = paused
	t.n.connect()
}

// SetLag changes the time between receiving and applying a log record, also of those received already.
func (t *Target) SetLag(lag clock.Millis) {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	t.lag = lag
	t.wake()
}

// SetLeaving marks the target's VM as leaving; the target itself tells nobody.
func (t *Target) SetLeaving(leaving bool) {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	t.leaving = leaving
}

// Leaving reports what SetLeaving set, for the platform's list of VMs.
func (t *Target) Leaving() bool {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	return t.leaving
}

// Status returns what the target would say of itself, also while it is down or paused.
func (t *Target) Status() group.Status {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	return t.status()
}

func (t *Target) status() group.Status {
	return group.Status{
		Promise:   t.promise,
		Holder:    t.holder,
		Primary:   t.primary,
		Following: t.following,
		Received:  t.end(),
		Applied:   t.pointAt(t.applied),
	}
}

// Statements returns how many statements the target has run.
func (t *Target) Statements() Counts {
	return Counts{
		Reads:   t.reads.Load(),
		Writes:  t.writes.Load(),
		Control: t.control.Load(),
		Refused: t.refused.Load(),
	}
}

// Rows runs sql on what the target has applied, past its limits and faults, and returns the rows as text; it fails once the target has ended.
func (t *Target) Rows(ctx context.Context, sql string) ([][]string, error) {
	if err := t.lockDatabase(ctx); err != nil {
		return nil, fmt.Errorf("lock database: %w", err)
	}
	defer t.unlockDatabase()
	res, err := t.db.run(ctx, sql, nil)
	if err != nil {
		return nil, fmt.Errorf("run: %w", err)
	}
	rows := make([][]string, 0, len(res.rows))
	for _, values := range res.rows {
		row := make([]string, len(values))
		for i, v := range values {
			row[i] = string(encodeText(v, textOID))
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// wake tells everything that waits on this target to look again; the caller holds mu.
func (t *Target) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// running waits while the target is paused.
func (t *Target) running(ctx context.Context) error {
	for {
		t.n.mu.Lock()
		paused, changed := t.paused, t.changed
		t.n.mu.Unlock()
		if !paused {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
