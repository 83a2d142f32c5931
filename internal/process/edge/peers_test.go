package edge

import (
	"testing"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestSinceWhenAHomeServesNothing(t *testing.T) {
	type answer struct {
		arrived, at clock.Millis
		refused     bool
	}
	tests := []struct {
		name    string
		answers []answer
		want    clock.Millis
	}{
		{"serves", []answer{{1000, 1010, false}}, 0},
		{"refuses what came a second ago", []answer{{1000, 1010, false}, {1100, 2100, true}}, 1100},
		{"refuses on", []answer{{1100, 2100, true}, {1500, 2500, true}}, 1100},
		{"refuses what came before another was served", []answer{{1000, 1800, false}, {1100, 2100, true}}, 1800},
		{"serves again", []answer{{1100, 2100, true}, {2000, 2200, false}}, 0},
	}
	for _, tt := range tests {
		m := clock.NewManual(1)
		d := New("", &Settings{Limits: LimitSettings{Descriptors: 1000}}, &m.Clock, zap.NewNop())
		for _, a := range tt.answers {
			m.Advance(a.at - m.Now())
			d.homeAnswered("g", a.arrived, a.refused)
		}
		if got := d.peers.outage("g"); got != tt.want {
			t.Errorf("%s: got an outage since %d, want %d", tt.name, got, tt.want)
		}
	}
}
