package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/promotion"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// holdersPrefix is the key prefix of the records of the targets that may hold acknowledged commits, one for each group whose commits
	// are synchronous.
	holdersPrefix = "cactusfork-holders/"
	// holdersPollInterval is the time between two looks for groups that are due, in milliseconds.
	holdersPollInterval clock.Millis = 500
	// minHoldersInterval and maxHoldersInterval bound the time between two checks of a group by this daemon.
	minHoldersInterval = clock.Second
	maxHoldersInterval = 2 * clock.Second
	// holdersIntervalPerDaemon is the part of that time for each daemon that checks the same group, in milliseconds.
	holdersIntervalPerDaemon clock.Millis = 300
	// goneTime is how long a recorded target must be unknown to this daemon, and not answer it, before it counts as gone.
	goneTime = 3 * clock.Second
	// minSettleDelay is the wait between the first two attempts of this daemon to let the stalled replicas of a group receive again. The
	// wait doubles up to maxSettleDelay, as a replica may be cut off from its primary, and each attempt takes the claim.
	minSettleDelay = claimTTL
	maxSettleDelay = 60 * clock.Second
)

// holdersRecord is the stored record of a group's holders.
type holdersRecord struct {
	Holders []promotion.Holder `json:"holders"`
	// Addresses are the last known addresses of the holders. Records of earlier releases have none.
	Addresses map[group.TargetID]string `json:"addresses,omitempty"`
}

var errNoHolders = errors.New("targets that may hold acknowledged commits are not recorded")

// holderKeeper keeps the records of the groups whose commits are synchronous. One goroutine uses it.
type holderKeeper struct {
	d      *Daemon
	groups map[group.ID]*keptGroup
}

// keptGroup is what the keeper knows of one group.
type keptGroup struct {
	// nextAt is when the group is checked next.
	nextAt clock.Millis
	// record and version are the record as last read or written; it has no holders before.
	record  holdersRecord
	version store.Version
	// absentSince is when a recorded holder was first found to be unknown, or when it answered last since then.
	absentSince map[promotion.Holder]clock.Millis
	// received holds what the replicas held at the last check, and primary what the primary held then.
	received map[group.TargetID]position.Point
	primary  position.Point
	// settleAt is the earliest time of the next attempt to end a stall, and settleDelay the wait before it; 0 while none is stalled.
	settleAt    clock.Millis
	settleDelay clock.Millis
}

// keepHolders checks the groups whose commits are synchronous until ctx ends.
func (d *Daemon) keepHolders(ctx context.Context) {
	k := &holderKeeper{d: d, groups: make(map[group.ID]*keptGroup)}
	for d.clk.Sleep(ctx, holdersPollInterval) == nil {
		v := d.view.Load()
		if v.config == nil || !d.storeUp.Load() {
			continue
		}
		for id, g := range v.groups {
			if n := v.config.Groups[id].SyncReplicas; n > 0 && d.servesGroup(id) {
				k.check(ctx, g, n)
			}
		}
	}
}

// check brings the record of a group up to date, if it is time to, and ends a stall of its replicas.
func (k *holderKeeper) check(ctx context.Context, g *groupView, synchronous int) {
	now := k.d.clk.Now()
	kept := k.groups[g.id]
	if kept == nil {
		kept = &keptGroup{absentSince: make(map[promotion.Holder]clock.Millis)}
		k.groups[g.id] = kept
	}
	primary := g.target(g.primary)
	if now < kept.nextAt || primary == nil {
		return
	}
	interval := min(max(holdersIntervalPerDaemon*clock.Millis(len(*k.d.peers.list.Load())), minHoldersInterval), maxHoldersInterval)
	kept.nextAt = now + interval/2 + clock.Millis(rand.Int64N(int64(interval)))
	if kept.record.Holders == nil {
		if err := k.load(ctx, g.id, kept); err != nil {
			k.d.warn("reading commit holders failed", err)
			return
		}
	}
	kept.noteAbsent(g, now, func(h promotion.Holder) bool { return k.d.runsUnregistered(ctx, g, h, kept.record.Addresses[h.ID]) })
	point, err := k.d.verifyPrimary(ctx, g.id, primary)
	if err != nil {
		return // verifyPrimary has recorded the failure
	}
	present := k.d.holdings(ctx, g)
	k.update(ctx, g, kept, present, point, synchronous)
	k.endStall(ctx, g, kept, present, point)
}

