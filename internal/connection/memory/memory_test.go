package memory

import (
	"errors"
	"slices"
	"sync/atomic"
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
func replay(callers []*caller, reject func(now clock.Millis, l Limits, need int64, ordinary bool, holdings []Holding) []int) (served, closed int) {
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
		for _, i := range reject(now, l, need, false, holdings) {
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
	without, _ := replay(stopped(), func(clock.Millis, Limits, int64, bool, []Holding) []int { return nil })
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
		ordinary bool
		holdings []Holding
		want     []int
	}{
		{"progress", mebibyte, false, []Holding{{mebibyte, now - 500, false}, {2 * mebibyte, now, false}}, nil},
		{"holds most", mebibyte, false, []Holding{{mebibyte, now - 2000, false}, {2 * mebibyte, now - 2000, false}}, []int{1}},
		{"stalled longest", mebibyte, false, []Holding{{mebibyte, now - 9000, false}, {2 * mebibyte, now - 2000, false}}, []int{0}},
		{"as many as needed", 3 * mebibyte, false, []Holding{{mebibyte, now - 2000, false}, {2 * mebibyte, now - 2000, false}, {mebibyte, now - 1500, false}}, []int{1, 0}},
		{"ordinary last", mebibyte, true, []Holding{{60 << 10, now - 9000, false}, {70 << 10, now - 1000, false}}, []int{1, 0}},
		{"ordinary not for a large one", mebibyte, false, []Holding{{60 << 10, now - 9000, false}, {26 << 10, now - 4000, false}}, nil},
		{"daemon works for it", mebibyte, false, []Holding{{mebibyte, now - 9000, true}}, nil},
		{"idle session", mebibyte, true, []Holding{{SessionBytes, now - 9000, false}}, nil},
		{"nothing needed", 0, false, []Holding{{mebibyte, now - 9000, false}}, nil},
	}
	for _, tt := range tests {
		if got := Reject(now, l, tt.need, tt.ordinary, tt.holdings); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v rejected, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against an account that is exceeded, that starves ordinary callers, or that leaves a draw waiting for ever.
func TestAccountIsShared(t *testing.T) {
	var reasons []Reason
	// No draw of the test waits until it is refused. With a wait of 300 ms, a busy machine came too late to close the stalled caller.
	a := NewAccount(Limits{Bytes: 8 * mebibyte, Stall: 100, Wait: 60 * clock.Second}, clock.System(), func(r Reason, _ int64) { reasons = append(reasons, r) })
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
	if err := small.Draw(40 << 10); err != nil {
		t.Errorf("got %v for a little more, want none", err)
	}
	time.Sleep((2 * a.limits.Stall).Duration()) // both callers count as stalled then
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

// Guards against a caller that was quiet between two shortages and counts as stalled as soon as it begins its next message.
func TestQuietCallerIsNotStalled(t *testing.T) {
	// The stall time is many times that of the waits below, so that a busy machine does not make the caller stall.
	a := NewAccount(Limits{Bytes: 8 * mebibyte, Stall: 2 * clock.Second, Wait: 60 * clock.Second}, clock.System(), nil)
	var closed atomic.Bool
	quiet := a.Open(SessionBytes, func() { closed.Store(true) })
	other := a.Open(0, nil)
	other.Force(7 * mebibyte)
	first := a.Open(SessionBytes, func() {})
	done := make(chan error, 1)
	go func() { done <- first.Draw(512 << 10) }()
	time.Sleep(5 * decisionInterval.Duration()) // a shortage in which quiet is seen
	other.Release(mebibyte)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	first.Close()
	time.Sleep((2 * a.limits.Stall).Duration())
	if err := quiet.Draw(128 << 10); err != nil {
		t.Fatal(err)
	}
	other.Force(mebibyte)
	go func() { done <- quiet.Draw(512 << 10) }()
	time.Sleep(3 * decisionInterval.Duration())
	other.Release(2 * mebibyte)
	if err := <-done; err != nil || closed.Load() {
		t.Errorf("got %v, closed %t, want the caller served", err, closed.Load())
	}
}

// Guards against bytes that are never given back when a connection is closed beside a draw.
func TestCloseBesideDrawGivesBackAll(t *testing.T) {
	a := NewAccount(Limits{Bytes: 1 << 40, Stall: 1000, Wait: 100}, clock.System(), nil)
	for i := range 2000 {
		h := a.Open(10, func() {})
		started, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			for j := range 100 {
				_ = h.Draw(1) // it may fail once the holder is closed
				if j == 5 {
					close(started)
				}
			}
		}()
		<-started
		h.Close()
		<-done
		if got := a.Used(); got != 0 {
			t.Fatalf("round %d: got %d bytes in use behind the close, want 0", i, got)
		}
	}
}
