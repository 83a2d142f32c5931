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

// FromDuration converts d to whole milliseconds, rounding down.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Clock reads time and waits; the zero value is not usable, see System and NewManual.
type Clock struct {
	// Now is monotonic, counted from an arbitrary start, and goes on while the machine is suspended.
	Now func() Millis
	// Wall is milliseconds since the Unix epoch and may jump.
	Wall func() Millis
	// After fires once d has passed.
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

// sinceBoot reads the clock that counts suspended time too, so that nothing held before a suspension looks fresh after it.
func sinceBoot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("read the clock of this machine: " + err.Error()) // no kernel that Go runs on lacks it
	}
	return Millis(t.Nano() / int64(time.Millisecond))
}

// Deadline converts an instant of the clock to the standard library's; 0 means never.
func (c *Clock) Deadline(at Millis) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return time.Now().Add((at - c.Now()).Duration())
}

// Sleep waits for d or until ctx ends, and returns the error of ctx in that case.
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

type timer struct {
	at Millis
	c  chan struct{}
}

// NewManual returns a manual clock that stands at start.
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
	var left []timer
	for _, t := range m.timers {
		if t.at <= m.now {
			close(t.c)
			continue
		}
		left = append(left, t)
	}
	m.timers = left
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
