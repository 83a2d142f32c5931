package edge

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxPendingBytes is how many bytes of log may wait to be written.
	maxPendingBytes = 512 << 10
	// maxWriteBytes is the most that is written at once.
	maxWriteBytes = 64 << 10
)

// LogWriter writes log lines in the background, so that its callers never block. It drops and counts lines that exceed its buffer.
type LogWriter struct {
	w       io.Writer
	mu      sync.Mutex
	pending []byte
	writing bool
	idle    *sync.Cond
	dropped atomic.Int64
}

// NewLogWriter returns a LogWriter that writes to w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{w: w}
	l.idle = sync.NewCond(&l.mu)
	return l
}

// Dropped returns the number of lines dropped because the buffer was full, plus the number of failed writes.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Write buffers one line; it never fails and never blocks.
func (l *LogWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending)+len(line) > maxPendingBytes {
		l.dropped.Add(1)
		return len(line), nil
	}
	l.pending = append(l.pending, line...)
	if !l.writing {
		l.writing = true
		go l.flush()
	}
	return len(line), nil
}

// Sync waits until all lines are written.
func (l *LogWriter) Sync() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.writing {
		l.idle.Wait()
	}
	return nil
}

func (l *LogWriter) flush() {
	for {
		l.mu.Lock()
		if len(l.pending) == 0 {
			l.writing = false
			l.idle.Broadcast()
			l.mu.Unlock()
			return
		}
		n := min(len(l.pending), maxWriteBytes)
		chunk := append([]byte(nil), l.pending[:n]...)
		l.pending = append(l.pending[:0], l.pending[n:]...)
		l.mu.Unlock()
		if _, err := l.w.Write(chunk); err != nil {
			// A failed write of the log can only be counted.
			l.dropped.Add(1)
		}
	}
}
