package event

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// String writes the stamp as milliseconds.counter.daemon, as it travels with messages.
func (s Stamp) String() string {
	return fmt.Sprintf("%d.%d.%s", s.Millis, s.Counter, s.Daemon)
}

// ParseStamp reads what String wrote; the error says what is wrong.
func ParseStamp(text string) (Stamp, error) {
	parts := strings.SplitN(text, ".", 3)
	if len(parts) != 3 {
		return Stamp{}, fmt.Errorf("stamp %q: want milliseconds.counter.daemon", text)
	}
	ms, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return Stamp{}, fmt.Errorf("stamp milliseconds: %w", err)
	}
	n, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return Stamp{}, fmt.Errorf("stamp counter: %w", err)
	}
	return Stamp{Millis: clock.Millis(ms), Counter: uint32(n), Daemon: parts[2]}, nil
}
