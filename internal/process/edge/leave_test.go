package edge

import (
	"net/http"
	"testing"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform/standin"
)

func TestLeavingTargetGetsNoWorkAfterItsDrainLimit(t *testing.T) {
	const limit clock.Millis = 8000
	entry := func(draining bool, revision topology.Revision) topology.Target {
		return topology.Target{ID: "t", Group: "g", Address: "127.0.0.1:1", Slots: 2, Draining: draining, Revision: revision}
	}
	tests := []struct {
		name string
		// updates are what the store reported, at the times in at.
		updates []entriesUpdate
		at      []clock.Millis
		now     clock.Millis
		want    bool
	}{
		{"found draining by a daemon that has just started", []entriesUpdate{{entries: []topology.Target{entry(true, 1)}, full: true}}, []clock.Millis{20_000}, 20_001, true},
		{"reported by a watch", []entriesUpdate{{entries: []topology.Target{entry(false, 1)}, full: true}, {entries: []topology.Target{entry(true, 2)}, since: 20_000}}, []clock.Millis{10_000, 20_000}, 27_000, false},
		{"reported by a watch long ago", []entriesUpdate{{entries: []topology.Target{entry(false, 1)}, full: true}, {entries: []topology.Target{entry(true, 2)}, since: 20_000}}, []clock.Millis{10_000, 20_000}, 28_001, true},
		{"found after an outage of the store", []entriesUpdate{{entries: []topology.Target{entry(false, 1)}, full: true}, {entries: []topology.Target{entry(true, 2)}, full: true, since: 13_000}}, []clock.Millis{10_000, 20_000}, 21_500, true},
		{"repeated by a later list", []entriesUpdate{{entries: []topology.Target{entry(false, 1)}, full: true}, {entries: []topology.Target{entry(true, 2)}, since: 15_000}, {entries: []topology.Target{entry(true, 2)}, full: true, since: 18_000}}, []clock.Millis{10_000, 15_000, 20_000}, 23_500, true},
		{"stops leaving", []entriesUpdate{{entries: []topology.Target{entry(true, 1)}, full: true}, {entries: []topology.Target{entry(false, 2)}, since: 20_000}}, []clock.Millis{10_000, 20_000}, 20_001, false},
	}
	for _, tt := range tests {
		m := clock.NewManual(1)
		set := &Settings{Daemon: DaemonSettings{ID: "d", Drain: limit + drainMargin}, Limits: LimitSettings{Descriptors: 1000}}
		c := New("", set, &m.Clock, zap.NewNop()).control
		for i := range tt.updates {
			m.Advance(tt.at[i] - m.Now())
			c.handle(t.Context(), tt.updates[i])
		}
		m.Advance(tt.now - m.Now())
		got := c.groups["g"].members[group.TargetID("t")].candidate(false)
		if got.Departed != tt.want {
			t.Errorf("%s: got left %t, want %t", tt.name, got.Departed, tt.want)
		}
	}
}

// Guards against new work for a leaving target whose entry lapses and comes back, or is first heard of as it leaves.
func TestLeavingTargetThatComesBackGetsNoWork(t *testing.T) {
	entry := func(draining bool, revision topology.Revision) topology.Target {
		return topology.Target{ID: "t", Group: "g", Address: "127.0.0.1:1", StartedAt: 5, Slots: 2, Draining: draining, Revision: revision}
	}
	const absent clock.Millis = 4000
	tests := []struct {
		name    string
		before  []topology.Target
		back    topology.Target
		removed bool
		want    bool
	}{
		{"lapsed and was forgotten", []topology.Target{entry(false, 1), entry(true, 2)}, entry(true, 4), true, true},
		{"lapsed and was forgotten before it announced that it leaves", []topology.Target{entry(false, 1)}, entry(true, 4), true, true},
		{"unknown before", nil, entry(true, 4), false, true},
		{"lapsed and does not leave", []topology.Target{entry(false, 1)}, entry(false, 4), true, false},
	}
	for _, tt := range tests {
		m := clock.NewManual(1)
		set := &Settings{Daemon: DaemonSettings{ID: "d", Drain: 7000}, Limits: LimitSettings{Descriptors: 1000}}
		d := New("", set, &m.Clock, zap.NewNop())
		c := d.control
		d.storeUp.Store(true)
		c.handle(t.Context(), entriesUpdate{full: true})
		for _, e := range tt.before {
			m.Advance(100)
			c.handle(t.Context(), entriesUpdate{entries: []topology.Target{e}, since: m.Now()})
		}
		c.handle(t.Context(), entriesUpdate{removed: []group.TargetID{"t"}, since: m.Now()})
		m.Advance(absent)
		c.tick(t.Context())
		if g := c.groups["g"]; tt.removed && g.members["t"] != nil {
			t.Fatalf("%s: got the target kept, want it forgotten", tt.name)
		}
		c.handle(t.Context(), entriesUpdate{entries: []topology.Target{tt.back}, since: m.Now()})
		m.Advance(1)
		if got := c.groups["g"].members["t"].candidate(false).Departed; got != tt.want {
			t.Errorf("%s: got it past its drain limit %t, want %t", tt.name, got, tt.want)
		}
	}
}

func TestChangesAfterAnOutageCountFromItsStart(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	env.store.SetFault(func(*http.Request) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	env.eventually("the store is unavailable", func() bool { return !d.storeUp.Load() })
	env.store.Delete("servers", "g-1")
	deletedAt := d.clk.Now()
	env.store.SetFault(nil)
	removed := d.view.Load().findTarget("g", "g-1")
	env.eventually("the target is leaving", func() bool { return removed.candidate(false).Leaving })
	removed.mu.Lock()
	defer removed.mu.Unlock()
	if removed.leavingSince >= deletedAt {
		t.Errorf("got leaving since %d, want a time before the entry was deleted, %d", removed.leavingSince, deletedAt)
	}
}
