package access

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// checkInterval is the minimum time between two checks of a file for changes, in milliseconds.
const checkInterval = clock.Second

// fileState is the modification time and size of a file, which detect a change.
type fileState struct {
	modified time.Time
	size     int64
}

// reloader holds a value that load reads from files, and reloads it after one of the files has changed.
type reloader[T any] struct {
	files  []string
	load   func() (T, error)
	clk    *clock.Clock
	report func(error) // receives errors of reloads

	mu        sync.Mutex
	value     T
	states    []fileState // of files, at the last load
	checkedAt clock.Millis
}

// newReloader loads the value; it fails if a file cannot be read.
func newReloader[T any](clk *clock.Clock, report func(error), load func() (T, error), files ...string) (*reloader[T], error) {
	r := &reloader[T]{files: files, load: load, clk: clk, report: report, checkedAt: clk.Now()}
	var err error
	if r.states, err = readFileStates(files); err != nil {
		return nil, err
	}
	if r.value, err = load(); err != nil {
		return nil, err
	}
	return r, nil
}

// get returns the value after a reload if a file has changed; if the reload fails, the previous value stays in force.
//
// A change that cannot be loaded is reported once. A missing file is reported at every check.
func (r *reloader[T]) get() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clk.Now()
	if now-r.checkedAt < checkInterval {
		return r.value
	}
	r.checkedAt = now
	states, err := readFileStates(r.files)
	if err != nil {
		r.report(fmt.Errorf("reload failed, previous content stays in force: %w", err))
		return r.value
	}
	if slices.Equal(states, r.states) {
		return r.value
	}
	r.states = states
	v, err := r.load()
	if err != nil {
		r.report(fmt.Errorf("reload failed, previous content stays in force: %w", err))
		return r.value
	}
	r.value = v
	return r.value
}

func readFileStates(files []string) ([]fileState, error) {
	var states []fileState
	for _, name := range files {
		info, err := os.Stat(name)
		if err != nil {
			return nil, fmt.Errorf("check file for changes: %w", err)
		}
		states = append(states, fileState{modified: info.ModTime(), size: info.Size()})
	}
	return states, nil
}
