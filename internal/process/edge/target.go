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
	// queuePlaces is how many statements may wait for a target in this daemon.
	queuePlaces = 256
	// restAfterFailure is how long a target is left alone after a failure, in milliseconds; it doubles up to maxRest.
	restAfterFailure clock.Millis = 50
	maxRest          clock.Millis = 400
	// leastSilence is how long something must have been unanswered to count as a failure, in milliseconds: a target with a full queue takes about half of that.
	leastSilence clock.Millis = 250
	// firstLatency is the time of a statement at a target that has answered none, in milliseconds.
	firstLatency = 20.0
	// leastLatency is the least time that a target is held to take, in milliseconds.
	leastLatency = 1.0
	// latencyLife is after how long without an answer the usual time counts half, in milliseconds.
	latencyLife clock.Millis = 500
	// latencyWeight is the part of a new time in the usual one.
	latencyWeight = 0.1
	// usualPart is the part of the time left, one in so many, that a statement is held to take at most: one that is slower still is better tried than refused unheard.
	usualPart = 4
	// mostUrgent is the weight of work of priority 0.
	mostUrgent = 16
)

// target is one database server with what this daemon has learnt of it.
type target struct {
	meta atomic.Pointer[topology.Target]
	pool *link.Pool
	gate *admission.Gate
	clk  *clock.Clock

	mu           sync.Mutex
	latency      float64
	answered     clock.Millis
	failingSince clock.Millis
	refusing     bool
	rest         clock.Millis
	restUntil    clock.Millis
	place        position.Point
	placeAt      clock.Millis
	receipt      promotion.Receipt
	// leaving is true while the target drains or its entry is gone, at the latest since leavingSince.
	leaving      bool
	leavingSince clock.Millis
	// leaveLimit is how long after that it may be given work.
	leaveLimit clock.Millis
}

func newTarget(m *topology.Target, pool *link.Pool, clk *clock.Clock, leaveLimit clock.Millis) *target {
	t := &target{leaveLimit: leaveLimit, pool: pool, gate: admission.NewGate(clk, m.Slots, queuePlaces), clk: clk, latency: firstLatency}
	t.meta.Store(m)
	return t
}

// candidate is the target as placement sees it.
func (t *target) candidate(leader bool) placement.Candidate {
	m := t.meta.Load()
	load := t.gate.Load()
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return placement.Candidate{
		ID: m.ID, DataCentre: m.DataCentre, Slots: m.Slots, Leader: leader,
		Leaving: t.leaving, Left: t.leaving && now-t.leavingSince > t.leaveLimit,
		Failing: t.failingSince > 0, RestUntil: t.restUntil, Load: load.Total(),
		Latency: t.fadedLatency(now), Place: t.place, PlaceAt: t.placeAt,
	}
}

// member is the target as the decision about a promotion sees it.
func (t *target) member(leader bool) promotion.Member {
	m := t.meta.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	return promotion.Member{
		ID: m.ID, Draining: m.Draining, Leader: leader, Answered: t.answered, FailingSince: t.failingSince,
		Refusing: t.refusing, Receipt: t.receipt,
	}
}

// took notes an answer and how long it took; 0 for what takes no slot.
func (t *target) took(r *link.Reply, d clock.Millis) {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered, t.failingSince, t.refusing, t.rest, t.restUntil = now, 0, false, 0, 0
	if d > 0 && r.Completed {
		t.latency += latencyWeight * (float64(d) - t.latency)
	}
	if r.Point != (position.Point{}) {
		t.place, t.placeAt = r.Point, now
	}
	t.receipt.Applied(r.Point, now)
}

// reported notes what a status asked for at that time says that the target has received.
func (t *target) reported(p position.Point, asked clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receipt.Reported(p, asked, t.clk.Now())
}

// failed notes that something sent at that time was not answered, and reports whether the target fails by that and whether that is news; it does not when it has answered something sent later.
func (t *target) failed(sent clock.Millis, err error) (news, fails bool) {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answered > sent || socket.IsTimeout(err) && now-sent < leastSilence {
		return false, false
	}
	news = t.failingSince == 0
	if news {
		t.failingSince = now
	}
	t.refusing = errors.Is(err, syscall.ECONNREFUSED)
	t.rest = min(max(2*t.rest, restAfterFailure), maxRest)
	t.restUntil = now + t.rest
	return news, true
}

// answeredSince reports whether the target has answered anything at or after at.
func (t *target) answeredSince(at clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered >= at
}

// outageSince is when the target began to fail; 0 while it answers.
func (t *target) outageSince() clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failingSince
}

// leaveAlone keeps work away for a while, without holding the target for failed.
func (t *target) leaveAlone(d clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restUntil = max(t.restUntil, t.clk.Now()+d)
}

// enter waits for one of the target's slots that this daemon uses.
func (t *target) enter(ctx context.Context, w *relay.Work) (func(), error) {
	kind := admission.Read
	if w.Writes {
		kind = admission.Write
	}
	now := t.clk.Now()
	usual := min(t.usual(now), (w.Until-now)/usualPart)
	leave, err := t.gate.Enter(ctx, admission.Ticket{
		Weight: max(1, mostUrgent-w.Priority), Kind: kind, StartBy: max(1, w.InTime-2*usual), Deadline: w.Until - usual, Usual: usual,
	})
	if err != nil {
		return nil, &statement.Refusal{Code: statement.Busy, Text: err.Error() + ", come back in 100 ms"}
	}
	return leave, nil
}

// usual is the usual time of a statement at the target.
func (t *target) usual(now clock.Millis) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Millis(t.fadedLatency(now))
}

// fadedLatency is the usual time in milliseconds: one that nothing has confirmed for long fades, so that a target that was slow is tried again; t.mu is held.
func (t *target) fadedLatency(now clock.Millis) float64 {
	return max(leastLatency, t.latency/float64(1+max(0, now-t.answered)/latencyLife))
}

// leave notes whether the target is about to go, by a change that came after since; 0 when that is not known, so that it may have left long ago.
func (t *target) leave(leaving bool, since clock.Millis) {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if leaving && !t.leaving {
		t.leavingSince = since
		if since == 0 {
			t.leavingSince = now - t.leaveLimit - 1
		}
	}
	t.leaving = leaving
}
