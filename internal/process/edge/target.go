package edge

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/connection/relay"
	"github.com/cactusfork/cactusfork/internal/connection/socket"
	"github.com/cactusfork/cactusfork/internal/request/admission"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/promotion"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// queueCapacity is how many statements may wait for a target in this daemon.
	queueCapacity = 256
	// minBackoff is how long a target gets no work after a first failure, in milliseconds; the time doubles up to maxBackoff.
	minBackoff clock.Millis = 50
	maxBackoff clock.Millis = 400
	// minSilence is how long a message must stay unanswered to count as a failure, in milliseconds. A target with a full queue takes about half of that.
	minSilence clock.Millis = 250
	// initialLatency is the estimated latency of a target before its first reply, in milliseconds.
	initialLatency = 20.0
	// minLatency is the lower bound of the latency estimate, in milliseconds.
	minLatency = 1.0
	// latencyDecayTime is the time without a reply after which the latency estimate counts half, in milliseconds.
	latencyDecayTime clock.Millis = 500
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.1
	// latencyDivisor divides the time that a statement has left to get the upper limit of its expected latency. A slower statement is better tried than refused.
	latencyDivisor = 4
	// maxWeight is the queue weight of statements of priority 0.
	maxWeight = 16
)

// target is one database server with what this daemon has observed of it.
type target struct {
	meta atomic.Pointer[topology.Target]
	pool *link.Pool
	gate *admission.Gate
	clk  *clock.Clock

	mu sync.Mutex
	// latency is the moving average of the latencies of statements, in milliseconds.
	latency float64
	// repliedAt is when the target last replied. failingSince is when its first failure after that came, and refusing whether the last failure was a refused connection.
	repliedAt    clock.Millis
	failingSince clock.Millis
	refusing     bool
	// backoff is the length of the last backoff. The target gets no new work before backoffUntil.
	backoff      clock.Millis
	backoffUntil clock.Millis
	// point is the last position that a reply showed, at pointAt.
	point   position.Point
	pointAt clock.Millis
	// receipt is what the target is known to have received.
	receipt promotion.Receipt
	// leaving is true while the target drains or its entry is gone. leavingSince is the earliest time at which that may have begun.
	leaving      bool
	leavingSince clock.Millis
	// drainLimit is how long after leavingSince the target may get work.
	drainLimit clock.Millis
	// costs holds the usual work of each route.
	costs *admission.Costs
	// graded is true if the stage and the cost of statements count at a full target.
	graded bool
	// usage measures this daemon's statements at the target, and choosers is how many daemons choose among the targets of the group.
	usage    placement.Usage
	choosers int
	// slowStart is the slow start after the last outage. held is true from its start until its end has been noticed.
	slowStart placement.SlowStart
	held      bool
}

func newTarget(m *topology.Target, pool *link.Pool, clk *clock.Clock, drainLimit clock.Millis) *target {
	t := &target{costs: admission.NewCosts(), drainLimit: drainLimit, pool: pool, gate: admission.NewGate(clk, m.Slots, queueCapacity), clk: clk, latency: initialLatency}
	t.meta.Store(m)
	return t
}

// candidate returns the target's state for placement.
func (t *target) candidate(primary bool) placement.Candidate {
	m := t.meta.Load()
	load := t.gate.Load()
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, _ := t.usage.Mean(now)
	return placement.Candidate{
		ID: m.ID, DataCentre: m.DataCentre, Slots: m.Slots, Primary: primary,
		Leaving: t.leaving, Departed: t.leaving && now-t.leavingSince > t.drainLimit,
		Failing: t.failingSince > 0, BackoffUntil: t.backoffUntil, Load: load.Total(),
		Latency: t.decayedLatency(now), Point: t.point, PointAt: t.pointAt,
		MeanLoad: mean, Choosers: t.choosers, SlowStart: t.slowStart,
	}
}

// member returns the target's state for the decision about a promotion.
func (t *target) member(primary bool) promotion.Member {
	m := t.meta.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	return promotion.Member{
		ID: m.ID, StartedAt: m.StartedAt, Draining: m.Draining, Leader: primary, Answered: t.repliedAt, FailingSince: t.failingSince,
		Refusing: t.refusing, Receipt: t.receipt,
	}
}

// recordReply records a reply and its latency; a latency of 0 means that the request took no slot.
func (t *target) recordReply(r *link.Reply, took clock.Millis) {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failingSince > 0 {
		t.startSlowly(now, now-t.failingSince)
	}
	t.repliedAt, t.failingSince, t.refusing, t.backoff, t.backoffUntil = now, 0, false, 0, 0
	if took > 0 && r.Completed {
		t.latency += latencyWeight * (float64(took) - t.latency)
	}
	if r.Point != (position.Point{}) {
		t.point, t.pointAt = r.Point, now
	}
	t.receipt.ObserveApplied(r.Point, now)
}

