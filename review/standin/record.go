package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	w     *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

func (r *record) add(who, what string) {
	if len(what) > 300 {
		what = what[:300] + "..."
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	q := strconv.Quote(what)
	fmt.Fprintf(r.w, "%8.3f s  %-14s %s\n", time.Since(r.start).Seconds(), who, q[1:len(q)-1])
}

// say writes to the record and to standard output.
func (r *record) say(what string) {
	r.add("verdict", what)
	fmt.Println(what)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
