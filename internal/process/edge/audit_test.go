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

func TestWhenAnAuditIsDue(t *testing.T) {
	whole := groupCount{id: "g", targets: 3, primary: true}
	tests := []struct {
		name  string
		state groupCount
		// until is how long the state lasts.
		until clock.Millis
		want  int
	}{
		{"nothing lacks", whole, 100_000, 0},
		{"a target lacks for a short time", groupCount{id: "g", targets: 2, primary: true}, firstAudit - 100, 0},
		{"a target lacks", groupCount{id: "g", targets: 2, primary: true}, firstAudit + 100, 1},
		{"all targets lack", groupCount{id: "g"}, firstAudit + 100, 1},
		{"no primary", groupCount{id: "g", targets: 3}, firstAudit + 100, 1},
		{"lost for good", groupCount{id: "g", targets: 2, primary: true}, 500_000, 10},
	}
	for _, tt := range tests {
		a := &auditor{most: make(map[group.ID]int)}
		a.due([]groupCount{whole}, 1000)
		got := 0
		for now := clock.Millis(1000); now <= 1000+tt.until; now += tick {
			if a.due([]groupCount{tt.state}, now) {
				got++
			}
		}
		if got != tt.want {
			t.Errorf("%s: got %d audits, want %d", tt.name, got, tt.want)
		}
	}
}

func TestAnAuditNeverGoesBack(t *testing.T) {
	list := mirror.Answer{Whole: true, Version: 10, Objects: []store.Object{entryObject("a", 3), entryObject("b", 7)}}
	tests := []struct {
		name    string
		objects []store.Object
		version store.Version
		want    string
	}{
		{"a list that knows more", []store.Object{entryObject("a", 3), entryObject("b", 7), entryObject("c", 9)}, 10, "a b c"},
		{"a list that knows less", []store.Object{entryObject("a", 3)}, 12, "a"},
		{"a list older than what was read", []store.Object{entryObject("a", 3), entryObject("gone", 4)}, 9, "a b"},
	}
	for _, tt := range tests {
		b := newBeliever(&clock.NewManual(1).Clock)
		b.take(t, list)
		b.follower.stale = &store.Store{List: func(context.Context, store.Key) ([]store.Object, store.Version, error) {
			return tt.objects, tt.version, nil
		}}
		b.follower.audit(t.Context(), 10)
		b.settle(t)
		if got := b.present(); got != tt.want {
			t.Errorf("%s: got targets %q, want %q", tt.name, got, tt.want)
		}
	}
}

func TestALostChangeIsFoundAgain(t *testing.T) {
	w := newWorld(t)
	w.drain = 4 * clock.Second // so that watches end soon
	d := w.start("front-1")
	time.Sleep(3 * tick.Duration()) // the control loop has seen the group whole
	d.control.send(t.Context(), entriesRead{removed: []group.TargetID{"g-1"}})
	w.eventually("the target is dropped", func() bool { return d.view.Load().findTarget("g", "g-1") == nil })
	w.eventually("the target is found again", func() bool { return d.view.Load().findTarget("g", "g-1") != nil })
}
