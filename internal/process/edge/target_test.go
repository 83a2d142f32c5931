package edge

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestRecordFailure(t *testing.T) {
	late := fmt.Errorf("read from target: %w", os.ErrDeadlineExceeded)
	reset := fmt.Errorf("read from target: %w", syscall.ECONNRESET)
	tests := []struct {
		name      string
		sentAt    clock.Millis
		repliedAt clock.Millis
		err       error
		want      bool
	}{
		{"slow for a moment", 1000 - minSilence + 1, 0, late, false},
		{"silent", 1000 - minSilence, 0, late, true},
		{"silent on one connection, later reply on another", 500, 600, late, false},
		{"silent, last reply before the message", 500, 400, late, true},
		{"reset", 1000, 0, reset, true},
		{"reset of an old connection, later reply on another", 500, 600, reset, false},
	}
	for _, tt := range tests {
		m := clock.NewManual(1)
		target := newTarget(&topology.Target{ID: "t", Slots: 2}, nil, &m.Clock, 1000)
		if tt.repliedAt > 0 {
			m.Advance(tt.repliedAt - 1)
			target.recordReply(&link.Reply{}, 0)
			m.Advance(1000 - tt.repliedAt)
		} else {
			m.Advance(999)
		}
		if _, got := target.recordFailure(tt.sentAt, tt.err); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}

func TestLatencyEstimateDecays(t *testing.T) {
	m := clock.NewManual(1)
	target := newTarget(&topology.Target{ID: "t", Slots: 2}, nil, &m.Clock, 1000)
	for range 100 {
		target.recordReply(&link.Reply{Completed: true}, 800)
	}
	slow := target.candidate(false).Latency
	m.Advance(4 * latencyDecayTime)
	if got := target.candidate(false).Latency; got > slow/4 {
		t.Errorf("got %.0f ms after a time without replies, want at most a quarter of %.0f ms", got, slow)
	}
}
