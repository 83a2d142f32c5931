package event

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// maxLine is the longest line that Read takes, in bytes.
const maxLine = 1 << 20

// Damaged is a line of a time line that holds no event.
type Damaged struct {
	Line int // from 1
	Err  error
}

// Error names the line and its fault.
func (d *Damaged) Error() string { return fmt.Sprintf("line %d: %v", d.Line, d.Err) }

// Unwrap returns the fault.
func (d *Damaged) Unwrap() error { return d.Err }

// Read returns the events of JSON lines; its error joins a *Damaged for each line that holds none.
func Read(r io.Reader) ([]Event, error) {
	var (
		out    []Event
		faults []error
	)
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for n := 1; lines.Scan(); n++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			faults = append(faults, &Damaged{Line: n, Err: err})
			continue
		}
		out = append(out, e)
	}
	if err := lines.Err(); err != nil {
		faults = append(faults, fmt.Errorf("read events: %w", err))
	}
	return out, errors.Join(faults...)
}

// Merge returns the events of all streams in the order of their stamps, each once.
func Merge(streams ...[]Event) []Event {
	all := slices.Concat(streams...)
	slices.SortStableFunc(all, func(a, b Event) int { return a.At.Compare(b.At) })
	return slices.CompactFunc(all, same)
}

// Compare is negative when s is ordered before o, 0 when they are equal.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(
		cmp.Compare(s.Millis, o.Millis),
		cmp.Compare(s.Counter, o.Counter),
		cmp.Compare(s.Daemon, o.Daemon),
	)
}

// same reports whether a and b are one event read twice.
func same(a, b Event) bool {
	if (a.Counts == nil) != (b.Counts == nil) {
		return false
	}
	if a.Counts != nil && *a.Counts != *b.Counts {
		return false
	}
	a.Counts, b.Counts = nil, nil
	return a == b
}
