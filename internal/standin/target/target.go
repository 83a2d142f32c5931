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

// settings holds the settings that a control session stages and a reload applies.
type settings struct {
	term     position.Term
	holder   group.DaemonID
	upstream group.TargetID
}

// Counts holds the numbers of statements that a target has run or refused since it was created.
type Counts struct {
	Reads   uint64
	Writes  uint64
	Control uint64 // statements that daemons send to observe and change the target's role
	Refused uint64 // because all slots were in use
}

var errEnded = errors.New("target has ended")

// Target is one stand-in database server.
type Target struct {
	cfg     Config
	network *Network
	address string
	dbLock  chan struct{}
	db      *database // guarded by dbLock

	reads, writes, control, refused atomic.Uint64

	// The fields below are guarded by the network's mu.
	stop      context.CancelFunc
	release   func() // releases the port that a crash has reserved
	done      *sync.WaitGroup
	sessions  map[*session]bool
	lastPID   uint32
	lockOwner *session      // holds the advisory lock
	inFlight  int           // slots in use
	changed   chan struct{} // closed at the next change of the target's state

	up            bool
	paused        bool
	leaving       bool
	lag           clock.Millis
	log           []logEntry
	applied       int   // number of log records in the database
	rewind        bool  // the database contains records that are no longer in the log
	failure       error // stopped the replay or the target for good
	primary       bool
	promoting     bool
	promotionTerm position.Term  // term of the promotion in progress
	logTerm       position.Term  // term of the records that the primary appends
	epoch         uint64         // increases when the target stops being the primary
	upstream      group.TargetID // target to follow
	following     group.TargetID // target whose log is being received
	promise       position.Term  // term that the target has promised
	holder        group.DaemonID // daemon for which the target holds the promise
	staged        settings
}

func newTarget(ctx context.Context, network *Network, cfg Config) (*Target, error) {
	db, err := openDatabase(ctx)
	if err != nil {
		return nil, err
	}
	return &Target{
		cfg:      cfg,
		network:  network,
		lag:      cfg.Lag,
		db:       db,
		dbLock:   make(chan struct{}, 1),
		changed:  make(chan struct{}),
		sessions: make(map[*session]bool),
		release:  func() {},
	}, nil
}

// start listens and serves sessions in the background until ctx ends or the target crashes.
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
	t.network.mu.Lock()
	t.address = l.Addr().String()
	t.stop, t.done = stop, done
	t.up = true
	t.release()
	t.release = func() {}
	t.network.reconnect()
	t.network.mu.Unlock()
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

// ID returns the ID of the target.
func (t *Target) ID() group.TargetID { return t.cfg.ID }

// DataCentre returns the target's data centre.
func (t *Target) DataCentre() group.DataCentre { return t.cfg.DataCentre }

// Address returns host and port of the target, which stay the same across restarts.
func (t *Target) Address() string {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	return t.address
}

// Crash closes the listener and all sessions at once. It keeps the state that a disk would keep: log, role and settings. The port
// stays reserved until Restart.
func (t *Target) Crash() {
	if !t.halt() {
		return
	}
	t.setPaused(false)
	release, err := reserve(t.Address())
	if err != nil {
		return // only Restart needs the port, and it reports an error if the port is in use
	}
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.release = release
}

// halt stops the target, waits for its goroutines and reports whether it was up.
func (t *Target) halt() bool {
	t.network.mu.Lock()
	up, stop, done := t.up, t.stop, t.done
	t.up = false
	t.promoting = false
	t.network.reconnect()
	t.network.mu.Unlock()
	stop()
	done.Wait()
	return up
}

// shutDown stops the target for good and closes its database.
func (t *Target) shutDown() {
	t.halt()
	t.dbLock <- struct{}{}
	defer t.unlockDatabase()
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.failure = errEnded
	t.release()
	t.release = func() {}
	_ = t.db.close()
}

// Restart starts a crashed target on its old address with the staged settings in force, until ctx ends. It fails if the target is up
// or the address is in use.
func (t *Target) Restart(ctx context.Context) error {
	t.network.mu.Lock()
	up := t.up
	if !up {
		t.reload(nil)
	}
	t.network.mu.Unlock()
	if up {
		return fmt.Errorf("restart %s: still up", t.cfg.ID)
	}
	if err := t.start(ctx); err != nil {
		return fmt.Errorf("restart %s: %w", t.cfg.ID, err)
	}
	return nil
}

// Pause freezes the target: it accepts connections and input but sends no replies, and it neither sends nor receives log records.
func (t *Target) Pause() { t.setPaused(true) }

// Resume ends a Pause.
func (t *Target) Resume() { t.setPaused(false) }

func (t *Target) setPaused(paused bool) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.paused = paused
	t.network.reconnect()
}

// SetLag sets the delay between receiving and applying a log record, in milliseconds. It also applies to records already received.
func (t *Target) SetLag(lag clock.Millis) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.lag = lag
	t.notifyChange()
}

// SetLeaving marks the target's VM as leaving; the target itself does not report the mark.
func (t *Target) SetLeaving(leaving bool) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.leaving = leaving
}

// Leaving returns the mark of SetLeaving, for the platform's list of VMs.
func (t *Target) Leaving() bool {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	return t.leaving
}

// Status returns the status of the target, also while it is down or paused.
func (t *Target) Status() group.Status {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	return t.status()
}

// status returns the status of the target; the caller holds the network's mu.
func (t *Target) status() group.Status {
	return group.Status{
		Promise:   t.promise,
		Holder:    t.holder,
		Primary:   t.primary,
		Following: t.following,
		Received:  t.lastPoint(),
		Applied:   t.pointAt(t.applied),
	}
}

// Statements returns the numbers of statements that the target has run or refused.
func (t *Target) Statements() Counts {
	return Counts{
		Reads:   t.reads.Load(),
		Writes:  t.writes.Load(),
		Control: t.control.Load(),
		Refused: t.refused.Load(),
	}
}

// Rows runs sql on the data that the target has applied and returns the rows as text. It ignores limits and faults and fails once
// the target is shut down.
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

// notifyChange wakes all waiters on the state of this target; the caller holds the network's mu.
func (t *Target) notifyChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// waitWhilePaused waits until the target is not paused, and returns the error of ctx if it ends first.
func (t *Target) waitWhilePaused(ctx context.Context) error {
	for {
		t.network.mu.Lock()
		paused, changed := t.paused, t.changed
		t.network.mu.Unlock()
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
