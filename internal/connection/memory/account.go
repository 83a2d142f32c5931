package memory

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Errors of Draw.
var (
	// ErrShort means that the account has not had the bytes in time.
	ErrShort = errors.New("daemon is short of memory")
	// ErrRejected means that the holder was closed to free its bytes.
	ErrRejected = errors.New("closed to free memory")
)

// decisionInterval is the time between two decisions while buffers wait, in milliseconds. Each looks at all callers.
const decisionInterval clock.Millis = 20

// forcedWait is how long a reply of a target waits for bytes, in milliseconds. Its buffers grow in several steps, and its slot stays
// taken meanwhile.
const forcedWait clock.Millis = 100

// Reason says why a caller was rejected.
type Reason string

// The reasons.
const (
	// Stalled is a caller that was closed because it held memory without progress.
	Stalled Reason = "stalled"
	// Refused is a message or reply that was dropped because the account was short.
	Refused Reason = "refused"
)

// Account is the byte account of a daemon. A nil account grants everything.
type Account struct {
	limits Limits
	clk    *clock.Clock
	// onReject is called, with the account locked, for each rejection with the bytes that the caller held.
	onReject func(r Reason, bytes int64)
	used     atomic.Int64
	// waiting is the number of waiters.
	waiting atomic.Int64

	mu      sync.Mutex
	holders map[*Holder]struct{}
	// waiters are in the order of their arrival.
	waiters     []*waiter
	nextDecided clock.Millis
}

// waiter is a draw that waits for bytes.
type waiter struct {
	holder *Holder
	bytes  int64
	// result receives the outcome.
	result chan error
}

// Holder is the part of the account that one connection holds. A nil holder grants everything. Close may be called by any goroutine,
// the other methods by one at a time.
type Holder struct {
	account *Account
	bytes   atomic.Int64
	// messages counts the messages completed and replies read.
	messages atomic.Uint64
	// drawnAt is when the caller first drew bytes behind its last progress, as clock.Millis, and drawnAfter the value of messages then.
	drawnAt, drawnAfter atomic.Int64
	// working is true while the daemon works on a message of the caller.
	working atomic.Bool
	// gone is true once the holder is closed; nothing is charged to it any more.
	gone atomic.Bool
	// reject closes the connection; nil for a connection of the daemon itself, which is never rejected.
	reject func()

	// The account's mu guards the fields below. seen is the value of messages at the last decision that found it changed, at since.
	seen     uint64
	since    clock.Millis
	rejected bool
}

// NewAccount returns an account. The function onReject must not block and may be nil.
func NewAccount(l Limits, clk *clock.Clock, onReject func(r Reason, bytes int64)) *Account {
	if onReject == nil {
		onReject = func(Reason, int64) {}
	}
	return &Account{limits: l, clk: clk, onReject: onReject, holders: make(map[*Holder]struct{})}
}

// Used returns the bytes in use.
func (a *Account) Used() int64 { return a.used.Load() }

// Limit returns the size of the account.
func (a *Account) Limit() int64 { return a.limits.Bytes }

