package access

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// recheck is the time between two looks at a file, in milliseconds.
const recheck = clock.Second

// stamp tells one state of a file from the next.
type stamp struct {
	modified time.Time
	size     int64
}

// watched is a value that is read from files, and again once one of them has changed.
type watched[T any] struct {
	files  []string
	load   func() (T, error)
	clk    *clock.Clock
	report func(error)

	mu      sync.Mutex
	value   T
	stamps  []stamp
	checked clock.Millis
}

// watch reads the files for the first time.
func watch[T any](clk *clock.Clock, report func(error), load func() (T, error), files ...string) (*watched[T], error) {
	w := &watched[T]{files: files, load: load, clk: clk, report: report, checked: clk.Now()}
	var err error
	if w.stamps, err = stampsOf(files); err != nil {
		return nil, err
	}
	if w.value, err = load(); err != nil {
		return nil, err
	}
	return w, nil
}

// get returns the value; a change that cannot be read is reported once and leaves the old value in force.
func (w *watched[T]) get() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clk.Now()
	if now-w.checked < recheck {
		return w.value
	}
	w.checked = now
	stamps, err := stampsOf(w.files)
	if err != nil {
		w.report(fmt.Errorf("kept what was loaded before: %w", err))
		return w.value
	}
	if slices.Equal(stamps, w.stamps) {
		return w.value
	}
	w.stamps = stamps
	v, err := w.load()
	if err != nil {
		w.report(fmt.Errorf("kept what was loaded before: %w", err))
		return w.value
	}
	w.value = v
	return w.value
}

func stampsOf(files []string) ([]stamp, error) {
	var out []stamp
	for _, name := range files {
		info, err := os.Stat(name)
		if err != nil {
			return nil, fmt.Errorf("look at file: %w", err)
		}
		out = append(out, stamp{modified: info.ModTime(), size: info.Size()})
	}
	return out, nil
}
