package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform/standin"
)

const (
	copyInterval clock.Millis = 200
	// maxCopies is how many copies are kept, and so how old one can be.
	maxCopies = 40
	// maxOutage bounds an outage of the store, in milliseconds, and maxCalm the time between two. rewriteTime is the time within which targets and operator write again behind a restore.
	maxOutage   = 2500
	maxCalm     = 4000
	rewriteTime = 300
	// restoreShare is how many of ten outages end with a restore.
	restoreShare = 6
	// maxSilence bounds how long a primary is silent, in milliseconds.
	maxSilence = 2500
	// maxTermWait bounds the wait for the second primary, secondTermTime is how long it is served, and unknownTime how long daemons run that have not seen its term, in milliseconds. The latter is below the time after which a target counts as lost.
	maxTermWait    = 10_000
	secondTermTime = 1500
	unknownTime    = 6000
	// maxReplicaFault bounds how long a replica receives nothing, in milliseconds. Its entry may be forgotten in that time.
	maxReplicaFault = 7000
	// minLateTime and maxLateTime bound how long targets leave commands unanswered, and maxCommandDelay how late they carry them out, in
	// milliseconds. The primary is silent for longer than it takes to be replaced.
	minLateTime     = 1000
	maxLateTime     = 3500
	maxCommandDelay = 2000
	// promotionDelay is how long a promotion takes with synchronous commits, in milliseconds.
	promotionDelay = 600
	// maxFaultGap bounds the time between two faults of a series, in milliseconds.
	maxFaultGap = 4000
)

// copies holds the latest copies of the store, oldest first.
type copies struct {
	s    *soak
	mu   sync.Mutex
	list []*standin.Copy
}

func newCopies(s *soak) *copies { return &copies{s: s, list: []*standin.Copy{s.store.Copy()}} }

// collect copies the store until the run's faults end.
func (c *copies) collect(ctx context.Context) {
	for {
		select {
		case <-c.s.stopped:
			return
		case <-ctx.Done():
			return
		case <-c.s.clk.After(copyInterval):
		}
		c.mu.Lock()
		c.list = append(c.list, c.s.store.Copy())
		c.list = c.list[max(0, len(c.list)-maxCopies):]
		c.mu.Unlock()
	}
}

func (c *copies) pick(r *rand.Rand) *standin.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list[r.IntN(len(c.list))]
}

