package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/promotion"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
	"github.com/cactusfork/cactusfork/platform"
)

const (
	// claimPrefix is the key prefix of the claims to change a group's primary.
	claimPrefix = "cactusfork-claims/"
	// claimTTL is how long an open claim of another daemon is respected, by the local clock since this daemon first read it.
	claimTTL = 3 * clock.Second
	// claimReadTimeout bounds the read of a claim, in milliseconds. A call that hangs in an outage of the store delays the change of
	// primary behind it: with the time-out of other calls, two of three groups had their claim 1.0 and 1.5 s after the store's return.
	// The slowest answers of a store that is up took 240 ms.
	claimReadTimeout clock.Millis = 500
	// promotionTimeout bounds the wait for a promoted target to become the primary.
	promotionTimeout = 3 * clock.Second
	// promotionPollInterval is the time between two probes of a promoted target, in milliseconds.
	promotionPollInterval clock.Millis = 50
	// catchUpTimeout bounds the wait for a replica to receive everything that a demoted primary holds.
	catchUpTimeout = clock.Second
	// changeRetryPause is the wait after a failed change of primary, in milliseconds.
	changeRetryPause clock.Millis = 400
	// maxPromoteAttempts is how often a promotion that gets no response is requested under one claim.
	maxPromoteAttempts = 3
)

// claim is the stored object by which a daemon reserves the change of a group's primary. The version of its write is the fencing token.
//
// It also records the newest term, since it is read and written at each change anyway. Each claim carries over the record of the one
// before. Daemons of releases without the record ignore it, and drop it when they write a claim.
type claim struct {
	Holder group.DaemonID `json:"holder"`
	// Open is true until the change has ended.
	Open bool `json:"open"`
	// Unsettled is true while a promotion that was requested under an earlier claim may still be executed.
	Unsettled bool `json:"unsettled,omitempty"`
	// Pending are the targets that such promotions may concern. They may concern others, too, if PendingUnknown is true, or if there are none.
	Pending        []promotion.Holder `json:"pending,omitempty"`
	PendingUnknown bool               `json:"pending-unknown,omitempty"`
	// Primary is the primary that is to be replaced; empty if none is known.
	Primary group.TargetID `json:"primary,omitempty"`
	// Era is the store's era in which the newest term is known to be complete.
	Era store.Era `json:"era,omitempty"`
	promotion.NewestTerm
}

// heldClaim is a claim that this daemon holds.
type heldClaim struct {
	fence store.Version
	// takenAt is when it was requested.
	takenAt clock.Millis
	// record is what is written when the claim is closed. Its Unsettled is true if a promotion under this claim, or under an earlier one,
	// may still be executed.
	record claim
	// unsettled describes the promotions under earlier claims.
	unsettled promotion.Unsettled
	// reliable is true if the record holds all that any daemon knew before a restore of the store.
	reliable bool
}

var (
	errClaimed        = errors.New("another daemon holds the claim to change the primary")
	errNoSuccessor    = errors.New("no target can be promoted")
	errPrimaryReplied = errors.New("primary answers, no change needed")
	// errPromotionUnsettled means that a promotion may have been executed, or may still be.
	errPromotionUnsettled = errors.New("promotion is unsettled")
)

// changePrimary replaces the primary of a group, and tells the control loop how long to wait before the next attempt.
func (d *Daemon) changePrimary(ctx context.Context, g *groupView, action promotion.Action) {
	retryDelay, unavailable := changeRetryPause, false
	target, err := d.replacePrimary(ctx, g, action)
	switch {
	case errors.Is(err, errClaimed):
		retryDelay = claimTTL
	case errors.Is(err, store.ErrUnavailable):
		unavailable = true
	case err == nil:
		retryDelay = 0
	}
	d.log.Info("primary change ended", zap.String("group", string(g.id)), zap.Stringer("action", action),
		zap.String("target", string(target)), zap.Error(err))
	d.control.send(ctx, changeEnd{group: g.id, retryDelay: retryDelay, storeDown: unavailable})
}