// recordReceived records the position that the target reports as received, in a status requested at sentAt.
func (t *target) recordReceived(p position.Point, sentAt clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receipt.ObserveStatus(p, sentAt, t.clk.Now())
}

// recordFailure records that a message sent at sentAt was not answered. It reports whether the target counts as failing, and whether this is its first failure since it last replied. It does not count as failing if it has replied since sentAt, or if the message timed out before minSilence.
func (t *target) recordFailure(sentAt clock.Millis, err error) (first, failing bool) {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.repliedAt > sentAt || socket.IsTimeout(err) && now-sentAt < minSilence {
		return false, false
	}
	first = t.failingSince == 0
	if first {
		t.failingSince = now
	}
	t.refusing = errors.Is(err, syscall.ECONNREFUSED)
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.backoffUntil = now + t.backoff
	return first, true
}

// receivedTerm returns the newest term of which the target is known to hold log; 0 if none is known.
func (t *target) receivedTerm() position.Term {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.receipt.Point.Term
}

// repliedSince reports whether the target has replied to anything at or after at.
func (t *target) repliedSince(at clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.repliedAt >= at
}

// outageSince returns when the target began to fail; 0 while it replies.
func (t *target) outageSince() clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failingSince
}

// backOff stops new work to the target for d without counting a failure.
func (t *target) backOff(d clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoffUntil = max(t.backoffUntil, t.clk.Now()+d)
}

// acquireSlot waits for one of the target's slots that this daemon may use, and returns the function that releases it. The statement is
// bound to the target.
func (t *target) acquireSlot(ctx context.Context, req *relay.LeaseRequest) (func(), error) {
	return t.acquireMeasuredSlot(ctx, req, false)
}

// acquireMeasuredSlot is acquireSlot for a statement that is movable if another target could serve it.
func (t *target) acquireMeasuredSlot(ctx context.Context, req *relay.LeaseRequest, movable bool) (func(), error) {
	t.useStarts(movable)
	release, err := t.waitForSlot(ctx, req)
	if err != nil {
		t.useEnds(movable)
		return nil, err
	}
	return sync.OnceFunc(func() {
		release()
		t.useEnds(movable)
	}), nil
}

func (t *target) waitForSlot(ctx context.Context, req *relay.LeaseRequest) (func(), error) {
	kind := admission.Read
	if req.Writes {
		kind = admission.Write
	}
	now := t.clk.Now()
	latency := min(t.expectedLatency(now), (req.Deadline-now)/latencyDivisor)
	startBy := max(1, req.SoftDeadline-2*latency)
	stage, cost := req.Stage, 0.0
	if t.graded {
		cost = t.costs.Of(req.Route)
	} else {
		stage = admission.Single
	}
	if stage == admission.Continues {
		startBy = 0
	}
	release, err := t.gate.Acquire(ctx, admission.Request{
		Weight: max(1, maxWeight-req.Priority), Kind: kind, Workspace: req.Workspace, Stage: stage, Cost: cost, StartBy: startBy, Deadline: req.Deadline - latency, ExpectedDuration: latency,
	})
	if err != nil {
		return nil, &statement.Refusal{Code: statement.Busy, Text: err.Error() + ", come back in 100 ms"}
	}
	return release, nil
}

// expectedLatency returns the expected latency of a statement at the target.
func (t *target) expectedLatency(now clock.Millis) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Millis(t.decayedLatency(now))
}

// meanLatency returns the moving average of the latencies of statements at the target, in milliseconds.
func (t *target) meanLatency() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latency
}

// decayedLatency returns the latency estimate in milliseconds. It decays while no reply confirms it, so that a target that was slow is tried again. The caller holds t.mu.
func (t *target) decayedLatency(now clock.Millis) float64 {
	return max(minLatency, t.latency/float64(1+max(0, now-t.repliedAt)/latencyDecayTime))
}

// setLeaving records whether the target is about to go, by a change that occurred after since. If since is 0 the time is unknown, and the target counts as past its drain limit.
func (t *target) setLeaving(leaving bool, since clock.Millis) {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if leaving && !t.leaving {
		t.leavingSince = since
		if since == 0 {
			t.leavingSince = now - t.drainLimit - 1
		}
	}
	t.leaving = leaving
}
