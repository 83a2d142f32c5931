package edge

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/connection/relay"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// newBalanceDaemon returns a daemon that does not run, with one group of three targets of two slots, and its log.
func newBalanceDaemon(balance string) (*Daemon, *groupView, *clock.Manual, *observer.ObservedLogs) {
	m := clock.NewManual(10_000)
	core, logs := observer.New(zapcore.InfoLevel)
	d := New("", &Settings{Placement: PlacementSettings{Balance: balance}}, &m.Clock, zap.New(core))
	g := &groupView{id: "g", primary: "t0"}
	for i := range 3 {
		t := newTarget(&topology.Target{ID: group.TargetID(fmt.Sprint("t", i)), Slots: 2}, nil, &m.Clock, 1000)
		t.setChoosers(6)
		g.targets = append(g.targets, t)
	}
	d.view.Store(&view{groups: map[group.ID]*groupView{"g": g}})
	return d, g, m, logs
}

func acquireSlot(t *testing.T, target *target, m *clock.Manual, movable bool) func() {
	t.Helper()
	release, err := target.acquireMeasuredSlot(t.Context(), &relay.LeaseRequest{Deadline: m.Now() + 1000}, movable)
	if err != nil {
		t.Fatal(err)
	}
	return release
}

// TestBalanceSetting guards against a deployment without the setting whose statements are distributed differently than before, and against
// a setting without effect.
func TestBalanceSetting(t *testing.T) {
	for _, tt := range []struct {
		balance string
		want    int
		evened  int64
	}{{"off", 1, 0}, {balanceEven, 2, 1}} {
		d, g, m, _ := newBalanceDaemon(tt.balance)
		// The second target answers faster, and this daemon has just had a statement there.
		g.targets[1].recordReply(&link.Reply{Completed: true}, 10)
		g.targets[2].recordReply(&link.Reply{Completed: true}, 20)
		g.targets[0].recordReply(&link.Reply{Completed: true}, 20)
		release := acquireSlot(t, g.targets[1], m, true)
		m.Advance(100)
		release()
		got, reason := d.chooseTarget(g, "", placement.Need{}, m.Now())
		if got != tt.want || reason != placement.Chosen {
			t.Errorf("balance %s: got target %d, %q, want %d", tt.balance, got, reason, tt.want)
		}
		if got := metrics.GetOrRegisterCounter("placement-evened", d.meter.registry).Count(); got != tt.evened {
			t.Errorf("balance %s: got %d choices counted as evened, want %d", tt.balance, got, tt.evened)
		}
	}
}

// TestSlowStartIsLogged guards against lines for each statement: one line tells that a returned target is held back, one that it is released.
func TestSlowStartIsLogged(t *testing.T) {
	d, g, m, logs := newBalanceDaemon(balanceEven)
	choose := func() {
		for range 3 {
			d.chooseTarget(g, "", placement.Need{}, m.Now())
		}
	}
	choose()
	if logs.Len() > 0 {
		t.Fatalf("got %d lines before an outage, want 0", logs.Len())
	}
	g.targets[1].recordFailure(m.Now(), errors.New("connection reset"))
	m.Advance(1500)
	g.targets[1].recordReply(&link.Reply{}, 0)
	choose()
	m.Advance(1500)
	choose()
	var got []string
	for _, e := range logs.All() {
		got = append(got, fmt.Sprint(e.Message, " ", e.ContextMap()["target"], " ", e.ContextMap()["held-back"], " ", e.ContextMap()["lasts-ms"]))
	}
	want := "slow start of target changed t1 true 1500, slow start of target changed t1 false 1500"
	if strings.Join(got, ", ") != want {
		t.Errorf("got lines %q, want %q", got, want)
	}
}

// TestTargetsAtStartAreNotHeldBack guards against log lines for all targets whenever a daemon starts.
func TestTargetsAtStartAreNotHeldBack(t *testing.T) {
	for _, tt := range []struct {
		age  clock.Millis
		want bool
	}{{500, false}, {10_000, true}} {
		m := clock.NewManual(20_000)
		target := newTarget(&topology.Target{ID: "t", Slots: 2}, nil, &m.Clock, 1000)
		target.startNew(m.Now() - tt.age)
		if got := target.candidate(false).SlowStart.Active(m.Now()); got != tt.want {
			t.Errorf("daemon of %d ms: got held back %t, want %t", tt.age, got, tt.want)
		}
	}
}

// TestImbalanceMetric checks that the metric shows movable work that goes to one target only, and neither work for the primary only nor single
// statements.
func TestImbalanceMetric(t *testing.T) {
	tests := []struct {
		name    string
		movable []int
		bound   []int
		want    int64
	}{
		{"even", []int{2, 2, 2}, []int{0, 0, 0}, 100},
		{"all at one target", []int{0, 2, 0}, []int{0, 0, 0}, 300},
		{"work for the primary", []int{0, 1, 1}, []int{2, 0, 0}, 100},
		{"nothing", []int{0, 0, 0}, []int{0, 0, 0}, 100},
	}
	for _, tt := range tests {
		d, g, m, _ := newBalanceDaemon("off")
		for i, target := range g.targets {
			for range tt.movable[i] {
				defer acquireSlot(t, target, m, true)()
			}
			for range tt.bound[i] {
				defer acquireSlot(t, target, m, false)()
			}
		}
		m.Advance(5000)
		if got := d.imbalance(); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}

// TestRefusedStatementIsNoLoad guards against statements that got no slot and count for ever.
func TestRefusedStatementIsNoLoad(t *testing.T) {
	_, g, m, _ := newBalanceDaemon("off")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 2 {
		defer acquireSlot(t, g.targets[0], m, true)()
	}
	if _, err := g.targets[0].acquireMeasuredSlot(ctx, &relay.LeaseRequest{Deadline: m.Now() + 1000}, true); err == nil {
		t.Fatal("got a third slot, want an error")
	}
	m.Advance(10_000)
	if load, _ := g.targets[0].meanLoad(m.Now()); load.All > 2.01 {
		t.Errorf("got mean load %.2f, want 2", load.All)
	}
}

// TestReadsOfOneSessionAreSpread guards against a setting that does not reach a running daemon: the reads of one session, one after the
// other, do not all go to the replica that answered fastest.
func TestReadsOfOneSessionAreSpread(t *testing.T) {
	env := newTestEnv(t)
	env.balance = balanceEven
	d := env.start("front-1")
	c := d.connect("lookups")
	env.eventually("a replica serves the read", func() bool { return !strings.Contains(c.query("READ a"), "by-g-0") })
	const reads = 60
	by := map[string]int{}
	for range reads {
		r := c.query("READ a")
		for _, id := range []string{"g-0", "g-1", "g-2"} {
			if strings.Contains(r, "by-"+id) {
				by[id]++
			}
		}
	}
	// On a loaded machine, replies of 1 and of several ms make one replica count as slow, so that it gets fewer reads. With balance off, at
	// most one read went to the slower replica and no choice was evened.
	evened := metrics.GetOrRegisterCounter("placement-evened", d.meter.registry).Count()
	if by["g-1"] < reads/20 || by["g-2"] < reads/20 || evened < reads/20 {
		t.Errorf("got reads by target %v and %d evened choices, want at least %d at each replica and as many evened", by, evened, reads/20)
	}
}
