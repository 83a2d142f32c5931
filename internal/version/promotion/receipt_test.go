package promotion

import (
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// observation is a received point (status) or an applied point that a replica reports at a time.
type observation struct {
	at      clock.Millis
	applied uint64
	status  uint64
}

func TestDecideWithSilentPrimary(t *testing.T) {
	// The primary stops answering at 1000 ms, so the silence timeout of 700 ms ends at 1700 ms.
	tests := []struct {
		name         string
		observations []observation
		want         Action
	}{
		{"replica applies log that it received before the silence", []observation{{at: 1010, status: 90}, {at: 1400, applied: 60}, {at: 1410, status: 90}, {at: 1690, applied: 85}}, Replace},
		{"first status reports points received before the silence", []observation{{at: 900, applied: 50}, {at: 1410, status: 90}, {at: 1690, applied: 90}}, Replace},
		{"increase since a status from before the silence", []observation{{at: 300, status: 40}, {at: 1010, status: 90}, {at: 1690, applied: 90}}, Replace},
		{"replica still receives log", []observation{{at: 1010, status: 90}, {at: 1410, status: 95}}, Probe},
		{"replica has applied more than its last status reported", []observation{{at: 1010, status: 90}, {at: 1600, applied: 91}}, Probe},
		{"log received just after the silence began", []observation{{at: 1001, status: 90}, {at: 1002, status: 95}}, Probe},
	}
	for _, tt := range tests {
		var r Receipt
		for _, o := range tt.observations {
			if o.status > 0 {
				r.ObserveStatus(position.Point{Term: 1, Position: position.Position(o.status)}, o.at, o.at+5)
			} else {
				r.ObserveApplied(position.Point{Term: 1, Position: position.Position(o.applied)}, o.at)
			}
		}
		members := []Member{
			{ID: "p", Leader: true, Answered: 990, FailingSince: 1000},
			{ID: "r", Answered: 1690, Receipt: r},
		}
		if got := Decide(members, 1700, 0, 1, DefaultTimeouts()); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestReceiptExpires(t *testing.T) {
	var r Receipt
	r.ObserveStatus(point(1, 90), 1010, 1015)
	r.ObserveStatus(point(1, 95), 1410, 1415)
	s := DefaultTimeouts()
	members := []Member{{ID: "p", Leader: true, FailingSince: 1000}, {ID: "r", Answered: 2400, Receipt: r}}
	for _, tt := range []struct {
		now  clock.Millis
		want Action
	}{{1414 + s.ReceiptMaxAge, Probe}, {1415 + s.ReceiptMaxAge, Replace}} {
		if got := Decide(members, tt.now, 0, 1, s); got != tt.want {
			t.Errorf("at %d: got %v, want %v", tt.now, got, tt.want)
		}
	}
}
