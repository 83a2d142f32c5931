package edge

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// logBacklog is how many bytes of log may wait to be written.
	logBacklog = 512 << 10
	// logChunk is the most that is written at once, in bytes.
	logChunk = 64 << 10
)

// LogWriter writes log lines without ever letting their writers wait: what does not fit its backlog is dropped and counted.
type LogWriter struct {
	w       io.Writer
	mu      sync.Mutex
	waiting []byte
	writing bool
	ended   *sync.Cond
	dropped atomic.Int64
}

// NewLogWriter returns a writer to w.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{w: w}
	l.ended = sync.NewCond(&l.mu)
	return l
}

// Dropped is the number of lines that were dropped.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Write takes one line and never fails.
func (l *LogWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting)+len(line) > logBacklog {
		l.dropped.Add(1)
		return len(line), nil
	}
	l.waiting = append(l.waiting, line...)
	if !l.writing {
		l.writing = true
		go l.drain()
	}
	return len(line), nil
}

// Sync waits until all lines are written.
func (l *LogWriter) Sync() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.writing {
		l.ended.Wait()
	}
	return nil
}

func (l *LogWriter) drain() {
	for {
		l.mu.Lock()
		if len(l.waiting) == 0 {
			l.writing = false
			l.ended.Broadcast()
			l.mu.Unlock()
			return
		}
		n := min(len(l.waiting), logChunk)
		chunk := append([]byte(nil), l.waiting[:n]...)
		l.waiting = append(l.waiting[:0], l.waiting[n:]...)
		l.mu.Unlock()
		if _, err := l.w.Write(chunk); err != nil {
			// There is nowhere left to say it but the count.
			l.dropped.Add(1)
		}
	}
}