// disturbStore makes the store unavailable for a while. Often it comes back from a copy, and a configuration follows at once.
func (s *soak) disturbStore(ctx context.Context, r *rand.Rand) {
	if s.clk.Sleep(ctx, clock.Millis(r.IntN(maxCalm))) != nil {
		return
	}
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	faults := []standin.Fault{{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {LoseResponse: true}, {Hang: true}}
	fault := faults[r.IntN(len(faults))]
	// Limits do not hold while the store is disturbed; the end is set once it is known.
	s.storeCalmAt.Store(int64(s.clk.Now() + maxOutage + 2*rewriteTime))
	s.store.SetFault(func(*http.Request) standin.Fault { return fault })
	s.outages.Add(1)
	_ = s.clk.Sleep(ctx, clock.Millis(r.IntN(maxOutage))) // the end of ctx only shortens the outage
	if r.IntN(10) >= restoreShare {
		s.store.SetFault(nil)
		s.storeCalmAt.Store(int64(s.clk.Now()))
		return
	}
	s.restores.Add(1)
	s.store.Restore(s.config.copies.pick(r))
	// Targets and operator may be back before the daemons.
	backFirst := r.IntN(2) == 0
	if backFirst {
		s.writeAgain(ctx, r)
	}
	s.store.SetFault(nil)
	if !backFirst {
		s.writeAgain(ctx, r)
	}
	s.storeCalmAt.Store(int64(s.clk.Now()))
}

// writeAgain has the targets and the operator write what a restore has lost.
func (s *soak) writeAgain(ctx context.Context, r *rand.Rand) {
	_ = s.clk.Sleep(ctx, clock.Millis(r.IntN(rewriteTime))) // the end of ctx only shortens the pause
	writes := []func(){s.group.WriteEntries, s.config.repeat}
	if r.IntN(2) == 0 {
		writes[1] = s.config.publish
	}
	r.Shuffle(len(writes), func(i, j int) { writes[i], writes[j] = writes[j], writes[i] })
	for _, write := range writes {
		write()
	}
}

// restartDaemon stops a daemon in the usual way and starts it again.
func (s *soak) restartDaemon(ctx context.Context, r *rand.Rand) {
	if s.clk.Sleep(ctx, clock.Millis(r.IntN(maxFaultGap))) != nil {
		return
	}
	s.restarts.Add(1)
	s.fleet[r.IntN(len(s.fleet))].restart(ctx)
}

// silencePrimary keeps the primary from answering for a while.
func (s *soak) silencePrimary(ctx context.Context, r *rand.Rand) {
	if s.clk.Sleep(ctx, clock.Millis(r.IntN(maxFaultGap))) != nil {
		return
	}
	s.primaryMu.Lock()
	defer s.primaryMu.Unlock()
	p := s.group.Primary()
	if p == nil {
		return
	}
	s.primaryFaults.Add(1)
	p.SetSilent(true)
	_ = s.clk.Sleep(ctx, clock.Millis(r.IntN(maxSilence))) // the end of ctx only shortens the fault
	p.SetSilent(false)
}

// silenceReplica keeps a target that is not the primary from receiving for a while, often also from answering, and may remove its entry.
func (s *soak) silenceReplica(ctx context.Context, r *rand.Rand) {
	if s.clk.Sleep(ctx, clock.Millis(r.IntN(maxFaultGap))) != nil {
		return
	}
	t := s.group.Targets[r.IntN(groupTargets)]
	if t == s.group.Primary() {
		return
	}
	s.replicaFaults.Add(1)
	t.SetReplicationPaused(true)
	t.SetSilent(r.IntN(2) == 0)
	if r.IntN(3) == 0 {
		s.store.DeleteTarget(t.ID)
	}
	_ = s.clk.Sleep(ctx, clock.Millis(r.IntN(maxReplicaFault))) // the end of ctx only shortens the fault
	t.SetReplicationPaused(false)
	t.SetSilent(false)
	s.group.WriteEntries()
}

// delayCommands keeps the primary from answering for a while in which targets leave half of the commands unanswered, and carry these out
// late. The store is not restored meanwhile, as that loses which of them are outstanding.
func (s *soak) delayCommands(ctx context.Context, r *rand.Rand) {
	if s.clk.Sleep(ctx, clock.Millis(r.IntN(2*maxFaultGap))) != nil {
		return
	}
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.primaryMu.Lock()
	defer s.primaryMu.Unlock()
	p := s.group.Primary()
	if p == nil {
		return
	}
	length := minLateTime + clock.Millis(r.IntN(maxLateTime-minLateTime))
	var mu sync.Mutex // guards r: targets call the function at the same time
	for _, t := range s.group.Targets {
		t.SetLate(func(string) <-chan struct{} {
			mu.Lock()
			defer mu.Unlock()
			if r.IntN(2) == 0 {
				return nil
			}
			s.lateCommands.Add(1)
			return s.clk.After(clock.Millis(r.IntN(maxCommandDelay)))
		})
	}
	p.SetSilent(true)
	_ = s.clk.Sleep(ctx, length) // the end of ctx only shortens the fault
	p.SetSilent(false)
	for _, t := range s.group.Targets {
		t.SetLate(nil)
	}
	_ = s.clk.Sleep(ctx, maxCommandDelay)
}

// delayPromotions has each promotion take some time after it was accepted, unless a later one is accepted meanwhile.
func (s *soak) delayPromotions(ctx context.Context) {
	promote, accepted := s.store.Promote, atomic.Int64{}
	s.store.Promote = func(service, id string) int {
		n := accepted.Add(1)
		go func() {
			if s.clk.Sleep(ctx, promotionDelay) == nil && accepted.Load() == n {
				promote(service, id)
			}
		}()
		return http.StatusOK
	}
}

// forgetTerm has a primary replaced that is cut off. Then the other targets are cut off and their entries expire, the first primary is
// back with its log of the earlier term, and all daemons start again, so that none has seen the newest one. Commits of that term must
// not be lost. It does so once a run, as the store has to stay calm meanwhile: a restore would lose what no daemon knows.
func (s *soak) forgetTerm(ctx context.Context, r *rand.Rand) {
	if s.clk.Sleep(ctx, clock.Millis(r.IntN(maxFaultGap))) != nil || s.forgottenTerms.Load() > 0 {
		return
	}
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.primaryMu.Lock()
	defer s.primaryMu.Unlock()
	first := s.group.Primary()
	if first == nil {
		return
	}
	setCutOff(first, true)
	second := first
	for limit := s.clk.Now() + maxTermWait; second == first && s.clk.Now() < limit; {
		if s.clk.Sleep(ctx, probeInterval) != nil {
			break
		}
		second = s.group.Primary()
	}
	if second == nil || second == first {
		setCutOff(first, false)
		return
	}
	_ = s.clk.Sleep(ctx, secondTermTime)
	s.forgottenTerms.Add(1)
	// The primary is the first to be cut off and the first to be back, so that the replica between them lacks none of its commits.
	others := slices.DeleteFunc(slices.Clone(s.group.Targets), func(t *standin.Target) bool { return t == first || t == second })
	others = append([]*standin.Target{second}, others...)
	for _, t := range others {
		setCutOff(t, true)
		s.store.DeleteTarget(t.ID)
	}
	setCutOff(first, false)
	for _, d := range s.fleet {
		d.restart(ctx)
	}
	_ = s.clk.Sleep(ctx, unknownTime)
	for _, t := range others {
		setCutOff(t, false)
	}
	s.group.CatchUp()
	s.group.WriteEntries()
	s.storeCalmAt.Store(int64(s.clk.Now()))
}

// setCutOff makes a target answer and receive nothing, or both again.
func setCutOff(t *standin.Target, cutOff bool) {
	t.SetSilent(cutOff)
	t.SetReplicationPaused(cutOff)
}
