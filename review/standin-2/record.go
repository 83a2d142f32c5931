package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	lines  []line
	broken []string
}

// line is a line of the record. It is put together at the end, so that the record takes little time during a case.
type line struct {
	at     time.Duration
	format string
	args   []any
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, lines: make([]line, 0, 1<<20)}, nil
}

// now returns the time since the start of the record.
func (r *record) now() time.Duration { return time.Since(r.start) }

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{r.now(), format, args})
}

// breaks records that the rule was broken.
func (r *record) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// close writes the file and returns how often the rule was broken, with the first occurrence.
func (r *record) close() (int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := bufio.NewWriter(r.file)
	for _, l := range r.lines {
		fmt.Fprintf(w, "%10.6f  %s\n", l.at.Seconds(), fmt.Sprintf(l.format, l.args...))
	}
	_ = w.Flush()
	_ = r.file.Close()
	if len(r.broken) == 0 {
		return 0, ""
	}
	return len(r.broken), r.broken[0]
}
