package event

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// String returns the stamp as milliseconds.counter.daemon, the form in which messages carry it.
func (s Stamp) String() string {
	return fmt.Sprintf("%d.%d.%s", s.Millis, s.Counter, s.Daemon)
}

// ParseStamp parses a stamp in the form that String returns. Its error names the invalid part.
func ParseStamp(text string) (Stamp, error) {
	parts := strings.SplitN(text, ".", 3)
	if len(parts) != 3 {
		return Stamp{}, fmt.Errorf("stamp %q: want milliseconds.counter.daemon", text)
	}
	ms, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return Stamp{}, fmt.Errorf("stamp milliseconds: %w", err)
	}
	counter, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return Stamp{}, fmt.Errorf("stamp counter: %w", err)
	}
	return Stamp{Millis: clock.Millis(ms), Counter: uint32(counter), Daemon: parts[2]}, nil
}
