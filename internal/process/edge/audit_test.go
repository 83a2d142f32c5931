package edge

import (
	"context"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/process/mirror"
	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestAuditIsDueWhileAGroupStaysIncomplete(t *testing.T) {
	complete := groupSummary{id: "g", targets: 3, hasPrimary: true}
	tests := []struct {
		name  string
		state groupSummary
		// duration is how long the state lasts.
		duration clock.Millis
		want     int
	}{
		{"complete", complete, 100_000, 0},
		{"target missing for a short time", groupSummary{id: "g", targets: 2, hasPrimary: true}, auditDelay - 100, 0},
		{"target missing", groupSummary{id: "g", targets: 2, hasPrimary: true}, auditDelay + 100, 1},
		{"all targets missing", groupSummary{id: "g"}, auditDelay + 100, 1},
		{"no primary", groupSummary{id: "g", targets: 3}, auditDelay + 100, 1},
		{"target lost for good", groupSummary{id: "g", targets: 2, hasPrimary: true}, 500_000, 10},
	}
	for _, tt := range tests {
		a := &auditor{maxTargets: make(map[group.ID]int)}
		a.due([]groupSummary{complete}, 1000)
		got := 0
		for now := clock.Millis(1000); now <= 1000+tt.duration; now += tickInterval {
			if a.due([]groupSummary{tt.state}, now) {
				got++
			}
		}
		if got != tt.want {
			t.Errorf("%s: got %d audits, want %d", tt.name, got, tt.want)
		}
	}
}

func TestAuditIgnoresAListOlderThanTheLastRead(t *testing.T) {
	list := mirror.Result{Full: true, Version: 10, Objects: []store.Object{entryObject("a", 3), entryObject("b", 7)}}
	tests := []struct {
		name    string
		objects []store.Object
		version store.Version
		want    string
	}{
		{"list with a further entry", []store.Object{entryObject("a", 3), entryObject("b", 7), entryObject("c", 9)}, 10, "a b c"},
		{"newer list without an entry", []store.Object{entryObject("a", 3)}, 12, "a"},
		{"list older than the last read", []store.Object{entryObject("a", 3), entryObject("gone", 4)}, 9, "a b"},
	}
	for _, tt := range tests {
		f := newEntryFollower(&clock.NewManual(1).Clock)
		f.process(t, list)
		f.follower.stale = &store.Store{List: func(context.Context, store.Key) ([]store.Object, store.Version, error) {
			return tt.objects, tt.version, nil
		}}
		f.follower.audit(t.Context(), 10)
		f.runControlLoop(t)
		if got := f.presentTargets(); got != tt.want {
			t.Errorf("%s: got targets %q, want %q", tt.name, got, tt.want)
		}
	}
}

func TestAuditRestoresATargetAfterAMisreadChange(t *testing.T) {
	env := newTestEnv(t)
	env.drain = 4 * clock.Second // ends watches soon
	d := env.start("front-1")
	time.Sleep(3 * tickInterval.Duration()) // lets the control loop see the complete group
	d.control.send(t.Context(), entriesUpdate{removed: []group.TargetID{"g-1"}})
	env.eventually("the target is removed", func() bool { return d.view.Load().findTarget("g", "g-1") == nil })
	env.eventually("the target is added again", func() bool { return d.view.Load().findTarget("g", "g-1") != nil })
}
