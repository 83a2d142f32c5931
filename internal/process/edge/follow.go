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
	// firstRetry is the wait before the store is asked again after a failure, in milliseconds; it doubles up to lastRetry.
	firstRetry clock.Millis = 100
	lastRetry  clock.Millis = 1000
	// configPause and entriesPause are the waits behind changes, in milliseconds, so that several come with one call.
	configPause  clock.Millis = 150
	entriesPause clock.Millis = 100
	// mirrorStart is for how long after its first question a daemon waits for mirrors that start with it, and mirrorPause the time between two questions to one, in milliseconds.
	mirrorStart clock.Millis = 1500
	mirrorPause clock.Millis = 100
	// mirrorWait is how long a mirror may wait for a change, in milliseconds: by then one that has stopped is noticed.
	mirrorWait clock.Millis = 1000
	// settleTime is for how long after its start a daemon may yet learn that it reads for others: twice the wait for the second list of daemons.
	settleTime = 2 * secondPeers
	// briefPart is the part of the usual wait, one in so many, that the watches of a mirror take, so that what it tells is young enough although they come on top.
	briefPart = 3
	// oldestSlack is how much older than two watches of a mirror what it tells may be, in milliseconds, before the store is asked itself.
	oldestSlack clock.Millis = 400
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
	// doubted is set when what is believed of the objects had better be read anew.
	doubted atomic.Bool
	// pause is the wait behind changes.
	pause clock.Millis
	// oldest is how old what a mirror tells may be.
	oldest clock.Millis
	// copy is what other daemons read.
	copy *mirror.Copy
	// apply takes what was read.
	apply func(ctx context.Context, r read)
	up    bool
	wait  clock.Millis
	// synced is when the last read that succeeded was asked of the store; 0 before the first one.
	synced clock.Millis
	// askedFirst is when a mirror was first asked; 0 before.
	askedFirst clock.Millis
	// gap is true while changes may have come that no watch has told.
	gap bool
}

// read is what one call has brought.
type read struct {
	objects []store.Object
	// whole is true when the objects are all there are.
	whole bool
	// since is after when the changes came; 0 when that is not known.
	since clock.Millis
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	// From 0 on everything is read.
	from := store.Version(0)
	for ctx.Err() == nil {
		if from > 0 && f.up && f.doubted.Swap(false) {
			f.audit(ctx, from)
		}
		asked := f.d.clk.Now()
		a, err := f.fetch(ctx, from)
		if errors.Is(err, store.ErrHistoryGone) {
			f.d.log.Info("history is gone", zap.String("prefix", string(f.prefix)), zap.Uint64("from", uint64(from)))
			from, f.gap = 0, true
			continue
		}
		if !f.noted(ctx, err) {
			f.gap = true
			continue
		}
		from = a.Version
		f.take(ctx, &a, asked)
		if !a.Whole && len(a.Objects) > 0 {
			_ = f.d.clk.Sleep(ctx, f.pause) // the end of ctx is seen by the loop
		}
	}
}

