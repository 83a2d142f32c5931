package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
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
	// promotionDelay is how long after it has accepted a promotion the platform may carry it out, in milliseconds. It takes up to 1 s.
	promotionDelay clock.Millis = 1500
	// promotionPollInterval is the time between two probes of a promoted target, in milliseconds.
	promotionPollInterval clock.Millis = 50
	// catchUpTimeout bounds the wait for a replica to receive everything that a demoted primary holds.
	catchUpTimeout = clock.Second
	// changeRetryPause is the wait after a failed change of primary, in milliseconds.
	changeRetryPause clock.Millis = 400
	// resumeTimeout is how long after it was recorded a resume command may be sent. promotion.MaxCommandDelay contains it.
	resumeTimeout = clock.Second
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
	// Resuming are the targets that may still carry out a resume command, by what was known when the claim was written.
	Resuming []promotion.Resumption `json:"resuming,omitempty"`
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
	// resumptions are the resume commands, under this claim and earlier ones, that targets may still carry out.
	resumptions promotion.Resumptions
	// paused are the targets to which a pause command was sent under this claim, whether they answered or not.
	paused []*target
	// reliable is true if the record holds all that any daemon knew before a restore of the store.
	reliable bool
}

// expiresAt returns from when on another daemon may hold the claim.
func (c *heldClaim) expiresAt() clock.Millis { return c.takenAt + claimTTL }

var (
	errClaimed        = errors.New("another daemon holds the claim to change the primary")
	errNoSuccessor    = errors.New("no target can be promoted")
	errPrimaryReplied = errors.New("primary answers, no change needed")
	// errClaimExpired means that another daemon may hold the claim by now.
	errClaimExpired = errors.New("claim may have expired")
	// errNotSent means that a command was not sent to its target, and errRefused that the target has answered it with an error.
	errNotSent = errors.New("command was not sent")
	errRefused = errors.New("target refused the command")
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
		zap.Uint64("newest-term", uint64(c.record.Term)), zap.Any("resuming", c.resumptions.Record(c.takenAt)))
	defer func() { d.closeClaim(ctx, g.id, &c) }()
	successor, err := d.selectSuccessor(ctx, g, action, &c)
	if err != nil {
		// A promotion under an earlier claim may still be executed; it needs the replicas paused.
		if !c.record.Unsettled {
			d.resumeReplicas(ctx, g, &c, c.paused, true)
		}
		return "", err
	}
	id := successor.meta.Load().ID
	term, err := d.promoteAndWait(ctx, g, successor, &c)
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
	// The promotion may have ended the pause of its target alone. The claim is closed first, as nothing else depends on it.
	d.resumeReplicas(ctx, g, &c, c.paused, false)
	return id, nil
}

// settle records that a target leads a term, so that no earlier promotion can be executed any more.
func (d *Daemon) settle(g group.ID, c *heldClaim, primary *target, term position.Term) {
	c.record.Unsettled, c.record.Pending, c.record.PendingUnknown = false, nil, false
	c.record.NewestTerm = promotion.NewestTerm{Term: term, Holders: []promotion.Holder{primary.holder()}}
	d.terms.set(g, c.record.NewestTerm)
}

// settlePromotions makes sure that no promotion of an earlier claim is carried out any more, and that the known primary leads. Its own
// promotion changes nothing, but has the platform refuse the earlier ones; one that was accepted before that ends meanwhile.
func (d *Daemon) settlePromotions(ctx context.Context, g *groupView, c *heldClaim) error {
	primary := g.target(g.primary)
	if primary == nil {
		return fmt.Errorf("settle promotions: %w", errNotPrimary)
	}
	if err := d.promote(ctx, g.id, g.primary, c.fence); err != nil {
		return fmt.Errorf("settle promotions: %w", err)
	}
	if err := d.clk.Sleep(ctx, promotionDelay); err != nil {
		return fmt.Errorf("settle promotions: %w", err)
	}
	point, err := d.provePrimary(ctx, g.id, primary)
	if err != nil {
		return fmt.Errorf("settle promotions: %w", err)
	}
	d.settle(g.id, c, primary, point.Term)
	// The claim may have expired meanwhile.
	return d.writeClaim(ctx, g.id, c, true)
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
	c := heldClaim{fence: version, resumptions: d.readResumptions(g, current.Resuming, now)}
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
	if err := d.writeClaim(ctx, g, &c, true); err != nil {
		return heldClaim{}, err
	}
	d.terms.set(g, c.record.NewestTerm)
	return c, nil
}

