package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"

	"go.uber.org/zap"

	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/promotion"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// termSettleTime is how long after this daemon's first contact with a store, or with a restored one, a record of an earlier era is
	// not relied on. Daemons that know a newer term notice the store within 1 s and have written it back by then.
	termSettleTime = 2 * clock.Second
	// recordAttempts is how often a daemon tries to write back a record, and recordRetryPause the wait between two attempts, in
	// milliseconds. Together they fit into termSettleTime.
	recordAttempts                = 5
	recordRetryPause clock.Millis = 250
	// maxConcurrentRecords is how many records a daemon writes back at once.
	maxConcurrentRecords = 8
)

// termRecord holds what this daemon has read or written of the newest terms, and how far the store's records can be relied on.
type termRecord struct {
	mu     sync.Mutex
	newest map[group.ID]promotion.NewestTerm
	absent map[group.ID]*promotion.Absence
	// eraSince is when this daemon first reached the store in its present era; 0 before.
	eraSince clock.Millis
	// restored receives a value after a restore of the store.
	restored chan struct{}
}

func newTermRecord() *termRecord {
	return &termRecord{
		newest: make(map[group.ID]promotion.NewestTerm), absent: make(map[group.ID]*promotion.Absence), restored: make(chan struct{}, 1),
	}
}

// beginEra records the first contact with the store, or with a restored one.
func (r *termRecord) beginEra(now clock.Millis, restored bool) {
	r.mu.Lock()
	if restored || r.eraSince == 0 {
		r.eraSince = now
	}
	r.mu.Unlock()
	if restored {
		select {
		case r.restored <- struct{}{}:
		default:
		}
	}
}

// reliable reports whether a record that was written in the given era holds all that any daemon knew.
func (r *termRecord) reliable(era, newest store.Era, now clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return era == newest || r.eraSince > 0 && now-r.eraSince >= termSettleTime
}

func (r *termRecord) set(g group.ID, n promotion.NewestTerm) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest[g] = n
}

// absence returns for how long no target that may hold a group's newest term has been registered, by the choices of this daemon.
func (r *termRecord) absence(g group.ID, c *promotion.Choice, now, storeSince clock.Millis) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.absent[g] == nil {
		r.absent[g] = &promotion.Absence{}
	}
	return r.absent[g].Observe(c, now, storeSince)
}

// knownTerm returns the newest term of a group that this daemon knows, from replies of targets and from records.
func (d *Daemon) knownTerm(g group.ID) promotion.NewestTerm {
	known := promotion.NewestTerm{Term: d.samples.newestTerm(g)}
	if gv := d.view.Load().groups[g]; gv != nil {
		for _, t := range gv.targets {
			if term := t.receivedTerm(); term > 0 {
				known = known.Merge(promotion.NewestTerm{Term: term, Holders: []promotion.Holder{t.holder()}})
			}
		}
	}
	d.terms.mu.Lock()
	defer d.terms.mu.Unlock()
	return known.Merge(d.terms.newest[g])
}

// keepTerms writes back, after each restore of the store, the newest terms that the store has lost.
func (d *Daemon) keepTerms(ctx context.Context) {
	for {
		select {
		case <-d.terms.restored:
		case <-ctx.Done():
			return
		}
		peers := *d.peers.list.Load()
		daemons := make([]group.DaemonID, len(peers))
		for i := range peers {
			daemons[i] = peers[i].ID
		}
		var wg sync.WaitGroup
		free := make(chan struct{}, maxConcurrentRecords)
		for id := range d.view.Load().groups {
			delay, ok := promotion.RecorderDelay(d.id, id, daemons)
			if !ok || d.knownTerm(id).Term == 0 {
				continue
			}
			wg.Go(func() {
				if d.clk.Sleep(ctx, delay) != nil {
					return
				}
				free <- struct{}{}
				defer func() { <-free }()
				d.recordTerm(ctx, id)
			})
		}
		wg.Wait()
	}
}

// recordTerm writes the newest term that this daemon knows to the group's claim if the store knows an earlier one.
func (d *Daemon) recordTerm(ctx context.Context, g group.ID) {
	var openVersion store.Version
	for attempt := range recordAttempts {
		if attempt > 0 && d.clk.Sleep(ctx, recordRetryPause) != nil {
			return
		}
		c, version, err := d.readClaim(ctx, g)
		if err != nil {
			d.warn("reading newest term failed", err)
			continue
		}
		known := d.knownTerm(g)
		if c.Term >= known.Term {
			return
		}
		if c.Open && (openVersion != version || attempt < recordAttempts-1) {
			// Its holder would lose the claim by a write. A claim of the copy stays open, so that the last attempt replaces it.
			openVersion = version
			continue
		}
		if c.Holder == "" {
			c.Holder = d.id
		}
		before := c.Term
		c.NewestTerm = known.Merge(c.NewestTerm)
		_, err = d.store.Put(ctx, claimKey(g), encodeClaim(c), version)
		d.log.Info("newest term recorded again", zap.String("group", string(g)), zap.Uint64("term", uint64(known.Term)),
			zap.Uint64("before", uint64(before)), zap.Any("holders", c.Holders), zap.Error(err))
		if err == nil {
			return
		}
	}
}

