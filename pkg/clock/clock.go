package clock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is an instant or a duration in milliseconds.
type Millis int64

// Second is one second in milliseconds.
const Second Millis = 1000

// Duration converts m to the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts d to whole milliseconds, rounded towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Clock reads the time and waits. The zero value is not usable; use System or NewManual.
type Clock struct {
	// Now returns the time since an arbitrary start. It is monotonic and advances while the machine is suspended.
	Now func() Millis
	// Wall returns the time since the Unix epoch, which may jump.
	Wall func() Millis
	// After returns a channel that is closed once d has passed.
	After func(d Millis) <-chan struct{}
}

// System returns the clock of this machine.
func System() *Clock {
	return &Clock{
		Now:  sinceBoot,
		Wall: func() Millis { return Millis(time.Now().UnixMilli()) },
		After: func(d Millis) <-chan struct{} {
			c := make(chan struct{})
			time.AfterFunc(d.Duration(), func() { close(c) })
			return c
		},
	}
}

// sinceBoot returns the time since boot. It includes suspended time, so that a value obtained before a suspension does not look fresh after it.
func sinceBoot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error()) // every kernel that Go supports has this clock
	}
	return Millis(t.Nano() / int64(time.Millisecond))
}

// Deadline converts an instant of c.Now to a time.Time. 0 means no deadline and gives the zero time.
func (c *Clock) Deadline(at Millis) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return time.Now().Add((at - c.Now()).Duration())
}

// Sleep waits for d or until ctx ends, in which case it returns ctx.Err().
func (c *Clock) Sleep(ctx context.Context, d Millis) error {
	select {
	case <-c.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Manual is a clock that moves only when a test advances it.
type Manual struct {
	Clock
	mu     sync.Mutex
	now    Millis
	timers []timer
}

// timer is a call of After that has not fired yet.
type timer struct {
	at Millis
	c  chan struct{}
}

// NewManual returns a manual clock whose Now and Wall are start.
func NewManual(start Millis) *Manual {
	m := &Manual{now: start}
	m.Clock = Clock{Now: m.read, Wall: m.read, After: m.after}
	return m
}

// Advance moves the clock forward by d and fires the timers that are due.
func (m *Manual) Advance(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	var pending []timer
	for _, t := range m.timers {
		if t.at <= m.now {
			close(t.c)
			continue
		}
		pending = append(pending, t)
	}
	m.timers = pending
}

func (m *Manual) read() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *Manual) after(d Millis) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := make(chan struct{})
	if d <= 0 {
		close(c)
		return c
	}
	m.timers = append(m.timers, timer{at: m.now + d, c: c})
	return c
}