// replacePrimary takes the group's claim, selects a target and promotes it. It returns the selected target, if any.
func (d *Daemon) replacePrimary(ctx context.Context, g *groupView, action promotion.Action) (group.TargetID, error) {
	c, err := d.takeClaim(ctx, g.id)
	if err != nil {
		return "", err
	}
	d.log.Info("primary change claim acquired", zap.String("group", string(g.id)), zap.Stringer("fence", c.fence), zap.Bool("unsettled", c.record.Unsettled),
		zap.Uint64("newest-term", uint64(c.record.Term)))
	defer func() { d.closeClaim(ctx, g.id, &c) }()
	successor, err := d.selectSuccessor(ctx, g, action, &c)
	if err != nil {
		d.resumeIfPaused(ctx, g, action, &c)
		return "", err
	}
	id := successor.meta.Load().ID
	term, err := d.promoteAndWait(ctx, g, successor, c.fence)
	if errors.Is(err, errPromotionUnsettled) {
		// It may still be executed, so the replicas stay paused: what they received now might be missing at the successor.
		c.record.addPending(successor.holder())
		return id, err
	}
	if err != nil {
		// It was refused, perhaps as another daemon has acted since, which may have paused the replicas.
		return id, err
	}
	d.settle(g.id, &c, successor, term)
	d.resumeIfPaused(ctx, g, action, &c)
	return id, nil
}

// settle records that a target leads a term, so that no earlier promotion can be executed any more.
func (d *Daemon) settle(g group.ID, c *heldClaim, primary *target, term position.Term) {
	c.record.Unsettled, c.record.Pending, c.record.PendingUnknown = false, nil, false
	c.record.NewestTerm = promotion.NewestTerm{Term: term, Holders: []promotion.Holder{primary.holder()}}
	d.terms.set(g, c.record.NewestTerm)
}

// resumeIfPaused lets the replicas that selectSuccessor has paused receive again. Once the claim may have expired, another daemon may
// have paused them; then holderKeeper resumes them.
func (d *Daemon) resumeIfPaused(ctx context.Context, g *groupView, action promotion.Action, c *heldClaim) {
	if action == promotion.Replace && d.syncReplicas(g.id) > 0 && !c.record.Unsettled && d.clk.Now()-c.takenAt < claimTTL {
		d.resumeReplicas(ctx, g)
	}
}

// takeClaim writes a claim over one that is closed or expired.
func (d *Daemon) takeClaim(ctx context.Context, g group.ID) (heldClaim, error) {
	current, version, err := d.readClaim(ctx, g)
	if err != nil {
		return heldClaim{}, err
	}
	now := d.clk.Now()
	if current.Open && current.Holder != d.id && !d.claimExpired(g, version, now) {
		return heldClaim{}, fmt.Errorf("%w: %s", errClaimed, current.Holder)
	}
	known := d.knownTerm(g)
	c := heldClaim{takenAt: now}
	c.record = claim{
		Holder: d.id, Unsettled: current.Open || current.Unsettled, Era: current.Era, NewestTerm: known.Merge(current.NewestTerm),
	}
	if gv := d.view.Load().groups[g]; gv != nil {
		c.record.Primary = gv.primary
	}
	if current.isResolved(known) {
		// Only the resumption of paused replicas needs to know of the promotion.
		c.record.Unsettled = c.record.Unsettled && d.syncReplicas(g) > 0
	} else {
		c.unsettled = current.unsettledPromotions()
		c.record.Pending, c.record.PendingUnknown = c.unsettled.Targets, c.unsettled.Unknown
	}
	era := d.eras.Newest()
	if c.reliable = d.terms.reliable(current.Era, era, now); c.reliable {
		c.record.Era = era
	}
	open := c.record
	open.Open = true
	c.fence, err = d.store.Put(ctx, claimKey(g), encodeClaim(open), version)
	if errors.Is(err, store.ErrConflict) {
		return heldClaim{}, fmt.Errorf("%w: %w", errClaimed, err)
	}
	if err != nil {
		return heldClaim{}, fmt.Errorf("write claim: %w", err)
	}
	d.terms.set(g, c.record.NewestTerm)
	return c, nil
}

// claimExpired records an open claim of another daemon, and reports whether it has been unchanged for claimTTL.
func (d *Daemon) claimExpired(g group.ID, v store.Version, now clock.Millis) bool {
	d.claimsMu.Lock()
	defer d.claimsMu.Unlock()
	observed := d.claims[g]
	if observed.version != v {
		d.claims[g] = observedClaim{version: v, firstRead: now}
		return false
	}
	return now-observed.firstRead >= claimTTL
}

// observedClaim is an open claim of another daemon and when this daemon first read it.
type observedClaim struct {
	version   store.Version
	firstRead clock.Millis
}