func claimKey(g group.ID) store.Key { return store.Key(claimPrefix + string(g)) }

// readClaim returns the stored claim of a group and its version; the zero claim and version 0 if there is none.
func (d *Daemon) readClaim(ctx context.Context, g group.ID) (claim, store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, claimReadTimeout.Duration())
	defer cancel()
	stored, err := d.store.Get(ctx, claimKey(g))
	if errors.Is(err, store.ErrNotFound) {
		return claim{}, 0, nil
	}
	if err != nil {
		return claim{}, 0, fmt.Errorf("read claim: %w", err)
	}
	var c claim
	if err := json.Unmarshal(stored.Value, &c); err != nil {
		d.warn("stored claim is malformed", err)
		c = claim{Unsettled: true, Resuming: d.allResuming(g)}
	}
	return c, stored.Version, nil
}

// allResuming returns the record in which each known target of a group may carry out a resume command.
func (d *Daemon) allResuming(g group.ID) []promotion.Resumption {
	gv := d.view.Load().groups[g]
	if gv == nil {
		return nil
	}
	list := make([]promotion.Resumption, len(gv.targets))
	for i, t := range gv.targets {
		list[i] = promotion.Resumption{Holder: t.holder(), Left: promotion.MaxCommandDelay}
	}
	return list
}

// unsettledPromotions returns the promotions that may still be executed, or may have been, by the stored claim. Of a claim that was not
// closed, the target is not known. It is one that held the newest term, and not the primary.
func (c *claim) unsettledPromotions() promotion.Unsettled {
	u := promotion.Unsettled{Targets: c.Pending, Unknown: c.Open || c.PendingUnknown || c.Unsettled && len(c.Pending) == 0}
	if c.Open {
		for _, h := range c.Holders {
			if h.ID != c.Primary && !slices.ContainsFunc(u.Targets, h.Matches) {
				u.Targets = append(slices.Clone(u.Targets), h)
			}
		}
	}
	return u
}

// isResolved reports whether there are no unsettled promotions by the stored claim, or a single one that has resulted in a known term.
func (c *claim) isResolved(known promotion.NewestTerm) bool {
	if !c.Open && !c.Unsettled {
		return true
	}
	requested := len(c.Pending)
	if c.Open {
		requested++
	}
	return known.Term > c.Term && requested <= 1 && !c.PendingUnknown
}

// chooseSuccessor returns the index of the target to promote without the cooperation of the primary.
func (d *Daemon) chooseSuccessor(g *groupView, members []promotion.Member, c *heldClaim) (int, error) {
	now, storeSince := d.clk.Now(), clock.Millis(d.storeSince.Load())
	choice := promotion.ChooseSuccessor(members, c.record.NewestTerm, c.unsettled)
	absent := d.terms.absence(g.id, &choice, now, storeSince)
	d.log.Info("successor selection ended", zap.String("group", string(g.id)), zap.Stringer("action", promotion.Replace), zap.Int("chosen", choice.Index),
		zap.Uint64("newest-term", uint64(choice.Newest.Term)), zap.Any("term-holders", choice.Newest.Holders), zap.Bool("earlier-term", choice.Earlier),
		zap.Any("waiting", choice.Waiting), zap.Int64("absent-ms", int64(absent)), zap.Bool("record-reliable", c.reliable), zap.Any("targets", members))
	c.record.NewestTerm = choice.Newest
	switch {
	case !c.reliable:
		return 0, fmt.Errorf("%w: record of the newest term may be older than the store's restore", errNoSuccessor)
	case len(choice.Waiting) > 0:
		return 0, fmt.Errorf("%w: targets %v may hold the newest term %d", errNoSuccessor, choice.Waiting, choice.Newest.Term)
	case choice.Index < 0:
		return 0, errNoSuccessor
	case choice.Earlier && absent < d.promotion.Lost:
		return 0, fmt.Errorf("%w: targets %v may hold a newer term and are absent for %d ms, not for %d ms", errNoSuccessor, choice.Lost, absent, d.promotion.Lost)
	case choice.Earlier:
		d.count("promotions-of-earlier-terms")
		m := &members[choice.Index]
		d.log.Warn("promoting target of an earlier term, commits may be lost", zap.String("group", string(g.id)), zap.String("target", string(m.ID)),
			zap.Stringer("received", m.Received), zap.Uint64("newest-term", uint64(choice.Newest.Term)), zap.Any("lost-holders", choice.Lost),
			zap.Int64("absent-ms", int64(absent)))
	}
	return choice.Index, nil
}

// addPending records that the promotion of a target got no answer.
func (c *claim) addPending(h promotion.Holder) {
	if !slices.ContainsFunc(c.Pending, h.Matches) {
		c.Pending = append(slices.Clone(c.Pending), h)
	}
	// An earlier promotion of which the target is not known stays so.
	c.PendingUnknown = c.PendingUnknown || c.Unsettled && len(c.Pending) == 1
	c.Unsettled = true
}
