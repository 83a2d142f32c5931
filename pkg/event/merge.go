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

// maxLineBytes is the length of the longest line that Read accepts.
const maxLineBytes = 1 << 20

// LineError reports a line of a time line that holds no valid event.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error returns the number of the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// Read returns the events of JSON lines and skips empty lines.
//
// Its error joins a *LineError for each line that holds no valid event, and an error of r. The valid events are returned with it.
func Read(r io.Reader) ([]Event, error) {
	var (
		out  []Event
		errs []error
	)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			errs = append(errs, &LineError{Line: number, Err: err})
			continue
		}
		out = append(out, e)
	}
	if err := scanner.Err(); err != nil {
		errs = append(errs, fmt.Errorf("read events: %w", err))
	}
	return out, errors.Join(errs...)
}

// Merge returns the events of all streams in the order of their stamps, without duplicates.
func Merge(streams ...[]Event) []Event {
	all := slices.Concat(streams...)
	slices.SortStableFunc(all, func(a, b Event) int { return a.At.Compare(b.At) })
	return slices.CompactFunc(all, equal)
}

// Compare returns a negative number if s is ordered before o, 0 if they are equal and a positive number otherwise.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(
		cmp.Compare(s.Millis, o.Millis),
		cmp.Compare(s.Counter, o.Counter),
		cmp.Compare(s.Daemon, o.Daemon),
	)
}

// equal reports whether a and b are equal, as when one event is read from two streams.
func equal(a, b Event) bool {
	if (a.Counts == nil) != (b.Counts == nil) {
		return false
	}
	if a.Counts != nil && *a.Counts != *b.Counts {
		return false
	}
	a.Counts, b.Counts = nil, nil
	return a == b
}
