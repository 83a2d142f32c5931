package edge

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxPendingBytes is how many bytes of log may wait to be written.
	maxPendingBytes = 512 << 10
	// maxWriteBytes is the most that is written at once, in bytes.
	maxWriteBytes = 64 << 10
)

// LogWriter writes log lines without ever letting their writers wait: what does not fit its backlog is dropped and counted.
type LogWriter struct {
	w       io.Writer
	mu      sync.Mutex
	pending []byte
	writing bool
	idle    *sync.Cond
	dropped atomic.Int64
}

// NewLogWriter returns a writer to w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{w: w}
	l.idle = sync.NewCond(&l.mu)
	return l
}

// Dropped is the number of lines that were dropped.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Write takes one line and never fails.
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
			// There is nowhere left to say it but the count.
			l.dropped.Add(1)
		}
	}
}
