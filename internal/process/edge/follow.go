package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/mirror"
	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform"
)

const (
	// minRetryDelay is the wait before the first retry after a failed call to the store, in milliseconds. The wait doubles up to maxRetryDelay.
	minRetryDelay clock.Millis = 100
	maxRetryDelay clock.Millis = 1000
	// jitterDivisor divides the delay to get the longest wait after a call that took longer than the delay.
	jitterDivisor = 4
	// configBatchPause and entriesBatchPause are the waits after changes, in milliseconds, so that one call brings several.
	configBatchPause  clock.Millis = 150
	entriesBatchPause clock.Millis = 100
	// mirrorStartTimeout is how long after its first request a daemon waits for mirrors that start at the same time, and mirrorRetryPause is the wait between two requests to one, in milliseconds.
	mirrorStartTimeout clock.Millis = 1500
	mirrorRetryPause   clock.Millis = 100
	// mirrorWatchTimeout is how long a mirror may wait for a change, in milliseconds. It bounds the time until a stopped mirror is noticed.
	mirrorWatchTimeout clock.Millis = 1000
	// roleSettleTime is how long after its start a daemon may still learn that it reads the store for others: twice the wait for the second list of daemons.
	roleSettleTime = 2 * secondPeerListDelay
	// briefDivisor divides the usual time-out for the watches of a mirror. Their wait adds to that of its clients, whose results must stay recent enough.
	briefDivisor = 3
	// maxAgeSlack is how much older than two watches of a mirror its result may be, in milliseconds, before the store is read directly.
	maxAgeSlack clock.Millis = 400
)

// follower lists all objects under a prefix and then follows their changes.
type follower struct {
	d     *Daemon
	store *store.Store
	// brief is the store with watches that are shorter by briefDivisor, for a daemon that also reads for others.
	brief *store.Store
	// quick is the store with watches that return at once.
	quick *store.Store
	// stale is the store with lists that may be seconds old and cost little.
	stale  *store.Store
	prefix store.Key
	// auditRequested is set when the known objects have to be compared with a new list.
	auditRequested atomic.Bool
	// batchPause is the wait after changes.
	batchPause clock.Millis
	// maxAge is the maximum age of a mirror's result.
	maxAge clock.Millis
	// cache holds what was read, for other daemons.
	cache *mirror.Cache
	// apply handles each update.
	apply func(ctx context.Context, u update)
	// available is true while calls succeed. retryDelay is the delay after the last failure.
	available  bool
	retryDelay clock.Millis
	// syncedAt is when the last successful read was requested from the store; 0 before the first one.
	syncedAt clock.Millis
	// firstRequestAt is when a mirror was first asked; 0 before.
	firstRequestAt clock.Millis
	// version is the version up to which changes have been applied; 0 before the first read.
	version store.Version
}

// update is what one call read.
type update struct {
	objects []store.Object
	// full is true when objects are all that exist, and restored when they come from a store that was restored from a copy since the last update.
	full     bool
	restored bool
	// since is the earliest time at which the changes may have occurred; 0 when that is unknown.
	since clock.Millis
}

// run follows the objects until ctx ends.
func (f *follower) run(ctx context.Context) {
	// Version 0 requests all objects.
	from := store.Version(0)
	for ctx.Err() == nil {
		if from > 0 && f.available && f.auditRequested.Swap(false) {
			f.audit(ctx, from)
		}
		requestedAt := f.d.clk.Now()
		r, err := f.fetch(ctx, from)
		if errors.Is(err, store.ErrHistoryGone) {
			f.d.log.Info("store history expired, listing again", zap.String("prefix", string(f.prefix)), zap.Stringer("from", from))
			from = 0
			continue
		}
		if !f.handleResult(ctx, from, &r, requestedAt, err) {
			continue
		}
		from = r.Version
		f.process(ctx, &r, requestedAt)
		if !r.Full && len(r.Objects) > 0 {
			_ = f.d.clk.Sleep(ctx, f.batchPause) // the loop checks ctx
		}
	}
}

// process applies the result of a call made at requestedAt, and caches it for other daemons.
func (f *follower) process(ctx context.Context, r *mirror.Result, requestedAt clock.Millis) {
	r.Objects = lastChanges(r.Objects)
	for i := range r.Objects {
		if o := &r.Objects[i]; o.Key == platform.ConfigKey && !o.Deleted {
			o.Value = platform.WithoutKeys(o.Value)
		}
	}
	// The last read held all changes that the store had acknowledged when it was requested. When this one arrived says nothing, as a
	// suspension of the daemon, a slow link or a slow store may have delayed it.
	u := update{objects: r.Objects, full: r.Full, since: f.syncedAt}
	u.restored = f.version > 0 && r.Version.Era() > f.version.Era()
	f.version = max(f.version, r.Version)
	f.syncedAt = max(f.syncedAt, requestedAt-r.Age)
	f.cache.Apply(r, f.syncedAt)
	if f.prefix == platform.ConfigPrefix {
		f.d.configSyncedAt.Store(int64(f.syncedAt))
	}
	if r.Full || len(r.Objects) > 0 {
		f.apply(ctx, u)
	}
}

