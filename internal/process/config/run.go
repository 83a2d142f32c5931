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

// everything is the prefix of all keys: one watch serves groups and services.
const everything platform.Key = ""

// Run keeps the objects up to date until ctx ends; it returns the error of ctx.
func (h *Holder) Run(ctx context.Context) error {
	var work sync.WaitGroup
	defer work.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	work.Go(func() { h.spread(ctx) })
	work.Go(func() { h.start(ctx) })
	h.settle(ctx)
	w := watch{h: h}
	for ctx.Err() == nil {
		w.step(ctx)
	}
	return fmt.Errorf("configuration of %s: %w", h.cfg.ID, ctx.Err())
}

// spread tells the peers of each change.
func (h *Holder) spread(ctx context.Context) {
	for {
		changed := h.Changed()
		select {
		case <-changed:
			h.seams.Spread(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// settle gives the peers a moment to be known, so that daemons started together do not all ask the platform at once.
func (h *Holder) settle(ctx context.Context) {
	if len(h.seams.Live()) == 0 {
		_ = h.clk.Sleep(ctx, clock.Millis(h.seams.Jitter()*float64(h.cfg.Backoff)))
	}
}

// start asks peers until something is held, so that the daemon starts without the platform.
func (h *Holder) start(ctx context.Context) {
	for n := 0; h.Snapshot().Version() == 0; n++ {
		objects, err := h.seams.FetchFromPeers(ctx)
		if err == nil {
			h.Apply(objects)
		}
		if h.clk.Sleep(ctx, h.delay(n)) != nil {
			return
		}
	}
}

// Watches reports whether this daemon is one of those of its data centre that watch the platform.
func (h *Holder) Watches() bool {
	ids := []group.DaemonID{h.cfg.ID}
	for _, m := range h.seams.Live() {
		if m.DataCentre == h.cfg.DataCentre {
			ids = append(ids, m.ID)
		}
	}
	key := "watch/" + string(h.cfg.DataCentre)
	return slices.Contains(peer.Rendezvous(key, ids, h.cfg.Watchers), h.cfg.ID)
}

// delay is the wait before the attempt that follows n failed ones in a row.
func (h *Holder) delay(n int) clock.Millis {
	longest := h.cfg.Backoff << min(n, 16)
	longest = min(longest, h.cfg.MaxBackoff)
	half := longest / 2
	return half + clock.Millis(h.seams.Jitter()*float64(longest-half))
}

// watch is where this daemon stands in following the platform.
type watch struct {
	h *Holder
	// from is the store's version to go on from; it counts only once listed.
	from   platform.Version
	listed bool
	// failures counts the failed calls in a row.
	failures int
}

// step makes one call to the platform, or waits when another daemon watches.
func (w *watch) step(ctx context.Context) {
	if !w.h.Watches() {
		w.listed = false
		_ = w.h.clk.Sleep(ctx, w.h.cfg.Recheck)
		return
	}
	err := w.call(ctx)
	if err == nil {
		w.failures = 0
		return
	}
	if !errors.Is(err, ErrBudget) {
		// What changed meanwhile may be missed by a later watch.
		w.listed = false
	}
	wait := w.h.delay(w.failures)
	w.failures++
	_ = w.h.clk.Sleep(ctx, wait)
}

func (w *watch) call(ctx context.Context) error {
	if err := w.h.budget.take(); err != nil {
		return err
	}
	if !w.listed {
		return w.list(ctx)
	}
	objects, version, err := w.h.seams.Store.Watch(ctx, everything, w.from)
	if err != nil {
		return fmt.Errorf("watch platform: %w", err)
	}
	w.h.Apply(objects)
	if version < w.from {
		return fmt.Errorf("watch platform: %w", ErrStoreBehind)
	}
	w.from = version
	return nil
}

func (w *watch) list(ctx context.Context) error {
	objects, version, err := w.h.seams.Store.List(ctx, everything)
	if err != nil {
		return fmt.Errorf("list platform: %w", err)
	}
	if version < w.h.Snapshot().Version() {
		w.h.seams.Report(everything, version, ErrStoreBehind)
	}
	w.h.Apply(objects)
	w.from = version
	w.listed = true
	return nil
}
