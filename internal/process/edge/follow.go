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
	// minRetryDelay is the wait before the store is asked again after a failure, in milliseconds; it doubles up to maxRetryDelay.
	minRetryDelay clock.Millis = 100
	maxRetryDelay clock.Millis = 1000
	// configBatchPause and entriesBatchPause are the waits behind changes, in milliseconds, so that several come with one call.
	configBatchPause  clock.Millis = 150
	entriesBatchPause clock.Millis = 100
	// mirrorStartTimeout is for how long after its first question a daemon waits for mirrors that start with it, and mirrorRetryPause the time between two questions to one, in milliseconds.
	mirrorStartTimeout clock.Millis = 1500
	mirrorRetryPause   clock.Millis = 100
	// mirrorWatchTimeout is how long a mirror may wait for a change, in milliseconds: by then one that has stopped is noticed.
	mirrorWatchTimeout clock.Millis = 1000
	// roleSettleTime is for how long after its start a daemon may yet learn that it reads for others: twice the wait for the second list of daemons.
	roleSettleTime = 2 * secondPeerListDelay
	// briefDivisor is the part of the usual wait, one in so many, that the watches of a mirror take, so that what it tells is young enough although they come on top.
	briefDivisor = 3
	// maxAgeSlack is how much older than two watches of a mirror what it tells may be, in milliseconds, before the store is asked itself.
	maxAgeSlack clock.Millis = 400
)

// follower reads all objects under a prefix and then their changes.
type follower struct {
	d     *Daemon
	store *store.Store
	// brief is the store with watches that wait for a part of that, for a daemon that reads for others too.
	brief *store.Store
	// quick is the store with watches that do not wait.
	quick *store.Store
	// stale is the store with lists that may be seconds old, which cost little.
	stale  *store.Store
	prefix store.Key
	// auditRequested is set when what is believed of the objects had better be read anew.
	auditRequested atomic.Bool
	// batchPause is the wait behind changes.
	batchPause clock.Millis
	// maxAge is how old what a mirror tells may be.
	maxAge clock.Millis
	// cache is what other daemons read.
	cache *mirror.Copy
	// apply takes what was read.
	apply      func(ctx context.Context, r update)
	available  bool
	retryDelay clock.Millis
	// syncedAt is when the last read that succeeded was asked of the store; 0 before the first one.
	syncedAt clock.Millis
	// firstRequestAt is when a mirror was first asked; 0 before.
	firstRequestAt clock.Millis
	// gap is true while changes may have come that no watch has told.
	gap bool
}

// update is what one call has brought.
type update struct {
	objects []store.Object
	// full is true when the objects are all there are.
	full bool
	// since is after when the changes came; 0 when that is not known.
	since clock.Millis
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	// From 0 on everything is read.
	from := store.Version(0)
	for ctx.Err() == nil {
		if from > 0 && f.available && f.auditRequested.Swap(false) {
			f.audit(ctx, from)
		}
		requestedAt := f.d.clk.Now()
		r, err := f.fetch(ctx, from)
		if errors.Is(err, store.ErrHistoryGone) {
			f.d.log.Info("history is gone", zap.String("prefix", string(f.prefix)), zap.Uint64("from", uint64(from)))
			from, f.gap = 0, true
			continue
		}
		if !f.handleResult(ctx, err) {
			f.gap = true
			continue
		}
		from = r.Version
		f.process(ctx, &r, requestedAt)
		if !r.Whole && len(r.Objects) > 0 {
			_ = f.d.clk.Sleep(ctx, f.batchPause) // the end of ctx is seen by the loop
		}
	}
}

// process applies what was read by a call made at that time, and keeps it for other daemons.
func (f *follower) process(ctx context.Context, r *mirror.Answer, requestedAt clock.Millis) {
	r.Objects = lastChanges(r.Objects)
	u := update{objects: r.Objects, full: r.Whole, since: f.d.clk.Now()}
	if r.Mirrored {
		u.since = requestedAt - r.Age
	}
	if r.Whole || f.gap {
		u.since = f.syncedAt
	}
	f.syncedAt, f.gap = max(f.syncedAt, requestedAt-r.Age), false
	f.cache.Take(r, f.syncedAt)
	if r.Whole || len(r.Objects) > 0 {
		f.apply(ctx, u)
	}
}

// audit replaces what is believed by a list, unless that is older than what was read up to from.
func (f *follower) audit(ctx context.Context, from store.Version) {
	objects, version, err := f.stale.List(ctx, f.prefix)
	f.d.log.Info("audit", zap.String("prefix", string(f.prefix)), zap.Int("objects", len(objects)), zap.Uint64("version", uint64(version)), zap.Uint64("from", uint64(from)), zap.Error(err))
	if err != nil || version < from {
		return // the doubt comes again
	}
	// The list is at least as new as the last read, and from that point on the changes are read again.
	f.process(ctx, &mirror.Answer{Objects: objects, Version: from, Whole: true, Age: f.d.clk.Now() - f.syncedAt}, f.d.clk.Now())
}

