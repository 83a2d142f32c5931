package edge

import (
	"testing"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestHomeOutageBeginsAtTheFirstRefusedStatement(t *testing.T) {
	type reply struct {
		arrived, at clock.Millis
		refused     bool
	}
	tests := []struct {
		name    string
		replies []reply
		want    clock.Millis
	}{
		{"serves", []reply{{1000, 1010, false}}, 0},
		{"refuses a statement that arrived a second ago", []reply{{1000, 1010, false}, {1100, 2100, true}}, 1100},
		{"refuses two statements", []reply{{1100, 2100, true}, {1500, 2500, true}}, 1100},
		{"refuses a statement that arrived before another was served", []reply{{1000, 1800, false}, {1100, 2100, true}}, 1800},
		{"serves again", []reply{{1100, 2100, true}, {2000, 2200, false}}, 0},
	}
	for _, tt := range tests {
		m := clock.NewManual(1)
		d := New("", &Settings{Limits: LimitSettings{Descriptors: 1000}}, &m.Clock, zap.NewNop())
		for _, r := range tt.replies {
			m.Advance(r.at - m.Now())
			d.recordHomeReply("g", r.arrived, r.refused)
		}
		if got := d.peers.homeOutageSince("g"); got != tt.want {
			t.Errorf("%s: got an outage since %d, want %d", tt.name, got, tt.want)
		}
	}
}
