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
	// minBackoff is how long a target is left alone after a failure, in milliseconds; it doubles up to maxBackoff.
	minBackoff clock.Millis = 50
	maxBackoff clock.Millis = 400
	// minSilence is how long something must have been unanswered to count as a failure, in milliseconds: a target with a full queue takes about half of that.
	minSilence clock.Millis = 250
	// initialLatency is the time of a statement at a target that has answered none, in milliseconds.
	initialLatency = 20.0
	// minLatency is the least time that a target is held to take, in milliseconds.
	minLatency = 1.0
	// latencyDecayTime is after how long without an answer the usual time counts half, in milliseconds.
	latencyDecayTime clock.Millis = 500
	// latencyWeight is the part of a new time in the usual one.
	latencyWeight = 0.1
	// latencyDivisor is the part of the time left, one in so many, that a statement is held to take at most: one that is slower still is better tried than refused unheard.
	latencyDivisor = 4
	// maxWeight is the weight of work of priority 0.
	maxWeight = 16
)

// target is one database server with what this daemon has learnt of it.
type target struct {
	meta atomic.Pointer[topology.Target]
	pool *link.Pool
	gate *admission.Gate
	clk  *clock.Clock

	mu           sync.Mutex
	latency      float64
	repliedAt    clock.Millis
	failingSince clock.Millis
	refusing     bool
	backoff      clock.Millis
	backoffUntil clock.Millis
	point        position.Point
	pointAt      clock.Millis
	receipt      promotion.Receipt
	// leaving is true while the target drains or its entry is gone, at the latest since leavingSince.
	leaving      bool
	leavingSince clock.Millis
	// drainLimit is how long after that it may be given work.
	drainLimit clock.Millis
}

func newTarget(m *topology.Target, pool *link.Pool, clk *clock.Clock, drainLimit clock.Millis) *target {
	t := &target{drainLimit: drainLimit, pool: pool, gate: admission.NewGate(clk, m.Slots, queueCapacity), clk: clk, latency: initialLatency}
	t.meta.Store(m)
	return t
}

// candidate is the target as placement sees it.
func (t *target) candidate(primary bool) placement.Candidate {
	m := t.meta.Load()
	load := t.gate.Load()
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return placement.Candidate{
		ID: m.ID, DataCentre: m.DataCentre, Slots: m.Slots, Leader: primary,
		Leaving: t.leaving, Left: t.leaving && now-t.leavingSince > t.drainLimit,
		Failing: t.failingSince > 0, RestUntil: t.backoffUntil, Load: load.Total(),
		Latency: t.decayedLatency(now), Place: t.point, PlaceAt: t.pointAt,
	}
}

// member is the target as the decision about a promotion sees it.
func (t *target) member(primary bool) promotion.Member {
	m := t.meta.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	return promotion.Member{
		ID: m.ID, Draining: m.Draining, Leader: primary, Answered: t.repliedAt, FailingSince: t.failingSince,
		Refusing: t.refusing, Receipt: t.receipt,
	}
}

// recordReply notes an answer and how long it took; 0 for what takes no slot.
func (t *target) recordReply(r *link.Reply, took clock.Millis) {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.repliedAt, t.failingSince, t.refusing, t.backoff, t.backoffUntil = now, 0, false, 0, 0
	if took > 0 && r.Completed {
		t.latency += latencyWeight * (float64(took) - t.latency)
	}
	if r.Point != (position.Point{}) {
		t.point, t.pointAt = r.Point, now
	}
	t.receipt.Applied(r.Point, now)
}

// recordReceived notes what a status asked for at that time says that the target has received.
func (t *target) recordReceived(p position.Point, sentAt clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receipt.Reported(p, sentAt, t.clk.Now())
}

// recordFailure notes that something sent at that time was not answered, and reports whether the target fails by that and whether that is news; it does not when it has answered something sent later.
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

// repliedSince reports whether the target has answered anything at or after at.
func (t *target) repliedSince(at clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.repliedAt >= at
}

// outageSince is when the target began to fail; 0 while it answers.
func (t *target) outageSince() clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failingSince
}

// backOff keeps work away for a while, without holding the target for failed.
func (t *target) backOff(d clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoffUntil = max(t.backoffUntil, t.clk.Now()+d)
}

// acquireSlot waits for one of the target's slots that this daemon uses.
func (t *target) acquireSlot(ctx context.Context, w *relay.Work) (func(), error) {
	kind := admission.Read
	if w.Writes {
		kind = admission.Write
	}
	now := t.clk.Now()
	latency := min(t.expectedLatency(now), (w.Until-now)/latencyDivisor)
	release, err := t.gate.Enter(ctx, admission.Ticket{
		Weight: max(1, maxWeight-w.Priority), Kind: kind, StartBy: max(1, w.InTime-2*latency), Deadline: w.Until - latency, Usual: latency,
	})
	if err != nil {
		return nil, &statement.Refusal{Code: statement.Busy, Text: err.Error() + ", come back in 100 ms"}
	}
	return release, nil
}

// expectedLatency is the usual time of a statement at the target.
func (t *target) expectedLatency(now clock.Millis) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Millis(t.decayedLatency(now))
}

// decayedLatency is the usual time in milliseconds: one that nothing has confirmed for long fades, so that a target that was slow is tried again; t.mu is held.
func (t *target) decayedLatency(now clock.Millis) float64 {
	return max(minLatency, t.latency/float64(1+max(0, now-t.repliedAt)/latencyDecayTime))
}

// setLeaving notes whether the target is about to go, by a change that came after since; 0 when that is not known, so that it may have left long ago.
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
