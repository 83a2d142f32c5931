package event

import (
	"fmt"
	"strings"
	"time"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// String returns the event on one line: time in UTC, daemon, kind and the fields that apply.
func (e Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", formatTime(e.At.Millis), e.At.Daemon, e.Kind)
	fields := []struct{ name, value string }{
		{"group", e.Group},
		{"service", e.Service},
		{"request", e.Request},
		{"session", e.Session},
		{"target", e.Target},
		{"term", formatNumber(uint64(e.Term))},
		{"code", e.Code},
		{"counts", e.Counts.String()},
		{"detail", e.Detail},
	}
	for _, f := range fields {
		if f.value != "" {
			fmt.Fprintf(&b, " %s=%s", f.name, quoteIfNeeded(f.value))
		}
	}
	return b.String()
}

// String returns the counts on one line, or an empty string if c is nil.
func (c *Counts) String() string {
	if c == nil {
		return ""
	}
	return fmt.Sprintf("%s asked %d served %d by-replicas %d refused %d unknown %d", c.Kind, c.Asked, c.Served, c.ReplicaReads, c.Refused, c.Unknown)
}

func formatNumber(n uint64) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(n)
}

func quoteIfNeeded(s string) string {
	if strings.ContainsAny(s, " \"\n\t") {
		return fmt.Sprintf("%q", s)
	}
	return s
}

func formatTime(m clock.Millis) string {
	return time.UnixMilli(int64(m)).UTC().Format("2006-01-02T15:04:05.000Z")
}