// Open returns a holder that holds the given bytes; reject closes its connection. Its bytes are granted in any case, as the number of
// sessions has a limit of its own.
func (a *Account) Open(bytes int, reject func()) *Holder {
	if a == nil {
		return nil
	}
	h := &Holder{account: a, reject: reject}
	h.Force(bytes)
	if reject == nil {
		return h
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// Draw takes n bytes, for which it may wait for the account's time. Its error is ErrShort or ErrRejected.
func (h *Holder) Draw(n int) error {
	if h == nil || n <= 0 || h.take(int64(n)) {
		return nil
	}
	return h.account.await(h, int64(n), h.account.limits.Wait)
}

// DrawOrForce waits a moment for n bytes and then takes them in any case. It is for replies of targets, whose number is limited.
func (h *Holder) DrawOrForce(n int) {
	if h == nil || n <= 0 || h.take(int64(n)) {
		return
	}
	if h.account.await(h, int64(n), forcedWait) != nil {
		h.Force(n)
	}
}

// Force takes n bytes in any case.
func (h *Holder) Force(n int) {
	if h == nil {
		return
	}
	if h.gone.Load() {
		return
	}
	h.bytes.Add(int64(n))
	h.account.used.Add(int64(n))
}

// Release gives back n bytes, or what is left of them.
func (h *Holder) Release(n int) {
	if h == nil || n <= 0 {
		return
	}
	for {
		holds := h.bytes.Load()
		freed := min(holds, int64(n))
		if h.bytes.CompareAndSwap(holds, holds-freed) {
			h.account.free(freed)
			return
		}
	}
}

// Progress records that the caller completed a message or has read a reply.
func (h *Holder) Progress() {
	if h != nil {
		h.messages.Add(1)
	}
}

// SetWorking records whether the daemon works on a message of the caller.
func (h *Holder) SetWorking(working bool) {
	if h != nil {
		h.working.Store(working)
	}
}

// Close gives back all bytes. Further calls change nothing.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	a := h.account
	h.gone.Store(true)
	a.mu.Lock()
	delete(a.holders, h)
	a.mu.Unlock()
	a.free(h.bytes.Swap(0))
}

// take takes n bytes if the account allows it.
func (h *Holder) take(n int64) bool {
	if h.gone.Load() {
		return true
	}
	a := h.account
	if used := a.used.Add(n); !a.limits.allows(used, h.bytes.Load()+n) {
		a.used.Add(-n)
		return false
	}
	h.bytes.Add(n)
	if after := int64(h.messages.Load()) + 1; h.drawnAfter.Load() != after {
		h.drawnAt.Store(int64(a.clk.Now()))
		h.drawnAfter.Store(after)
	}
	if h.gone.Load() {
		a.free(h.bytes.Swap(0)) // Close ran meanwhile
	}
	return true
}

// free gives back n bytes and grants them to waiters.
func (a *Account) free(n int64) {
	a.used.Add(-n)
	if a.waiting.Load() == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grant()
}

// await waits until n bytes are granted, for at most the given time.
func (a *Account) await(h *Holder, n int64, wait clock.Millis) error {
	w := &waiter{holder: h, bytes: n, result: make(chan error, 1)}
	end := a.clk.Now() + wait
	a.mu.Lock()
	if h.rejected {
		a.mu.Unlock()
		return ErrRejected
	}
	a.waiters = append(a.waiters, w)
	a.waiting.Add(1)
	a.grant()
	a.mu.Unlock()
	for {
		select {
		case err := <-w.result:
			return err
		case <-a.clk.After(decisionInterval):
		}
		now := a.clk.Now()
		a.mu.Lock()
		a.decide(now)
		a.grant()
		if now >= end {
			if i := slices.Index(a.waiters, w); i >= 0 {
				a.end(i, ErrShort)
				if h.reject != nil {
					a.onReject(Refused, h.bytes.Load())
				}
				a.grant()
			}
		}
		a.mu.Unlock()
	}
}

// grant gives bytes to waiters in their order. Those of ordinary callers do not wait for larger ones before them. The caller holds a.mu.
func (a *Account) grant() {
	blocked := false
	for i := 0; i < len(a.waiters); {
		w := a.waiters[i]
		ordinary := w.holder.bytes.Load()+w.bytes <= ordinaryBytes
		if blocked && !ordinary || !w.holder.take(w.bytes) {
			blocked = blocked || !ordinary
			i++
			continue
		}
		a.end(i, nil)
	}
}

// end removes a waiter and tells it the result; the caller holds a.mu.
func (a *Account) end(i int, result error) {
	a.waiters[i].result <- result
	a.waiters = slices.Delete(a.waiters, i, i+1)
	a.waiting.Add(-1)
}

// decide closes the callers that Reject names for the first waiter; the caller holds a.mu.
func (a *Account) decide(now clock.Millis) {
	if now < a.nextDecided || len(a.waiters) == 0 {
		return
	}
	a.nextDecided = now + decisionInterval
	// The reserve is not available to a large caller, so its bytes count as used.
	need := a.used.Load() + a.waiters[0].bytes - (a.limits.Bytes - a.limits.Bytes/reserveDivisor)
	var holders []*Holder
	var holdings []Holding
	for h := range a.holders {
		if n := h.messages.Load(); n != h.seen || h.since == 0 {
			h.seen, h.since = n, now
		}
		if h.rejected {
			need -= h.bytes.Load() // about to be closed
			continue
		}
		since := h.since
		if h.drawnAfter.Load() == int64(h.messages.Load())+1 {
			since = max(since, clock.Millis(h.drawnAt.Load()))
		}
		holders = append(holders, h)
		holdings = append(holdings, Holding{Bytes: h.bytes.Load(), Since: since, Working: h.working.Load()})
	}
	first := a.waiters[0]
	ordinary := first.holder.bytes.Load()+first.bytes <= ordinaryBytes
	for _, i := range Reject(now, a.limits, need, ordinary, holdings) {
		h := holders[i]
		h.rejected = true
		a.onReject(Stalled, holdings[i].Bytes)
		if n := slices.IndexFunc(a.waiters, func(w *waiter) bool { return w.holder == h }); n >= 0 {
			a.end(n, ErrRejected)
		}
		h.reject()
	}
}
