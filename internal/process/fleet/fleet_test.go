package fleet

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"testing"

	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

func testResponses() []Response {
	target := func(age clock.Millis, role string, applied position.Position, busy int) entry.TargetStatus {
		return entry.TargetStatus{
			ID: "a", Role: role, ReplyAge: age, Share: 2, Busy: busy,
			Received: position.Point{Term: 2, Position: 100},
			Applied:  position.Point{Term: 2, Position: applied},
		}
	}
	return []Response{
		{Address: "x:1", Status: &entry.Status{
			Daemon:  "entry-1",
			Groups:  []entry.GroupStatus{{ID: "g", Term: 2, Primary: "b", Targets: []entry.TargetStatus{target(1, "replica", 90, 1)}}},
			Objects: []entry.ObjectStatus{{Key: "services/s", Version: 7}},
			Peers:   []entry.PeerStatus{{ID: "entry-2"}, {ID: "entry-3"}},
		}},
		{Address: "x:2", Status: &entry.Status{
			Daemon:  "entry-2",
			Groups:  []entry.GroupStatus{{ID: "g", Term: 1, Primary: "a", Targets: []entry.TargetStatus{target(5, "primary", 50, 2)}}},
			Objects: []entry.ObjectStatus{{Key: "services/s", Version: 6}},
		}},
		{Address: "x:3", Err: errors.New("no reply")},
	}
}

func TestMerge(t *testing.T) {
	got := Merge(testResponses())
	g := got.Groups[0]
	if g.Term != 2 || g.Primary != "b" || !slices.Equal(g.Behind, []group.DaemonID{"entry-2"}) {
		t.Errorf("got term %d, primary %s, behind %v, want 2, b, [entry-2]", g.Term, g.Primary, g.Behind)
	}
	if a := g.Targets[0]; a.Role != "replica" || a.LagBytes != 10 || a.Busy != 3 || len(a.Shares) != 2 {
		t.Errorf("got %+v, want the state of the most recent reply and the load of both daemons", a)
	}
	want := []Object{{Key: "services/s", Version: 7, Behind: []group.DaemonID{"entry-2"}}}
	if !reflect.DeepEqual(got.Objects, want) {
		t.Errorf("got %v, want %v", got.Objects, want)
	}
	if len(got.Silent) != 1 || got.Silent[0].Address != "x:3" {
		t.Errorf("got silent %v, want x:3", got.Silent)
	}
	if want := []group.DaemonID{"entry-3"}; !slices.Equal(got.WithoutStatus, want) {
		t.Errorf("got daemons without status %v, want %v", got.WithoutStatus, want)
	}
}

func TestProgress(t *testing.T) {
	tests := []struct {
		name     string
		version  platform.Version
		upToDate []group.DaemonID
		missing  int
	}{
		{"everywhere", 6, []group.DaemonID{"entry-1", "entry-2"}, 1},
		{"one behind", 7, []group.DaemonID{"entry-1"}, 2},
		{"nowhere", 8, nil, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newProgress(testResponses(), []WantedVersion{{Key: "services/s", Version: tt.version}})
			if !slices.Equal(p.UpToDate, tt.upToDate) || len(p.Missing) != tt.missing {
				t.Errorf("got up to date %v, missing %v, want %v and %d missing", p.UpToDate, p.Missing, tt.upToDate, tt.missing)
			}
		})
	}
}

func TestSilentAddress(t *testing.T) {
	got := NewAdminClient(nil).Statuses(context.Background(), []string{"127.0.0.1:1"})
	if got[0].Err == nil {
		t.Errorf("got %+v, want an error", got[0])
	}
}