// audit lists the objects and applies the list, unless the list is older than version from or of another era, from which the next watch lists again.
func (f *follower) audit(ctx context.Context, from store.Version) {
	objects, version, err := f.stale.List(ctx, f.prefix)
	f.d.log.Info("store audit ended", zap.String("prefix", string(f.prefix)), zap.Int("objects", len(objects)), zap.Stringer("version", version), zap.Stringer("from", from), zap.Error(err))
	if err != nil || version < from || version.Era() != from.Era() {
		return // the control loop requests another audit
	}
	// The list is at least as new as the last read. The result keeps version from, so that all changes since are read again.
	f.process(ctx, &mirror.Result{Objects: objects, Version: from, Full: true, Age: f.d.clk.Now() - f.syncedAt}, f.d.clk.Now())
}

// lastChanges returns the last change of each object, so that the order in which changes are applied does not matter.
func lastChanges(objects []store.Object) []store.Object {
	last := make(map[store.Key]int, len(objects))
	for i := range objects {
		last[objects[i].Key] = i
	}
	if len(last) == len(objects) {
		return objects
	}
	latest := make([]store.Object, 0, len(last))
	for i := range objects {
		if last[objects[i].Key] == i {
			latest = append(latest, objects[i])
		}
	}
	return latest
}

// list reads all objects.
//
// A list that may be seconds old suffices for daemons that start together with many others. It costs little, and a mirror reports newer changes at once.
func (f *follower) list(ctx context.Context, source *store.Store) (mirror.Result, error) {
	if f.syncedAt == 0 && f.d.startsWithFleet(ctx) {
		objects, version, err := f.stale.List(ctx, f.prefix)
		// The age of this list is unknown, so it counts as read at time 0.
		return mirror.Result{Objects: objects, Version: version, Full: true, Age: f.d.clk.Now()}, err
	}
	objects, version, err := source.List(ctx, f.prefix)
	return mirror.Result{Objects: objects, Version: version, Full: true}, err
}

// readMirror reads from a mirror, with retries while a mirror that has just started may hold nothing yet.
func (f *follower) readMirror(ctx context.Context, m *placement.Peer, from store.Version) (mirror.Result, error) {
	if f.firstRequestAt == 0 {
		f.firstRequestAt = f.d.clk.Now()
	}
	for {
		r, err := f.d.mirrors.Read(ctx, m.MirrorAddress, f.prefix, from, mirrorWatchTimeout)
		if err == nil && r.Age > f.maxAge {
			err = errMirrorStale
		}
		if err == nil || f.d.clk.Now() >= f.firstRequestAt+mirrorStartTimeout || f.d.clk.Sleep(ctx, mirrorRetryPause) != nil {
			return r, err
		}
	}
}

var errMirrorStale = errors.New("mirror result is too old")

// fetch reads the changes after version from, through a mirror if there is one, or else from the store.
func (f *follower) fetch(ctx context.Context, from store.Version) (mirror.Result, error) {
	if from > 0 && !f.available {
		// A long watch would report the return of the store only at its end.
		objects, version, err := f.quick.Watch(ctx, f.prefix, from)
		return mirror.Result{Objects: objects, Version: version}, err
	}
	for from > 0 && f.syncedAt == 0 && f.d.isFirstFleetStart() {
		if err := f.d.clk.Sleep(ctx, mirrorRetryPause); err != nil {
			return mirror.Result{}, err
		}
	}
	source := f.store
	m, role := f.d.mirrorRole()
	if from == 0 {
		// A mirror may have lost the same history.
		role = placement.Standalone
	}
	switch role {
	case placement.MirrorClient:
		r, err := f.readMirror(ctx, &m, from)
		if err == nil {
			return r, nil
		}
		f.d.log.Warn("mirror read failed, reading from store", zap.String("mirror", string(m.ID)), zap.String("prefix", string(f.prefix)), zap.Int64("age-ms", int64(r.Age)), zap.Error(err))
		f.d.peers.backOffMirror(m.ID, f.d.clk.Now()+peerBackoff)
		// Other daemons may read from this one by now.
		source = f.brief
	case placement.RootMirror:
		source = f.brief
	case placement.Standalone:
		if f.d.clk.Now() < f.d.startedAt+roleSettleTime {
			source = f.brief
		}
	}
	if from == 0 {
		return f.list(ctx, source)
	}
	objects, version, err := source.Watch(ctx, f.prefix, from)
	return mirror.Result{Objects: objects, Version: version}, err
}