func (d *Daemon) closeClaim(ctx context.Context, g group.ID, c *heldClaim) {
	_, err := d.store.Put(ctx, claimKey(g), encodeClaim(c.record), c.fence)
	if err != nil {
		d.warn("closing primary change claim failed", err)
	}
}

func encodeClaim(c claim) []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic("encode claim: " + err.Error()) // a struct of strings, numbers and bools always encodes
	}
	return b
}

// selectSuccessor probes all targets and returns the one to promote. After a hand-over, that target holds everything that the primary had.
func (d *Daemon) selectSuccessor(ctx context.Context, g *groupView, action promotion.Action, c *heldClaim) (*target, error) {
	results := d.probeAll(ctx, g)
	newest := c.record.Term
	members := make([]promotion.Member, len(g.targets))
	for i, t := range g.targets {
		result := &results[i]
		members[i] = t.member(t.meta.Load().ID == g.primary)
		if action == promotion.Replace && (result.provedPrimary || members[i].Leader && result.reachable) {
			return nil, errPrimaryReplied
		}
		if result.report == nil {
			members[i].Draining = true // excluded from promotion, because its position is unknown
			members[i].Unreported = true
			continue
		}
		members[i].Received = result.report.Received
		newest = max(newest, result.report.Received.Term)
	}
	if action == promotion.Replace {
		if err := d.secureCommits(ctx, g, members, newest+1); err != nil {
			return nil, err
		}
		best, err := d.chooseSuccessor(g, members, c)
		if err != nil {
			return nil, err
		}
		return g.targets[best], nil
	}
	best := promotion.BestCandidate(members, newest)
	d.log.Info("successor selection ended", zap.String("group", string(g.id)), zap.Stringer("action", action), zap.Int("chosen", best),
		zap.Uint64("newest-term", uint64(newest)), zap.Any("targets", members))
	if best < 0 {
		return nil, errNoSuccessor
	}
	return d.handOver(ctx, g, g.targets[best])
}

// secureCommits makes sure that the replicas that answer hold all acknowledged commits, now and until the change has ended: it pauses
// them, so that no commit can be acknowledged that they have not reported. After a hand-over this is not needed, as the primary itself
// shows what it holds.
func (d *Daemon) secureCommits(ctx context.Context, g *groupView, members []promotion.Member, term position.Term) error {
	synchronous := d.syncReplicas(g.id)
	if synchronous == 0 {
		return nil
	}
	holders, _, err := d.readHolders(ctx, g.id)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoSuccessor, err)
	}
	d.pauseReplicas(ctx, g, members, term)
	if !promotion.HasCommitQuorum(members, holders, synchronous) {
		return fmt.Errorf("%w: too few of the targets %v reported their position", errNoSuccessor, holders)
	}
	return nil
}

func (d *Daemon) syncReplicas(g group.ID) int {
	if cfg := d.view.Load().config; cfg != nil {
		return cfg.Groups[g].SyncReplicas
	}
	return 0
}

// pauseReplicas stops the replicas that answered from receiving, and records the positions they hold then. A replica that does not obey counts as one that did not answer.
func (d *Daemon) pauseReplicas(ctx context.Context, g *groupView, members []promotion.Member, term position.Term) {
	for i, t := range g.targets {
		if members[i].Leader || members[i].Draining {
			continue
		}
		r, err := d.runCommand(ctx, t, link.Command{Kind: link.Pause, Term: term})
		if err != nil {
			d.warnTarget("pausing replica failed", g.id, members[i].ID, err)
			members[i].Draining = true
			continue
		}
		members[i].Received = r.Received
	}
}

// resumeReplicas lets all replicas of a group receive again.
func (d *Daemon) resumeReplicas(ctx context.Context, g *groupView) {
	for _, t := range g.targets {
		id := t.meta.Load().ID
		if _, err := d.runCommand(ctx, t, link.Command{Kind: link.Resume}); err != nil {
			d.warnTarget("resuming replica failed", g.id, id, err)
		}
	}
}

// isPrimary reports whether the target is the known primary of its group.
func (v *view) isPrimary(g group.ID, id group.TargetID) bool {
	gv := v.groups[g]
	return gv != nil && gv.primary == id
}

// probeAll probes all targets of a group on new connections.
func (d *Daemon) probeAll(ctx context.Context, g *groupView) []probeResult {
	results := make([]probeResult, len(g.targets))
	var wg sync.WaitGroup
	for i, t := range g.targets {
		wg.Go(func() { results[i] = d.probeTarget(ctx, g, t, true) })
	}
	wg.Wait()
	return results
}

