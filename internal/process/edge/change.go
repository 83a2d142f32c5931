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
	// claimPrefix is where claims to change a group's primary lie.
	claimPrefix = "cactusfork-claims/"
	// claimLife is how long an open claim of another daemon is respected, by the local clock since it was read.
	claimLife = 3 * clock.Second
	// leadWait bounds the wait for a promoted target to lead.
	leadWait = 3 * clock.Second
	// leadPoll is the time between two questions to a promoted target, in milliseconds.
	leadPoll clock.Millis = 50
	// catchUpWait bounds the wait for a replica to receive all that a demoted primary holds.
	catchUpWait = clock.Second
	// retryPause is the wait after a change that failed, in milliseconds.
	retryPause clock.Millis = 400
	// promoteTries is how often a promotion without an answer is asked for under one claim.
	promoteTries = 3
)

// claim is what lies in the store while a daemon changes a group's primary; the revision of its write is the fencing token.
type claim struct {
	Holder group.DaemonID `json:"holder"`
	// Open is true until the change is over.
	Open bool `json:"open"`
}

var (
	errClaimed     = errors.New("another daemon changes the primary")
	errNoSuccessor = errors.New("no target can be promoted")
	errUnneeded    = errors.New("primary answers")
)

// change replaces the primary of a group, and tells the loop when the next try may come.
func (d *Daemon) change(ctx context.Context, g *groupView, why promotion.Action) {
	pause, away := retryPause, false
	target, err := d.replace(ctx, g, why)
	switch {
	case errors.Is(err, errClaimed):
		pause = claimLife
	case errors.Is(err, store.ErrUnavailable):
		away = true
	case err == nil:
		pause = 0
	}
	d.log.Info("change of primary over", zap.String("group", string(g.id)), zap.Stringer("action", why),
		zap.String("target", string(target)), zap.Error(err))
	d.control.send(ctx, changed{group: g.id, pause: pause, storeAway: away})
}

func (d *Daemon) replace(ctx context.Context, g *groupView, why promotion.Action) (group.TargetID, error) {
	fence, err := d.takeClaim(ctx, g.id)
	if err != nil {
		return "", err
	}
	d.log.Info("claim taken", zap.String("group", string(g.id)), zap.Uint64("fence", uint64(fence)))
	defer d.closeClaim(ctx, g.id, fence)
	next, err := d.prepare(ctx, g, why)
	if err != nil {
		return "", err
	}
	id := next.meta.Load().ID
	if err := d.promoteAndWait(ctx, g, next, fence); err != nil {
		return id, err
	}
	return id, nil
}

// takeClaim writes a claim over one that is over, and returns the fencing token.
func (d *Daemon) takeClaim(ctx context.Context, g group.ID) (store.Version, error) {
	key := store.Key(claimPrefix + string(g))
	old, err := d.store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, fmt.Errorf("read claim: %w", err)
	}
	var c claim
	if err == nil {
		if err := json.Unmarshal(old.Value, &c); err != nil {
			d.warn("claim in the store", err)
		}
	}
	now := d.clk.Now()
	if c.Open && c.Holder != d.id && !d.claimSeen(g, old.Version, now) {
		return 0, fmt.Errorf("%w: %s", errClaimed, c.Holder)
	}
	fence, err := d.store.Put(ctx, key, encodeClaim(claim{Holder: d.id, Open: true}), old.Version)
	if errors.Is(err, store.ErrConflict) {
		return 0, fmt.Errorf("%w: %w", errClaimed, err)
	}
	if err != nil {
		return 0, fmt.Errorf("write claim: %w", err)
	}
	return fence, nil
}

// claimSeen notes an open claim and reports whether it was there for longer than it is respected.
func (d *Daemon) claimSeen(g group.ID, v store.Version, now clock.Millis) bool {
	d.claimsMu.Lock()
	defer d.claimsMu.Unlock()
	seen := d.claims[g]
	if seen.version != v {
		d.claims[g] = seenClaim{version: v, since: now}
		return false
	}
	return now-seen.since >= claimLife
}

// seenClaim is an open claim of another daemon and when it was first read.
type seenClaim struct {
	version store.Version
	since   clock.Millis
}

func (d *Daemon) closeClaim(ctx context.Context, g group.ID, fence store.Version) {
	_, err := d.store.Put(ctx, store.Key(claimPrefix+string(g)), encodeClaim(claim{Holder: d.id}), fence)
	if err != nil {
		d.warn("close claim", err)
	}
}

func encodeClaim(c claim) []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic("encode claim: " + err.Error()) // a struct of a string and a bool always encodes
	}
	return b
}

// prepare asks all targets, and returns the one to promote; before a hand-over it holds all that the primary has.
func (d *Daemon) prepare(ctx context.Context, g *groupView, why promotion.Action) (*target, error) {
	answers := d.askAll(ctx, g)
	newest := d.samples.term(g.id)
	list := make([]promotion.Member, len(g.targets))
	for i, t := range g.targets {
		a := &answers[i]
		list[i] = t.member(t.meta.Load().ID == g.leader)
		if why == promotion.Replace && (a.leads || list[i].Leader && a.heard) {
			return nil, errUnneeded
		}
		if a.report == nil {
			list[i].Draining = true // not to be promoted, as it did not say what it holds
			continue
		}
		list[i].Received = a.report.Received
		newest = max(newest, a.report.Received.Term)
	}
	sync := d.syncReplicas(g.id)
	if why == promotion.Replace && sync > 0 {
		// From here on no commit can be acknowledged that the targets have not told.
		d.pause(ctx, g, list, newest+1)
		defer d.resume(ctx, g, list)
	}
	if !promotion.Enough(list, sync) {
		return nil, fmt.Errorf("%w: too few replicas say what they hold", errNoSuccessor)
	}
	best := promotion.Best(list, newest)
	d.log.Info("successor", zap.String("group", string(g.id)), zap.Stringer("action", why), zap.Int("chosen", best),
		zap.Uint64("newest-term", uint64(newest)), zap.Any("targets", list))
	if best < 0 {
		return nil, errNoSuccessor
	}
	if why == promotion.HandOver {
		return d.handOver(ctx, g, g.targets[best])
	}
	return g.targets[best], nil
}

