package event

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Log stamps events, keeps the latest in memory and writes each as a JSON line.
type Log struct {
	daemon string
	clk    *clock.Clock
	mu     sync.Mutex
	// last is the latest stamp issued or observed.
	last Stamp
	// ring holds the latest events; next is the index of the next one, and full is true once all are in use.
	ring []Event
	next int
	full bool
	w    io.Writer
}

// NewLog returns a log that keeps the latest size events. w may be nil, in which case no event is written.
func NewLog(daemon string, size int, clk *clock.Clock, w io.Writer) *Log {
	return &Log{daemon: daemon, clk: clk, ring: make([]Event, size), w: w}
}

// Add stamps e, keeps it and writes it. It fails if the event cannot be encoded or written.
func (l *Log) Add(e Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = l.stamp()
	l.ring[l.next] = e
	l.next++
	if l.next == len(l.ring) {
		l.next = 0
		l.full = true
	}
	return l.write(&e)
}

// Now returns a stamp for a message to another daemon.
func (l *Log) Now() Stamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stamp()
}

// Observe advances the log's time past a stamp that was received with a message.
func (l *Log) Observe(s Stamp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.Before(s) {
		l.last = Stamp{Millis: s.Millis, Counter: s.Counter, Daemon: l.daemon}
	}
}

// Events returns the events kept in memory, oldest first.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.full {
		return append([]Event(nil), l.ring[:l.next]...)
	}
	out := append([]Event(nil), l.ring[l.next:]...)
	return append(out, l.ring[:l.next]...)
}

func (l *Log) stamp() Stamp {
	s := Stamp{Millis: l.clk.Wall(), Daemon: l.daemon}
	if s.Millis <= l.last.Millis {
		s.Millis = l.last.Millis
		s.Counter = l.last.Counter + 1
	}
	l.last = s
	return s
}

func (l *Log) write(e *Event) error {
	if l.w == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err := l.w.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return nil
}