// writeClaim writes a claim, open or closed, over its last version. It fails with errClaimed if another daemon has written one since.
func (d *Daemon) writeClaim(ctx context.Context, g group.ID, c *heldClaim, open bool) error {
	now := d.clk.Now()
	record := c.record
	record.Open, record.Resuming = open, c.resumptions.Record(now)
	version, err := d.store.Put(ctx, claimKey(g), encodeClaim(record), c.fence)
	if errors.Is(err, store.ErrConflict) {
		return fmt.Errorf("%w: %w", errClaimed, err)
	}
	if err != nil {
		return fmt.Errorf("write claim: %w", err)
	}
	c.fence, c.takenAt = version, now
	d.claimsMu.Lock()
	defer d.claimsMu.Unlock()
	d.resumptions[g] = c.resumptions
	return nil
}

// readResumptions returns the resumptions of a record read at now. What this daemon has read or written before ends no later than it knew then.
func (d *Daemon) readResumptions(g group.ID, record []promotion.Resumption, now clock.Millis) promotion.Resumptions {
	d.claimsMu.Lock()
	defer d.claimsMu.Unlock()
	d.resumptions[g] = d.resumptions[g].Read(record, now)
	return d.resumptions[g]
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
	if err := d.writeClaim(ctx, g, c, false); err != nil {
		d.warn("closing primary change claim failed", err)
		return
	}
	if c.resumptions.End() > d.clk.Now() {
		go d.forgetResumptions(ctx, g, *c)
	}
}

// forgetResumptions writes a closed claim again once no recorded resume command can be carried out any more, unless the claim has been
// written since. The next holder cannot tell how old the record is, and would wait for these commands once more.
func (d *Daemon) forgetResumptions(ctx context.Context, g group.ID, c heldClaim) {
	if d.clk.Sleep(ctx, c.resumptions.End()-d.clk.Now()) != nil {
		return // the next holder waits
	}
	if err := d.writeClaim(ctx, g, &c, false); err != nil && !errors.Is(err, errClaimed) {
		d.warn("clearing resume commands from claim failed", err)
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
		holders, err := d.secureCommits(ctx, g, members, newest+1, c)
		if err != nil {
			return nil, err
		}
		best, err := d.chooseSuccessor(g, members, c)
		if err != nil {
			return nil, err
		}
		if !promotion.PreventsCommits(members, holders, d.syncReplicas(g.id), best) {
			return nil, fmt.Errorf("%w: other replicas than %s may resume by themselves", errNoSuccessor, members[best].ID)
		}
		return g.targets[best], nil
	}
	best := promotion.BestCandidate(members, newest)
	d.log.Info("successor selection ended", zap.String("group", string(g.id)), zap.Stringer("action", action), zap.Int("chosen", best),
		zap.Uint64("newest-term", uint64(newest)), zap.Any("targets", members))
	if best < 0 {
		return nil, errNoSuccessor
	}
	if c.record.Unsettled {
		if err := d.settlePromotions(ctx, g, c); err != nil {
			return nil, err
		}
	}
	return d.handOver(ctx, g, g.targets[best], c)
}

// secureCommits makes sure that the replicas that answer hold all acknowledged commits: it pauses them, so that no commit can be
// acknowledged that they have not reported. Replicas that may end the pause by themselves are marked. It returns the targets that may hold
// acknowledged commits. After a hand-over this is not needed, as the primary itself shows what it holds.
func (d *Daemon) secureCommits(ctx context.Context, g *groupView, members []promotion.Member, term position.Term, c *heldClaim) ([]promotion.Holder, error) {
	synchronous := d.syncReplicas(g.id)
	if synchronous == 0 {
		return nil, nil
	}
	record, _, err := d.readHolders(ctx, g.id)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoSuccessor, err)
	}
	holders := record.Holders
	now := d.clk.Now()
	for i, t := range g.targets {
		members[i].MayResume = c.resumptions.Pending(t.holder(), now)
	}
	if !promotion.CanPreventCommits(members, holders, synchronous) {
		return nil, fmt.Errorf("%w: too few of the targets %v can be paused, by %+v", errNoSuccessor, holders, members)
	}
	d.pauseReplicas(ctx, g, members, term, c)
	if !promotion.HasCommitQuorum(members, holders, synchronous) {
		return nil, fmt.Errorf("%w: too few of the targets %v reported their position", errNoSuccessor, holders)
	}
	return holders, nil
}

func (d *Daemon) syncReplicas(g group.ID) int {
	if cfg := d.view.Load().config; cfg != nil {
		return cfg.Groups[g].SyncReplicas
	}
	return 0
}

