package memory

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// caller is a caller of a replay. It sends a message of size bytes at rate bytes per tick and stops once it has sent upTo.
type caller struct {
	size, rate, upTo int64
	holds, sent      int64
	since            clock.Millis
	served           int
	closed           bool
}

// replay runs 10 s of a load against an account of 32 MiB. Callers take turns and hold what they have sent of their message until its
// end. It returns how many messages the last caller, the ordinary one, completed, and how often callers were closed.
func replay(callers []*caller, reject func(now clock.Millis, l Limits, need int64, holdings []Holding) []int) (served, closed int) {
	l := Limits{Bytes: 32 * mebibyte, Stall: clock.Second, Wait: clock.Second}
	used := int64(0)
	for now := clock.Millis(0); now < 10*clock.Second; now += decisionInterval {
		need := int64(0)
		for _, c := range callers {
			n := min(c.rate, c.upTo-c.sent)
			if c.closed || n <= 0 {
				continue
			}
			if !l.allows(used+n, c.holds+n) {
				need += n
				continue
			}
			used, c.holds, c.sent = used+n, c.holds+n, c.sent+n
			if c.sent == c.size {
				used, c.holds, c.sent, c.since = used-c.holds, 0, 0, now
				c.served++
			}
		}
		if need == 0 {
			continue
		}
		holdings := make([]Holding, len(callers))
		for i, c := range callers {
			holdings[i] = Holding{Bytes: c.holds, Since: c.since}
		}
		for _, i := range reject(now, l, need, holdings) {
			used -= callers[i].holds
			callers[i].holds, callers[i].closed = 0, true
			closed++
		}
	}
	return callers[len(callers)-1].served, closed
}

// stopped returns 100 callers that stop 1 byte before the end of messages of 1 MiB, and one that completes messages of 512 KiB.
func stopped() []*caller {
	var all []*caller
	for range 100 {
		all = append(all, &caller{size: mebibyte, rate: 256 << 10, upTo: mebibyte - 1})
	}
	return append(all, &caller{size: 512 << 10, rate: 128 << 10, upTo: 512 << 10})
}

// Guards against messages that stop before their end and fill the account for good, so that a caller that completes its own is not
// served again.
func TestStalledCallersMakeRoom(t *testing.T) {
	callers := stopped()
	served, closed := replay(callers, Reject)
	if served < 50 {
		t.Errorf("got %d messages of the ordinary caller served, want at least 50", served)
	}
	if callers[len(callers)-1].closed || closed == 0 {
		t.Errorf("got the ordinary caller closed: %t, %d callers closed, want false and some", callers[len(callers)-1].closed, closed)
	}
	without, _ := replay(stopped(), func(clock.Millis, Limits, int64, []Holding) []int { return nil })
	if without >= served/2 {
		t.Errorf("got %d messages served with the decision and %d without it, want less than half without it", served, without)
	}
}

// Guards against closing a caller that makes progress, or an ordinary one before one that holds much, and closing more than needed.
func TestRejectOrder(t *testing.T) {
	l := LimitsFor(136)
	const now = 10 * clock.Second
	tests := []struct {
		name     string
		need     int64
		holdings []Holding
		want     []int
	}{
		{"progress", mebibyte, []Holding{{mebibyte, now - 500}, {2 * mebibyte, now}}, nil},
		{"holds most", mebibyte, []Holding{{mebibyte, now - 2000}, {2 * mebibyte, now - 2000}}, []int{1}},
		{"stalled longest", mebibyte, []Holding{{mebibyte, now - 9000}, {2 * mebibyte, now - 2000}}, []int{0}},
		{"as many as needed", 3 * mebibyte, []Holding{{mebibyte, now - 2000}, {2 * mebibyte, now - 2000}, {mebibyte, now - 1500}}, []int{1, 0}},
		{"ordinary last", mebibyte, []Holding{{60 << 10, now - 9000}, {70 << 10, now - 1000}}, []int{1, 0}},
		{"idle session", mebibyte, []Holding{{SessionBytes, now - 9000}}, nil},
		{"nothing needed", 0, []Holding{{mebibyte, now - 9000}}, nil},
	}
	for _, tt := range tests {
		if got := Reject(now, l, tt.need, tt.holdings); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v rejected, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against an account that is exceeded, that starves ordinary callers, or that leaves a draw waiting for ever.
func TestAccountIsShared(t *testing.T) {
	var reasons []Reason
	a := NewAccount(Limits{Bytes: 8 * mebibyte, Stall: 100, Wait: 300}, clock.System(), func(r Reason, _ int64) { reasons = append(reasons, r) })
	closed := make(chan struct{})
	large := a.Open(SessionBytes, func() { close(closed) })
	if err := large.Draw(6 * mebibyte); err != nil {
		t.Fatalf("got %v for 6 of 8 MiB, want none", err)
	}
	small := a.Open(SessionBytes, func() {})
	if err := small.Draw(32 << 10); err != nil {
		t.Errorf("got %v for an ordinary caller, want none", err)
	}
	other := a.Open(SessionBytes, func() {})
	done := make(chan error, 1)
	go func() { done <- other.Draw(4 * mebibyte) }()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("got the stalled caller open, want it closed")
	}
	large.Close()
	if err := <-done; err != nil {
		t.Errorf("got %v for a draw that waited, want none", err)
	}
	if err := small.Draw(8 * mebibyte); !errors.Is(err, ErrRejected) {
		t.Errorf("got %v for more than the account by a caller that holds the most, want %v", err, ErrRejected)
	}
	other.Close()
	other.Close()
	small.Close()
	if got := a.Used(); got != 0 {
		t.Errorf("got %d bytes in use behind all closes, want 0", got)
	}
	if want := []Reason{Stalled, Stalled, Stalled}; !slices.Equal(reasons, want) {
		t.Errorf("got %v, want %v", reasons, want)
	}
}

// Guards against a draw that waits for ever while nobody is stalled.
func TestDrawIsRefusedInTime(t *testing.T) {
	var reasons []Reason
	a := NewAccount(Limits{Bytes: 8 * mebibyte, Stall: 60 * clock.Second, Wait: 100}, clock.System(), func(r Reason, _ int64) { reasons = append(reasons, r) })
	h := a.Open(SessionBytes, func() {})
	if err := h.Draw(9 * mebibyte); !errors.Is(err, ErrShort) {
		t.Errorf("got %v for more than the account, want %v", err, ErrShort)
	}
	if want := []Reason{Refused}; !slices.Equal(reasons, want) {
		t.Errorf("got %v, want %v", reasons, want)
	}
}

// Guards against a nil account, which tests and tools use, that fails.
func TestNilAccountGrantsAll(t *testing.T) {
	var a *Account
	h := a.Open(SessionBytes, nil)
	if err := h.Draw(mebibyte); err != nil {
		t.Errorf("got %v, want none", err)
	}
	h.Release(mebibyte)
	h.Progress()
	h.Close()
}