// lastChanges keeps the last change of each object, so that it does not matter in which order they are applied.
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
// A list that may be seconds old is enough for daemons that start with many others: it costs little, and a mirror tells at once what has come since.
func (f *follower) list(ctx context.Context, source *store.Store) (mirror.Answer, error) {
	if f.syncedAt == 0 && f.d.startsWithFleet(ctx) {
		objects, version, err := f.stale.List(ctx, f.prefix)
		// How old it is nobody knows.
		return mirror.Answer{Objects: objects, Version: version, Whole: true, Age: f.d.clk.Now()}, err
	}
	objects, version, err := source.List(ctx, f.prefix)
	return mirror.Answer{Objects: objects, Version: version, Whole: true}, err
}

// readMirror asks a mirror; one that has only just started may have nothing yet.
func (f *follower) readMirror(ctx context.Context, m *placement.Peer, from store.Version) (mirror.Answer, error) {
	if f.firstRequestAt == 0 {
		f.firstRequestAt = f.d.clk.Now()
	}
	for {
		r, err := f.d.mirrors.Read(ctx, m.Mirror, f.prefix, from, mirrorWatchTimeout)
		if err == nil && r.Age > f.maxAge {
			err = errMirrorStale
		}
		if err == nil || f.d.clk.Now() >= f.firstRequestAt+mirrorStartTimeout || f.d.clk.Sleep(ctx, mirrorRetryPause) != nil {
			return r, err
		}
	}
}

var errMirrorStale = errors.New("mirror tells only what is old")

// fetch reads what has changed past from, by a mirror where there is one, or else from the store.
func (f *follower) fetch(ctx context.Context, from store.Version) (mirror.Answer, error) {
	if from > 0 && !f.available {
		// A long watch would tell only at its end that the store is back.
		objects, version, err := f.quick.Watch(ctx, f.prefix, from)
		return mirror.Answer{Objects: objects, Version: version}, err
	}
	for from > 0 && f.syncedAt == 0 && f.d.isFirstFleetStart() {
		if err := f.d.clk.Sleep(ctx, mirrorRetryPause); err != nil {
			return mirror.Answer{}, err
		}
	}
	source := f.store
	m, role := f.d.mirrorRole()
	if from == 0 {
		// A mirror may have lost the same history.
		role = placement.Alone
	}
	switch role {
	case placement.ByMirror:
		r, err := f.readMirror(ctx, &m, from)
		if err == nil {
			return r, nil
		}
		f.d.log.Warn("mirror does not serve", zap.String("mirror", string(m.ID)), zap.String("prefix", string(f.prefix)), zap.Int64("age-ms", int64(r.Age)), zap.Error(err))
		f.d.peers.backOffMirror(m.ID, f.d.clk.Now()+peerBackoff)
		// Others may ask this daemon by now.
		source = f.brief
	case placement.ForOthers:
		source = f.brief
	case placement.Alone:
		if f.d.clk.Now() < f.d.startedAt+roleSettleTime {
			source = f.brief
		}
	}
	if from == 0 {
		return f.list(ctx, source)
	}
	objects, version, err := source.Watch(ctx, f.prefix, from)
	return mirror.Answer{Objects: objects, Version: version}, err
}

// handleResult reports whether the call succeeded, and waits after a failure.
func (f *follower) handleResult(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		f.retryDelay = 0
		if !f.available {
			f.available = true
			f.d.log.Info("store follows", zap.String("prefix", string(f.prefix)))
			f.d.setStoreUp(ctx, f.prefix, true)
		}
		return true
	}
	if f.available {
		f.available = false
		f.d.log.Warn("store lost", zap.String("prefix", string(f.prefix)), zap.Error(err))
		f.d.setStoreUp(ctx, f.prefix, false)
	}
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	_ = f.d.clk.Sleep(ctx, f.retryDelay/2+clock.Millis(rand.Int64N(int64(f.retryDelay)))) // the end of ctx is seen by the caller
	return false
}

// setStoreUp notes that the targets' entries are followed again, or no longer.
func (d *Daemon) setStoreUp(ctx context.Context, prefix store.Key, up bool) {
	if prefix != platform.TargetsPrefix {
		return
	}
	d.storeUp.Store(up)
	d.control.send(ctx, storeState{up: up})
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
			d.warn("configuration in the store", err)
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
	m := entriesUpdate{full: u.full, since: u.since}
	for _, o := range u.objects {
		t, err := platform.ParseTarget(o)
		if err != nil {
			d.warn("entry in the store", err)
		}
		if o.Deleted || err != nil {
			m.removed = append(m.removed, group.TargetID(o.Key[len(platform.TargetsPrefix):]))
			continue
		}
		m.entries = append(m.entries, t)
	}
	d.control.send(ctx, m)
}
