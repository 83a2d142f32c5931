package route

import (
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// laggingView has the primary a and the replica b; at 1000, b has applied only the sample requested at 900.
func laggingView() *View {
	at := func(p position.Position) position.Point { return position.Point{Term: 1, Position: p} }
	a := group.Target{ID: "a", Slots: 5}
	b := group.Target{ID: "b", Slots: 5}
	return &View{
		Record: group.Record{Term: 1, Primary: "a", Targets: []group.Target{a, b}},
		Targets: []TargetView{
			{Target: a, RequestedAt: 1000, Status: group.Status{Primary: true, Promise: 1, Received: at(50), Applied: at(50)}},
			{Target: b, RequestedAt: 1000, Status: group.Status{Following: "a", Promise: 1, Received: at(50), Applied: at(30)}},
		},
		Samples: []Sample{{Point: at(30), RequestedAt: 900}, {Point: at(50), RequestedAt: 990}},
	}
}

func TestReplicaWithinLag(t *testing.T) {
	tests := []struct {
		name   string
		maxLag clock.Millis
		alter  func(v *View)
		want   bool
	}{
		{"lag equal to the maximum", 100, func(*View) {}, true},
		{"lag above the maximum", 99, func(*View) {}, false},
		{"replica down", 100, func(v *View) { v.Targets[1].Down = true }, false},
		{"replica leaving", 100, func(v *View) { v.Targets[1].Leaving = true }, false},
		{"replica follows no primary", 100, func(v *View) { v.Targets[1].Status.Following = "" }, false},
		{"replica has applied no sample", 100, func(v *View) { v.Targets[1].Status.Applied = position.Point{} }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := laggingView()
			tt.alter(v)
			if got := HasReplicaWithinLag(v, tt.maxLag); got != tt.want {
				t.Errorf("got %v for a replica within the lag, want %v", got, tt.want)
			}
		})
	}
}

func TestReplicaOnlyExcludesPrimary(t *testing.T) {
	n := Need{Request: service.Request{Kind: service.Read, MaxAge: 50}, ReplicaOnly: true}
	first := func(int) int { return 0 }
	if got, want := Choose(laggingView(), 1000, n, first).Kind, Wait; got != want {
		t.Errorf("replicas only: got %v, want %v", got, want)
	}
	n.ReplicaOnly = false
	if got, want := Choose(laggingView(), 1000, n, first).Kind, Primary; got != want {
		t.Errorf("with the primary allowed: got %v, want %v", got, want)
	}
}