// load reads the record of a group, or leaves it without holders if there is none.
func (k *holderKeeper) load(ctx context.Context, g group.ID, kept *keptGroup) error {
	record, version, err := k.d.readHolders(ctx, g)
	if errors.Is(err, errNoHolders) {
		kept.version = version
		return nil
	}
	kept.record, kept.version = record, version
	return err
}

// readHolders returns the record of a group's holders; errNoHolders if there is none, or a malformed one of the returned version.
func (d *Daemon) readHolders(ctx context.Context, g group.ID) (holdersRecord, store.Version, error) {
	o, err := d.store.Get(ctx, store.Key(holdersPrefix+string(g)))
	if errors.Is(err, store.ErrNotFound) {
		return holdersRecord{}, 0, errNoHolders
	}
	if err != nil {
		return holdersRecord{}, 0, fmt.Errorf("read commit holders: %w", err)
	}
	var r holdersRecord
	if err := json.Unmarshal(o.Value, &r); err != nil || len(r.Holders) == 0 {
		d.log.Warn("stored commit holders are malformed", zap.String("group", string(g)), zap.Error(err))
		return holdersRecord{}, o.Version, errNoHolders
	}
	return r, o.Version, nil
}

// noteAbsent records since when the recorded holders have been unknown and have not answered.
func (kept *keptGroup) noteAbsent(g *groupView, now clock.Millis, answers func(promotion.Holder) bool) {
	for _, h := range kept.record.Holders {
		if g.hasHolder(h) {
			delete(kept.absentSince, h)
		} else if _, ok := kept.absentSince[h]; !ok || answers(h) {
			kept.absentSince[h] = now
		}
	}
}

// hasHolder reports whether the holder is a known target of the group.
func (g *groupView) hasHolder(h promotion.Holder) bool {
	return slices.ContainsFunc(g.targets, func(t *target) bool { return t.holder().Matches(h) })
}

func (t *target) holder() promotion.Holder {
	m := t.meta.Load()
	return promotion.Holder{ID: m.ID, StartedAt: m.StartedAt}
}

// holdings asks all replicas of a group for what they hold.
func (d *Daemon) holdings(ctx context.Context, g *groupView) []promotion.Holding {
	list := make([]promotion.Holding, len(g.targets))
	var wg sync.WaitGroup
	for i, t := range g.targets {
		list[i] = promotion.Holding{Holder: t.holder(), Primary: t.meta.Load().ID == g.primary}
		if list[i].Primary {
			continue
		}
		wg.Go(func() {
			if r, err := d.runCommand(ctx, t, link.Command{Kind: link.Status}); err == nil {
				list[i].Received = r.Received
			}
		})
	}
	wg.Wait()
	return list
}

