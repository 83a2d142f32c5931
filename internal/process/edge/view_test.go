package edge

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestPrimaryThatFailsAloneLeavesTheGroupReachable(t *testing.T) {
	tests := []struct {
		name    string
		primary group.TargetID
		failing []int
		want    bool
	}{
		{"all answer", "t0", nil, false},
		{"primary fails alone", "t0", []int{0}, false},
		{"primary is replaced and all answer", "", nil, false},
		{"primary and a replica fail", "t0", []int{0, 2}, true},
		{"all fail", "t0", []int{0, 1, 2}, true},
		{"replicas fail", "t0", []int{1, 2}, false},
	}
	for _, tt := range tests {
		m := clock.NewManual(1000)
		g := &groupView{id: "g", primary: tt.primary, noPrimarySince: 1000}
		for i := range 3 {
			target := newTarget(&topology.Target{ID: group.TargetID(fmt.Sprint("t", i)), Slots: 2}, nil, &m.Clock, 1000)
			target.recordReply(&link.Reply{}, 0)
			g.targets = append(g.targets, target)
		}
		m.Advance(10)
		for _, i := range tt.failing {
			g.targets[i].recordFailure(m.Now(), syscall.ECONNREFUSED)
		}
		if got := g.unreachableSince() > 0; got != tt.want {
			t.Errorf("%s: got unreachable %t, want %t", tt.name, got, tt.want)
		}
	}
}