// handleResult reports whether the call that was made at requestedAt for the changes after version from succeeded, and waits after a failure. The wait counts from the call on, so that a call that hung hardly delays the next.
func (f *follower) handleResult(ctx context.Context, from store.Version, r *mirror.Result, requestedAt clock.Millis, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		f.retryDelay = 0
		if !f.available {
			f.available = true
			f.d.log.Info("store available", zap.String("prefix", string(f.prefix)), zap.Stringer("from", from), zap.Stringer("version", r.Version), zap.Int("objects", len(r.Objects)), zap.Bool("listed", r.Full))
			f.d.setStoreUp(ctx, f.prefix, true)
		}
		return true
	}
	if f.available {
		f.available = false
		f.d.log.Warn("store unavailable", zap.String("prefix", string(f.prefix)), zap.Error(err))
		f.d.setStoreUp(ctx, f.prefix, false)
	}
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	wait := f.retryDelay/2 + clock.Millis(rand.Int64N(int64(f.retryDelay)))
	// Daemons whose calls hung until the same moment must not call again at the same moment.
	jitter := clock.Millis(rand.Int64N(int64(f.retryDelay / jitterDivisor)))
	_ = f.d.clk.Sleep(ctx, max(requestedAt+wait-f.d.clk.Now(), jitter)) // the caller checks ctx
	return false
}

// setStoreUp records whether the targets' entries can be read.
func (d *Daemon) setStoreUp(ctx context.Context, prefix store.Key, up bool) {
	if prefix != platform.TargetsPrefix {
		return
	}
	d.storeUp.Store(up)
	d.storeSince.Store(0)
	if up {
		now := d.clk.Now()
		d.storeSince.Store(int64(now))
		d.terms.beginEra(now, false)
	}
	d.control.send(ctx, storeState{up: up})
}

// failoverSince returns the time since which a primary could be replaced, if statements are to wait for that; 0 otherwise.
func (d *Daemon) failoverSince() clock.Millis {
	if !d.set.graded() {
		return 0
	}
	return clock.Millis(d.storeSince.Load())
}

func (d *Daemon) followConfig(ctx context.Context) {
	d.newFollower("config", platform.ConfigPrefix, d.set.configWatchTimeout(), configBatchPause, d.applyConfig).run(ctx)
}

func (d *Daemon) newFollower(purpose string, prefix store.Key, watchTimeout, batchPause clock.Millis, apply func(context.Context, update)) *follower {
	return &follower{
		d: d, store: d.dialStore(purpose, watchTimeout, false), brief: d.dialStore(purpose+"-brief", watchTimeout/briefDivisor, false), quick: d.dialStore(purpose+"-quick", 0, false), stale: d.dialStore(purpose+"-stale", 0, true), prefix: prefix, batchPause: batchPause,
		maxAge: 2*watchTimeout/briefDivisor + maxAgeSlack, cache: d.caches[prefix], apply: apply,
	}
}

func (d *Daemon) applyConfig(ctx context.Context, u update) {
	for _, o := range u.objects {
		if o.Key != platform.ConfigKey || o.Deleted {
			continue
		}
		cfg, err := platform.ParseConfig(o.Value)
		if err != nil {
			d.warn("stored configuration is malformed", err)
			continue
		}
		d.control.send(ctx, configUpdate{config: cfg})
	}
}

func (d *Daemon) followTargets(ctx context.Context) {
	f := d.newFollower("entries", platform.TargetsPrefix, d.set.entriesWatchTimeout(), entriesBatchPause, d.applyTargets)
	d.entries.Store(f)
	f.run(ctx)
}

func (d *Daemon) applyTargets(ctx context.Context, u update) {
	m := entriesUpdate{full: u.full, restored: u.restored, since: u.since}
	for _, o := range u.objects {
		t, err := platform.ParseTarget(o)
		if err != nil {
			d.warn("stored target entry is malformed", err)
		}
		if o.Deleted || err != nil {
			m.removed = append(m.removed, group.TargetID(o.Key[len(platform.TargetsPrefix):]))
			continue
		}
		m.entries = append(m.entries, t)
	}
	d.control.send(ctx, m)
}