// update writes the record if the holders or their addresses have changed.
func (k *holderKeeper) update(ctx context.Context, g *groupView, kept *keptGroup, present []promotion.Holding, primary position.Point, synchronous int) {
	now := k.d.clk.Now()
	gone := func(h promotion.Holder) bool {
		since, ok := kept.absentSince[h]
		return ok && now-since >= goneTime
	}
	holders, ok := promotion.UpdateHolders(kept.record.Holders, present, gone, primary, synchronous)
	if !ok {
		return
	}
	record := holdersRecord{Holders: holders, Addresses: make(map[group.TargetID]string, len(holders))}
	for _, h := range holders {
		if t := g.target(h.ID); t != nil {
			record.Addresses[h.ID] = t.meta.Load().Address
		} else if address := kept.record.Addresses[h.ID]; address != "" {
			record.Addresses[h.ID] = address
		}
	}
	if slices.Equal(holders, kept.record.Holders) && maps.Equal(record.Addresses, kept.record.Addresses) {
		return
	}
	value, err := json.Marshal(record)
	if err != nil {
		k.d.warn("encoding commit holders failed", err)
		return
	}
	version, err := k.d.store.Put(ctx, store.Key(holdersPrefix+string(g.id)), value, kept.version)
	k.d.log.Info("commit holders changed", zap.String("group", string(g.id)), zap.Any("holders", holders), zap.Any("before", kept.record.Holders),
		zap.Stringer("primary-point", primary), zap.Stringer("version", version), zap.Error(err))
	if err != nil {
		// Another daemon may have written it; the next check reads it again.
		kept.record, kept.version = holdersRecord{}, 0
		return
	}
	kept.record, kept.version = record, version
}

// runsUnregistered reports whether a target that has no entry still answers at its last address. It may be cut off from the store alone, and
// then receives commits and lets the primary acknowledge them. A target of that ID with an entry is a later run, which has replaced it.
func (d *Daemon) runsUnregistered(ctx context.Context, g *groupView, h promotion.Holder, address string) bool {
	if address == "" || g.target(h.ID) != nil {
		return false
	}
	t := d.newTarget(&topology.Target{ID: h.ID, Group: g.id, Address: address, StartedAt: h.StartedAt})
	defer t.pool.Close()
	_, err := d.runCommand(ctx, t, link.Command{Kind: link.Status})
	answers := err == nil || errors.Is(err, errRefused) || errors.Is(err, link.ErrFull)
	if answers {
		d.log.Info("target without an entry answers", zap.String("group", string(g.id)), zap.String("target", string(h.ID)))
	}
	return answers
}

// endStall lets the replicas receive again if one has received nothing since the last check although the primary was ahead then. A
// daemon that stopped in a change of primary may have left them paused.
func (k *holderKeeper) endStall(ctx context.Context, g *groupView, kept *keptGroup, present []promotion.Holding, primary position.Point) {
	stalled := false
	received := make(map[group.TargetID]position.Point)
	for _, p := range present {
		if p.Primary || p.Received == (position.Point{}) {
			continue
		}
		received[p.ID] = p.Received
		stalled = stalled || kept.received[p.ID] == p.Received && p.Received.Before(kept.primary)
	}
	kept.received, kept.primary = received, primary
	now := k.d.clk.Now()
	if !stalled {
		kept.settleAt, kept.settleDelay = 0, 0
		return
	}
	if now < kept.settleAt {
		return
	}
	kept.settleDelay = min(max(2*kept.settleDelay, minSettleDelay), maxSettleDelay)
	kept.settleAt = now + kept.settleDelay
	err := k.d.settleReplicas(ctx, g)
	k.d.log.Info("stalled replicas resumed", zap.String("group", string(g.id)), zap.Any("targets", present), zap.Stringer("primary-point", primary), zap.Error(err))
}

// settleReplicas lets all replicas of a group receive again, under a claim, so that no change of primary runs meanwhile.
func (d *Daemon) settleReplicas(ctx context.Context, g *groupView) error {
	c, err := d.takeClaim(ctx, g.id)
	if err != nil {
		return err
	}
	defer func() { d.closeClaim(ctx, g.id, &c) }()
	primary := g.target(g.primary)
	point, err := d.provePrimary(ctx, g.id, primary)
	if err != nil {
		return fmt.Errorf("settle: %w", err)
	}
	if !c.record.Unsettled {
		d.settle(g.id, &c, primary, point.Term)
	} else if err := d.settlePromotions(ctx, g, &c); err != nil {
		return err
	}
	d.resumeReplicas(ctx, g, &c, g.replicas(), true)
	return nil
}