// handOver demotes the primary and returns the target to promote: successor once it has received everything that the primary holds, or else the old primary, so that no write is lost.
func (d *Daemon) handOver(ctx context.Context, g *groupView, successor *target) (*target, error) {
	oldPrimary := g.target(g.primary)
	if oldPrimary == nil {
		return nil, errNoSuccessor
	}
	status, err := d.runCommand(ctx, oldPrimary, link.Command{Kind: link.Status})
	if err != nil {
		return nil, fmt.Errorf("hand over: %w", err)
	}
	demoted, err := d.runCommand(ctx, oldPrimary, link.Command{Kind: link.Demote, Term: status.Term + 1})
	if err != nil {
		return nil, fmt.Errorf("hand over: %w", err)
	}
	d.log.Info("primary demoted", zap.String("group", string(g.id)), zap.String("target", string(g.primary)), zap.Stringer("received", demoted.Received))
	for deadline := d.clk.Now() + catchUpTimeout; d.clk.Now() < deadline; {
		r, err := d.runCommand(ctx, successor, link.Command{Kind: link.Status})
		if err == nil && r.Received.Reaches(demoted.Received) {
			return successor, nil
		}
		if err := d.clk.Sleep(ctx, promotionPollInterval/2); err != nil {
			return nil, fmt.Errorf("hand over: %w", err)
		}
	}
	d.log.Warn("successor did not catch up, promoting the old primary again", zap.String("group", string(g.id)), zap.String("target", string(successor.meta.Load().ID)))
	return oldPrimary, nil
}

// runCommand runs one command at a target and returns the report in its reply.
func (d *Daemon) runCommand(ctx context.Context, t *target, c link.Command) (link.Report, error) {
	deadline := d.clk.Now() + probeTimeout
	conn, err := t.pool.GetAny(ctx, deadline)
	if err != nil {
		return link.Report{}, fmt.Errorf("run command: %w", err)
	}
	defer t.pool.Put(conn)
	r, err := conn.Run(deadline, c)
	if err != nil {
		conn.Break()
		return link.Report{}, fmt.Errorf("run command: %w", err)
	}
	if !r.Completed {
		return link.Report{}, fmt.Errorf("run command: target replied %s %s", r.Code, r.Text)
	}
	report, err := platform.ParseStatus(r.Row)
	if err != nil {
		return link.Report{}, fmt.Errorf("run command: %w", err)
	}
	return report, nil
}

// promoteAndWait requests the promotion under the claim, waits until the target is the primary and returns the term that it leads.
func (d *Daemon) promoteAndWait(ctx context.Context, g *groupView, successor *target, fence store.Version) (position.Term, error) {
	id, mayRun := successor.meta.Load().ID, false
	for attempt := 1; ; attempt++ {
		err := d.promote(ctx, g.id, id, fence)
		d.log.Info("promotion requested", zap.String("group", string(g.id)), zap.String("target", string(id)),
			zap.Stringer("fence", fence), zap.Int("try", attempt), zap.Error(err))
		if err == nil {
			term, err := d.awaitPrimary(ctx, g, successor, d.clk.Now()+promotionTimeout)
			if err != nil {
				err = fmt.Errorf("%w: %w", errPromotionUnsettled, err)
			}
			return term, err
		}
		mayRun = mayRun || !errors.Is(err, platform.ErrFenced) && !errors.Is(err, store.ErrRefused)
		if errors.Is(err, platform.ErrFenced) || attempt >= maxPromoteAttempts {
			if mayRun {
				err = fmt.Errorf("%w: %w", errPromotionUnsettled, err)
			}
			return 0, err
		}
		if term, err := d.awaitPrimary(ctx, g, successor, d.clk.Now()+changeRetryPause); err == nil {
			return term, nil
		}
	}
}

// awaitPrimary probes a promoted target until it proves that it is the primary, and returns the term that it leads. It fails at the deadline.
func (d *Daemon) awaitPrimary(ctx context.Context, g *groupView, successor *target, deadline clock.Millis) (position.Term, error) {
	id := successor.meta.Load().ID
	for d.clk.Now() < deadline {
		if result := d.probeTarget(ctx, g, successor, false); result.provedPrimary {
			return result.term, nil
		}
		if err := d.clk.Sleep(ctx, promotionPollInterval); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("%s did not become the primary in time", id)
}
