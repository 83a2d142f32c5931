package edge

import (
	"context"
	"errors"
	"math/rand/v2"

	"go.uber.org/zap"

	store "github.com/cactusfork/cactusfork/internal/process/platform"
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
)

// follower reads all objects under a prefix and then their changes.
type follower struct {
	d      *Daemon
	store  *store.Store
	prefix store.Key
	// pause is the wait behind changes.
	pause clock.Millis
	apply func(ctx context.Context, r read)
	up    bool
	wait  clock.Millis
	// synced is when the last call that succeeded was made; 0 before the first one.
	synced clock.Millis
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
	for ctx.Err() == nil {
		asked := f.d.clk.Now()
		objects, from, err := f.store.List(ctx, f.prefix)
		if !f.noted(ctx, err) {
			continue
		}
		f.apply(ctx, read{objects: objects, whole: true, since: f.synced})
		f.synced, f.gap = asked, false
		f.watch(ctx, from)
	}
}

// watch applies changes until the history that it needs is gone.
func (f *follower) watch(ctx context.Context, from store.Version) {
	for ctx.Err() == nil {
		asked := f.d.clk.Now()
		objects, next, err := f.store.Watch(ctx, f.prefix, from)
		if errors.Is(err, store.ErrHistoryGone) {
			f.d.log.Info("history is gone", zap.String("prefix", string(f.prefix)), zap.Uint64("from", uint64(from)))
			return
		}
		if !f.noted(ctx, err) {
			f.gap = true
			continue
		}
		from = next
		since := f.d.clk.Now()
		if f.gap {
			since = f.synced
		}
		f.synced, f.gap = asked, false
		if len(objects) == 0 {
			continue
		}
		f.apply(ctx, read{objects: objects, since: since})
		_ = f.d.clk.Sleep(ctx, f.pause) // the end of ctx is seen by the loop
	}
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
	f := follower{d: d, store: d.dialStore(d.set.configWait(), false), prefix: platform.ConfigPrefix, pause: configPause, apply: d.applyConfig}
	f.run(ctx)
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
	f := follower{d: d, store: d.dialStore(d.set.entriesWait(), false), prefix: platform.TargetsPrefix, pause: entriesPause, apply: d.applyTargets}
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