func (d *Daemon) syncReplicas(g group.ID) int {
	if cfg := d.view.Load().config; cfg != nil {
		return cfg.Groups[g].SyncReplicas
	}
	return 0
}

// pause stops the replicas that have answered from receiving, and notes what they hold then; one that does not obey counts as not heard.
func (d *Daemon) pause(ctx context.Context, g *groupView, list []promotion.Member, term position.Term) {
	for i, t := range g.targets {
		if list[i].Leader || list[i].Draining {
			continue
		}
		r, err := d.order(ctx, t, link.Command{Kind: link.Pause, Term: term})
		if err != nil {
			d.warnTarget("pause replica", g.id, list[i].ID, err)
			list[i].Draining = true
			continue
		}
		list[i].Received = r.Received
	}
}

// resume lets the replicas receive again, whatever became of the change.
func (d *Daemon) resume(ctx context.Context, g *groupView, list []promotion.Member) {
	for i, t := range g.targets {
		if list[i].Leader || list[i].Draining {
			continue
		}
		if _, err := d.order(ctx, t, link.Command{Kind: link.Resume}); err != nil {
			d.warnTarget("resume replica", g.id, list[i].ID, err)
		}
	}
}

// leads reports whether the target is still the one believed to lead its group.
func (v *view) leads(g group.ID, id group.TargetID) bool {
	gv := v.groups[g]
	return gv != nil && gv.leader == id
}

func (d *Daemon) askAll(ctx context.Context, g *groupView) []answer {
	answers := make([]answer, len(g.targets))
	var wg sync.WaitGroup
	for i, t := range g.targets {
		wg.Go(func() { answers[i] = d.ask(ctx, g, t, true) })
	}
	wg.Wait()
	return answers
}

// handOver makes the primary a replica and returns the target to promote: next once it has received all that the primary holds, or else the primary itself, so that nothing is lost.
func (d *Daemon) handOver(ctx context.Context, g *groupView, next *target) (*target, error) {
	old := g.target(g.leader)
	if old == nil {
		return nil, errNoSuccessor
	}
	before, err := d.order(ctx, old, link.Command{Kind: link.Status})
	if err != nil {
		return nil, fmt.Errorf("hand over: %w", err)
	}
	last, err := d.order(ctx, old, link.Command{Kind: link.Demote, Term: before.Term + 1})
	if err != nil {
		return nil, fmt.Errorf("hand over: %w", err)
	}
	d.log.Info("primary demoted", zap.String("group", string(g.id)), zap.String("target", string(g.leader)), zap.Stringer("received", last.Received))
	for until := d.clk.Now() + catchUpWait; d.clk.Now() < until; {
		r, err := d.order(ctx, next, link.Command{Kind: link.Status})
		if err == nil && r.Received.Reaches(last.Received) {
			return next, nil
		}
		if err := d.clk.Sleep(ctx, leadPoll/2); err != nil {
			return nil, fmt.Errorf("hand over: %w", err)
		}
	}
	d.log.Warn("successor lags, primary stays", zap.String("group", string(g.id)), zap.String("target", string(next.meta.Load().ID)))
	return old, nil
}

// order gives one command to a target and returns the report that answers it.
func (d *Daemon) order(ctx context.Context, t *target, c link.Command) (link.Report, error) {
	until := d.clk.Now() + probeTimeout
	conn, err := t.pool.Get(ctx, &noValues, until)
	if err != nil {
		return link.Report{}, fmt.Errorf("order: %w", err)
	}
	defer t.pool.Put(conn)
	r, err := conn.Run(until, nil, c)
	if err != nil {
		conn.Break()
		return link.Report{}, fmt.Errorf("order: %w", err)
	}
	if !r.Completed {
		return link.Report{}, fmt.Errorf("order: %s %s", r.Code, r.Text)
	}
	report, err := platform.ParseStatus(r.Row)
	if err != nil {
		return link.Report{}, fmt.Errorf("order: %w", err)
	}
	return report, nil
}

// promoteAndWait asks for the promotion under the claim and waits until the target leads.
func (d *Daemon) promoteAndWait(ctx context.Context, g *groupView, next *target, fence store.Version) error {
	id := next.meta.Load().ID
	for try := 1; ; try++ {
		err := d.promote(ctx, g.id, id, fence)
		d.log.Info("promotion asked", zap.String("group", string(g.id)), zap.String("target", string(id)),
			zap.Uint64("fence", uint64(fence)), zap.Int("try", try), zap.Error(err))
		if err == nil {
			return d.awaitLead(ctx, g, next, d.clk.Now()+leadWait)
		}
		if errors.Is(err, platform.ErrFenced) || try >= promoteTries {
			return err
		}
		if d.awaitLead(ctx, g, next, d.clk.Now()+retryPause) == nil {
			return nil
		}
	}
}

func (d *Daemon) awaitLead(ctx context.Context, g *groupView, next *target, until clock.Millis) error {
	id := next.meta.Load().ID
	for d.clk.Now() < until {
		if a := d.ask(ctx, g, next, false); a.leads {
			return nil
		}
		if err := d.clk.Sleep(ctx, leadPoll); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s does not lead in time", id)
}
