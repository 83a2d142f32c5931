package edge

import (
	"bytes"
	"strings"
	"testing"
)

// blockedWriter blocks writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	return s.Buffer.Write(b)
}

func TestLogWriterNeverBlocksAndIsBounded(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	l := NewLogWriter(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 2000
	for range lines {
		if _, err := l.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	close(w.unblock)
	if err := l.Sync(); err != nil {
		t.Fatal(err)
	}
	written := int64(w.Len() / len(line))
	if got := written + l.Dropped(); got != lines {
		t.Errorf("got %d lines written and %d dropped, want %d in total", written, l.Dropped(), lines)
	}
	if l.Dropped() == 0 || w.Len()%len(line) != 0 {
		t.Errorf("got %d dropped and %d bytes, want some dropped and whole lines", l.Dropped(), w.Len())
	}
}