// take applies what was read by a call made at that time, and keeps it for other daemons.
func (f *follower) take(ctx context.Context, a *mirror.Answer, asked clock.Millis) {
	a.Objects = lastChanges(a.Objects)
	r := read{objects: a.Objects, whole: a.Whole, since: f.d.clk.Now()}
	if a.Mirrored {
		r.since = asked - a.Age
	}
	if a.Whole || f.gap {
		r.since = f.synced
	}
	f.synced, f.gap = max(f.synced, asked-a.Age), false
	f.copy.Take(a, f.synced)
	if a.Whole || len(a.Objects) > 0 {
		f.apply(ctx, r)
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
	f.take(ctx, &mirror.Answer{Objects: objects, Version: from, Whole: true, Age: f.d.clk.Now() - f.synced}, f.d.clk.Now())
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
	kept := make([]store.Object, 0, len(last))
	for i := range objects {
		if last[objects[i].Key] == i {
			kept = append(kept, objects[i])
		}
	}
	return kept
}

// first reads all objects.
//
// A list that may be seconds old is enough for daemons that start with many others: it costs little, and a mirror tells at once what has come since.
func (f *follower) first(ctx context.Context, source *store.Store) (mirror.Answer, error) {
	if f.synced == 0 && f.d.startsWithMany(ctx) {
		objects, version, err := f.stale.List(ctx, f.prefix)
		// How old it is nobody knows.
		return mirror.Answer{Objects: objects, Version: version, Whole: true, Age: f.d.clk.Now()}, err
	}
	objects, version, err := source.List(ctx, f.prefix)
	return mirror.Answer{Objects: objects, Version: version, Whole: true}, err
}

// ask asks a mirror; one that has only just started may have nothing yet.
func (f *follower) ask(ctx context.Context, m *placement.Peer, from store.Version) (mirror.Answer, error) {
	if f.askedFirst == 0 {
		f.askedFirst = f.d.clk.Now()
	}
	for {
		a, err := f.d.mirrors.Read(ctx, m.Mirror, f.prefix, from, mirrorWait)
		if err == nil && a.Age > f.oldest {
			err = errMirrorLate
		}
		if err == nil || f.d.clk.Now() >= f.askedFirst+mirrorStart || f.d.clk.Sleep(ctx, mirrorPause) != nil {
			return a, err
		}
	}
}

var errMirrorLate = errors.New("mirror tells only what is old")

// fetch reads what has changed past from, by a mirror where there is one, or else from the store.
func (f *follower) fetch(ctx context.Context, from store.Version) (mirror.Answer, error) {
	if from > 0 && !f.up {
		// A long watch would tell only at its end that the store is back.
		objects, version, err := f.quick.Watch(ctx, f.prefix, from)
		return mirror.Answer{Objects: objects, Version: version}, err
	}
	for from > 0 && f.synced == 0 && f.d.fleetStarts() {
		if err := f.d.clk.Sleep(ctx, mirrorPause); err != nil {
			return mirror.Answer{}, err
		}
	}
	source := f.store
	m, role := f.d.mirror()
	if from == 0 {
		// A mirror may have lost the same history.
		role = placement.Alone
	}
	switch role {
	case placement.ByMirror:
		a, err := f.ask(ctx, &m, from)
		if err == nil {
			return a, nil
		}
		f.d.log.Warn("mirror does not serve", zap.String("mirror", string(m.ID)), zap.String("prefix", string(f.prefix)), zap.Int64("age-ms", int64(a.Age)), zap.Error(err))
		f.d.peers.restMirror(m.ID, f.d.clk.Now()+peerRest)
		// Others may ask this daemon by now.
		source = f.brief
	case placement.ForOthers:
		source = f.brief
	case placement.Alone:
		if f.d.clk.Now() < f.d.startedAt+settleTime {
			source = f.brief
		}
	}
	if from == 0 {
		return f.first(ctx, source)
	}
	objects, version, err := source.Watch(ctx, f.prefix, from)
	return mirror.Answer{Objects: objects, Version: version}, err
}

// noted reports whether the call succeeded, and waits after a failure.
func (f *follower) noted(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		f.wait = 0
		if !f.up {
			f.up = true
			f.d.log.Info("store follows", zap.String("prefix", string(f.prefix)))
			f.d.storeChanged(ctx, f.prefix, true)
		}
		return true
	}
	if f.up {
		f.up = false
		f.d.log.Warn("store lost", zap.String("prefix", string(f.prefix)), zap.Error(err))
		f.d.storeChanged(ctx, f.prefix, false)
	}
	f.wait = min(max(2*f.wait, firstRetry), lastRetry)
	_ = f.d.clk.Sleep(ctx, f.wait/2+clock.Millis(rand.Int64N(int64(f.wait)))) // the end of ctx is seen by the caller
	return false
}

// storeChanged notes that the targets' entries are followed again, or no longer.
func (d *Daemon) storeChanged(ctx context.Context, prefix store.Key, up bool) {
	if prefix != platform.TargetsPrefix {
		return
	}
	d.storeUp.Store(up)
	d.control.send(ctx, storeSeen{up: up})
}

func (d *Daemon) followConfig(ctx context.Context) {
	d.follower("config", platform.ConfigPrefix, d.set.configWait(), configPause, d.applyConfig).run(ctx)
}

func (d *Daemon) follower(purpose string, prefix store.Key, wait, pause clock.Millis, apply func(context.Context, read)) *follower {
	return &follower{
		d: d, store: d.dialStore(purpose, wait, false), brief: d.dialStore(purpose+"-brief", wait/briefPart, false), quick: d.dialStore(purpose+"-quick", 0, false), stale: d.dialStore(purpose+"-stale", 0, true), prefix: prefix, pause: pause,
		oldest: 2*wait/briefPart + oldestSlack, copy: d.copies[prefix], apply: apply,
	}
}

func (d *Daemon) applyConfig(ctx context.Context, r read) {
	for _, o := range r.objects {
		if o.Key != platform.ConfigKey || o.Deleted {
			continue
		}
		cfg, err := platform.ParseConfig(o.Value)
		if err != nil {
			d.warn("configuration in the store", err)
			continue
		}
		d.control.send(ctx, configRead{config: cfg})
	}
}

func (d *Daemon) followTargets(ctx context.Context) {
	f := d.follower("entries", platform.TargetsPrefix, d.set.entriesWait(), entriesPause, d.applyTargets)
	d.entries.Store(f)
	f.run(ctx)
}

func (d *Daemon) applyTargets(ctx context.Context, r read) {
	m := entriesRead{whole: r.whole, since: r.since}
	for _, o := range r.objects {
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
