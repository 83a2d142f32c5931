package config

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// allKeys is the prefix of all keys. A single watch covers groups and services.
const allKeys platform.Key = ""

// Run keeps the objects up to date until ctx ends, and returns the error of ctx.
func (h *Holder) Run(ctx context.Context) error {
	var work sync.WaitGroup
	defer work.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	work.Go(func() { h.notifyPeers(ctx) })
	work.Go(func() { h.fetchInitial(ctx) })
	h.delayStart(ctx)
	w := watch{h: h}
	for ctx.Err() == nil {
		w.step(ctx)
	}
	return fmt.Errorf("configuration of %s: %w", h.cfg.ID, ctx.Err())
}

// notifyPeers informs the peers of each change.
func (h *Holder) notifyPeers(ctx context.Context) {
	for {
		changed := h.Changed()
		select {
		case <-changed:
			h.deps.NotifyPeers(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// delayStart waits for a random part of MinBackoff if no peer is known yet, so that daemons that start together do not all call the platform
// at once.
func (h *Holder) delayStart(ctx context.Context) {
	if len(h.deps.Live()) == 0 {
		_ = h.clk.Sleep(ctx, clock.Millis(h.deps.Jitter()*float64(h.cfg.MinBackoff)))
	}
}

// fetchInitial fetches objects from peers until one is in force, so that the daemon can start while the platform is unavailable.
func (h *Holder) fetchInitial(ctx context.Context) {
	for n := 0; h.Snapshot().Version() == 0; n++ {
		objects, err := h.deps.FetchFromPeers(ctx)
		if err == nil {
			h.Apply(objects)
		}
		if h.clk.Sleep(ctx, h.backoff(n)) != nil {
			return
		}
	}
}

// Watches reports whether this daemon is one of the Watchers daemons of its data centre that watch the platform.
func (h *Holder) Watches() bool {
	ids := []group.DaemonID{h.cfg.ID}
	for _, m := range h.deps.Live() {
		if m.DataCentre == h.cfg.DataCentre {
			ids = append(ids, m.ID)
		}
	}
	key := "watch/" + string(h.cfg.DataCentre)
	return slices.Contains(peer.Rendezvous(key, ids, h.cfg.Watchers), h.cfg.ID)
}

// backoff returns the backoff before the attempt that follows n+1 consecutive failures: MinBackoff doubled n times and limited by
// MaxBackoff, with jitter over its upper half.
func (h *Holder) backoff(n int) clock.Millis {
	limit := h.cfg.MinBackoff << min(n, 16)
	limit = min(limit, h.cfg.MaxBackoff)
	half := limit / 2
	return half + clock.Millis(h.deps.Jitter()*float64(limit-half))
}

// watch is the state of this daemon's watch of the platform.
type watch struct {
	h *Holder
	// resumeVersion is the version of the store from which the next watch continues. It is valid only if listed is true.
	resumeVersion platform.Version
	listed        bool
	// failures counts the consecutive failed calls.
	failures int
}

// step makes one call to the platform and backs off if it fails. A daemon that does not have to watch waits for RecheckInterval instead.
func (w *watch) step(ctx context.Context) {
	if !w.h.Watches() {
		w.listed = false
		_ = w.h.clk.Sleep(ctx, w.h.cfg.RecheckInterval)
		return
	}
	err := w.call(ctx)
	if err == nil {
		w.failures = 0
		return
	}
	if !errors.Is(err, ErrBudget) {
		// A later watch may miss changes made in the meantime, so the next call lists all objects.
		w.listed = false
	}
	wait := w.h.backoff(w.failures)
	w.failures++
	_ = w.h.clk.Sleep(ctx, wait)
}

// call lists all objects or waits for the next change, if the budget allows a call.
func (w *watch) call(ctx context.Context) error {
	if err := w.h.budget.takeToken(); err != nil {
		return err
	}
	if !w.listed {
		return w.list(ctx)
	}
	objects, version, err := w.h.deps.Store.Watch(ctx, allKeys, w.resumeVersion)
	if err != nil {
		return fmt.Errorf("watch platform: %w", err)
	}
	w.h.Apply(objects)
	if version < w.resumeVersion {
		return fmt.Errorf("watch platform: %w", ErrStoreBehind)
	}
	w.resumeVersion = version
	return nil
}

// list applies all objects of the store. A store older than the objects in force is reported, and newer objects in it still apply.
func (w *watch) list(ctx context.Context) error {
	objects, version, err := w.h.deps.Store.List(ctx, allKeys)
	if err != nil {
		return fmt.Errorf("list platform: %w", err)
	}
	if version < w.h.Snapshot().Version() {
		w.h.deps.Report(allKeys, version, ErrStoreBehind)
	}
	w.h.Apply(objects)
	w.resumeVersion = version
	w.listed = true
	return nil
}
