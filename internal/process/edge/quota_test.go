package edge

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/quota"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform/standin"
)

// testConfigWithLimit returns a configuration in which the callers' key belongs to a workspace with that rate and burst.
func testConfigWithLimit(version int, rate float64) map[string]any {
	c := testConfig(version, false)
	standin.SetWorkspaces(c, []standin.Workspace{{Name: "w", Keys: []string{"someone"}, PerSecond: rate, Burst: rate}})
	return c
}

// Guards against a limit that is not in force, that a daemon which stands alone or has just started cannot serve, or that stays after
// it was raised.
func TestLimitOfAWorkspace(t *testing.T) {
	env := newTestEnv(t)
	env.store.Set("config", "main", testConfigWithLimit(5, 10))
	d := env.start("front-1")
	c := d.connect("entries")
	served, refused := 0, ""
	env.eventually("an operation is refused", func() bool {
		got := c.query(fmt.Sprintf("WRITE a v%d", served))
		if standin.Completed(got) {
			served++
			return false
		}
		refused = got
		return true
	})
	if !strings.HasPrefix(refused, "ERROR BUSY") || !strings.Contains(refused, "over its limit") && !strings.Contains(refused, "quota cannot be checked") {
		t.Errorf("got %q, want a refusal that names the limit", refused)
	}
	env.eventually("an operation is served again", func() bool { return standin.Completed(c.query("WRITE a later")) })
	env.store.Set("config", "main", testConfigWithLimit(6, 100000))
	env.eventually("the raised limit is in force", func() bool {
		for range 50 {
			if !standin.Completed(c.query("WRITE a more")) {
				return false
			}
		}
		return true
	})
	env.store.Set("config", "main", testConfigWithLimit(7, 0))
	env.eventually("a rate of 0 serves nothing", func() bool { return strings.HasPrefix(c.query("WRITE a none"), "ERROR BUSY") })
}

// Guards against daemons that grant each other nothing, and against a page that does not show what is granted.
func TestDaemonsShareALimit(t *testing.T) {
	env := newTestEnv(t)
	env.store.Set("config", "main", testConfigWithLimit(5, 100000))
	a, b := env.start("front-1"), env.start("front-2")
	env.eventually("the daemons know each other", func() bool { return len(*a.peers.list.Load()) == 2 && len(*b.peers.list.Load()) == 2 })
	ca, cb := a.connect("entries"), b.connect("entries")
	asks := func() int64 {
		return metrics.GetOrRegisterCounter("quota-asks", a.meter.registry).Count() + metrics.GetOrRegisterCounter("quota-asks", b.meter.registry).Count()
	}
	env.eventually("one grants tokens to the other, and both serve", func() bool {
		return standin.Completed(ca.query("WRITE a 1")) && standin.Completed(cb.query("WRITE a 2")) && asks() > 0
	})
	lines := 0
	for _, d := range []*daemon{a, b} {
		page := httptest.NewRecorder()
		d.writeWorkspaces(page, nil)
		if strings.Contains(page.Body.String(), "\nw 5 100000 100000 1 100000.00 ") {
			lines++
		}
	}
	// Both may have granted: each does while it knows only itself.
	if lines == 0 {
		t.Errorf("got no line of the workspace on the pages of both daemons, want one")
	}
}

// Guards against daemons that each grant the whole limit because they do not know each other.
func TestQuotaView(t *testing.T) {
	known := []placement.Peer{{ID: "front-1", DataCentre: "here", MirrorAddress: "a"}, {ID: "front-2", DataCentre: "here", MirrorAddress: "b"}}
	silent := []placement.Peer{{ID: "front-1"}, {ID: "front-2"}, {ID: "front-3"}}
	tests := []struct {
		name       string
		address    string
		firstStart bool
		reads      int64
		list       []placement.Peer
		want       string
	}{
		{"forwards nothing, knows no other", "", false, 0, nil, "share 1"},
		{"no list yet", "x", false, 0, nil, "unknown"},
		{"first list of a first start", "x", true, 1, known, "unknown"},
		{"second list of a first start", "x", true, 2, known, "fleet"},
		{"no other daemon is listed", "x", false, 1, nil, "share 1"},
		{"listed", "x", false, 1, known, "fleet"},
		{"not listed itself yet", "x", false, 1, known[1:], "fleet"},
		{"no mirrors", "x", false, 1, silent, "share 3"},
		{"no mirrors, and not listed itself yet", "x", false, 1, silent[1:], "share 3"},
	}
	for _, tt := range tests {
		m := clock.NewManual(1)
		set := &Settings{Limits: LimitSettings{Descriptors: 1000}}
		set.Daemon.ID, set.Daemon.PeerAddress, set.Daemon.FirstStart = "front-1", tt.address, tt.firstStart
		d := New("", set, &m.Clock, zap.NewNop())
		d.peers.list.Store(&tt.list)
		d.peers.reads.Store(tt.reads)
		for range 2 {
			if got := describeView(d.quotaView()); got != tt.want {
				t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
			}
		}
	}
}

func describeView(v quota.View) string {
	switch {
	case v.Share > 0:
		return fmt.Sprint("share ", v.Share)
	case v.Fleet != nil:
		return "fleet"
	}
	return "unknown"
}