// pauseReplicas stops the replicas that answered from receiving, and records the positions they hold then. A replica that does not obey counts as one that did not answer.
func (d *Daemon) pauseReplicas(ctx context.Context, g *groupView, members []promotion.Member, term position.Term, c *heldClaim) {
	for i, t := range g.targets {
		if members[i].Leader || members[i].Draining {
			continue
		}
		r, err := d.runCommandBefore(ctx, t, link.Command{Kind: link.Pause, Term: term}, c.expiresAt())
		if !errors.Is(err, errNotSent) {
			c.paused = append(c.paused, t)
		}
		if err != nil {
			d.warnTarget("pausing replica failed", g.id, members[i].ID, err)
			members[i].Draining = true
			continue
		}
		members[i].Received = r.Received
	}
}

// resumeReplicas lets targets receive again. It first writes the claim, open or closed, with a record of these commands, as a target that
// does not answer may carry out its command later, when another holder relies on a pause. Once that record is older than resumeTimeout, or
// if another daemon has written the claim, nothing is sent: holderKeeper resumes the targets.
func (d *Daemon) resumeReplicas(ctx context.Context, g *groupView, c *heldClaim, targets []*target, open bool) {
	if len(targets) == 0 {
		return
	}
	// Each version of the claim is written once, so that no other order has its number.
	order, now := uint64(c.fence), d.clk.Now()
	for _, t := range targets {
		c.resumptions.Add(t.holder(), order, now)
	}
	if err := d.writeClaim(ctx, g.id, c, open); err != nil {
		d.warn("replicas not resumed", err)
		return
	}
	pending := make([]bool, len(targets))
	var wg sync.WaitGroup
	for i, t := range targets {
		wg.Go(func() {
			_, err := d.runCommandBefore(ctx, t, link.Command{Kind: link.Resume}, c.takenAt+resumeTimeout)
			if err == nil {
				return
			}
			d.warnTarget("resuming replica failed", g.id, t.meta.Load().ID, err)
			if pending[i] = !errors.Is(err, errNotSent) && !errors.Is(err, errRefused); pending[i] {
				d.count("resumptions-unanswered")
			}
		})
	}
	wg.Wait()
	for i, t := range targets {
		if !pending[i] {
			c.resumptions.Remove(t.holder(), order)
		}
	}
}

// replicas returns the targets of the group other than its known primary.
func (g *groupView) replicas() []*target {
	return slices.DeleteFunc(slices.Clone(g.targets), func(t *target) bool { return t.meta.Load().ID == g.primary })
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
func (d *Daemon) handOver(ctx context.Context, g *groupView, successor *target, c *heldClaim) (*target, error) {
	oldPrimary := g.target(g.primary)
	if oldPrimary == nil {
		return nil, errNoSuccessor
	}
	status, err := d.runCommand(ctx, oldPrimary, link.Command{Kind: link.Status})
	if err != nil {
		return nil, fmt.Errorf("hand over: %w", err)
	}
	demoted, err := d.runCommandBefore(ctx, oldPrimary, link.Command{Kind: link.Demote, Term: status.Term + 1}, c.expiresAt())
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
	return d.runCommandBefore(ctx, t, c, d.clk.Now()+probeTimeout)
}

// runCommandBefore is runCommand for a command that is not sent at limit or later. A daemon that was suspended for longer than it may hold
// a claim must not act beside the next holder.
func (d *Daemon) runCommandBefore(ctx context.Context, t *target, c link.Command, limit clock.Millis) (link.Report, error) {
	deadline := min(d.clk.Now()+probeTimeout, limit)
	conn, err := t.pool.GetAny(ctx, deadline)
	if err != nil {
		return link.Report{}, fmt.Errorf("run command: %w: %w", errNotSent, err)
	}
	defer t.pool.Put(conn)
	r, err := conn.Run(deadline, c)
	if err != nil {
		conn.Break()
		return link.Report{}, fmt.Errorf("run command: %w", err)
	}
	if !r.Completed {
		return link.Report{}, fmt.Errorf("run command: %w: %s %s", errRefused, r.Code, r.Text)
	}
	report, err := platform.ParseStatus(r.Row)
	if err != nil {
		return link.Report{}, fmt.Errorf("run command: %w", err)
	}
	return report, nil
}

// promoteAndWait requests the promotion under the claim, waits until the target is the primary and returns the term that it leads.
func (d *Daemon) promoteAndWait(ctx context.Context, g *groupView, successor *target, c *heldClaim) (position.Term, error) {
	id, fence, mayRun := successor.meta.Load().ID, c.fence, false
	for attempt := 1; ; attempt++ {
		if d.clk.Now() >= c.expiresAt() {
			err := errClaimExpired
			if mayRun {
				err = fmt.Errorf("%w: %w", errPromotionUnsettled, err)
			}
			return 0, err
		}
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
