package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform/standin"
)

func TestSessionsReadTheirWrites(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	for _, db := range []string{"entries", "own"} {
		c := d.connect(db)
		for i := range 30 {
			if got := c.query(fmt.Sprintf("WRITE a-%s v%d", db, i)); !standin.CompletedBy(got, "g-0") {
				t.Fatalf("%s: got %q, want the primary's signature", db, got)
			}
			if got, want := c.query("READ a-"+db), fmt.Sprintf("v%d", i); !standin.HasRow(got, want) {
				t.Fatalf("%s: got %q, want %q", db, got, want)
			}
		}
	}
	c := d.connect("lookups")
	env.eventually("a replica serves the read", func() bool { return !strings.Contains(c.query("READ a-own"), "by-g-0") })
}

func TestConfigurationIsAppliedAndNeverReverted(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	c := d.connect("gone")
	env.store.Set("config", "main", testConfig(9, true))
	env.eventually("route is gone", func() bool { return standin.NoRoute(c.query("READ a")) })
	env.store.Set("config", "main", testConfig(5, false))
	env.store.Set("config", "main", standin.MalformedConfig)
	env.store.DropHistory()
	time.Sleep(300 * time.Millisecond)
	if got := c.query("READ a"); !standin.NoRoute(got) {
		t.Errorf("got %q after older and malformed configurations, want no route", got)
	}
	env.store.Set("config", "main", testConfig(12, false))
	env.eventually("route is back", func() bool { return standin.HasRow(c.query("READ a"), "") })
}

func TestMalformedEntriesAddNoTarget(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	env.store.Set("servers", "i-odd", standin.MalformedEntry("g"))
	env.store.Set("servers", "i-text", "\"x\"")
	env.store.Set("servers", "g-2", standin.WrongTypeEntry())
	env.eventually("the malformed entries add no target", func() bool {
		g := d.view.Load().groups["g"]
		t := g.target("g-2")
		return g.target("i-odd") == nil && (t == nil || t.candidate(false).Leaving)
	})
	if got := d.connect("entries").query("WRITE a 1"); !standin.Completed(got) {
		t.Errorf("got %q, want the write served by the valid targets", got)
	}
}

func TestStoreOutage(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	c := d.connect("entries")
	env.store.SetFault(func(*http.Request) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	for i := range 20 {
		if got := c.query(fmt.Sprintf("WRITE a v%d", i)); !standin.Completed(got) {
			t.Fatalf("got %q during the outage of the store, want the write served", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
	env.store.Delete("servers", "g-1")
	env.store.Set("config", "main", testConfig(9, true))
	env.store.SetFault(nil)
	env.eventually("the configuration is applied", func() bool { return d.view.Load().config.Version == 9 })
	env.eventually("a target without an entry is removed", func() bool { return d.view.Load().findTarget("g", "g-1") == nil })
}

func TestTargetWhoseEntryReturnsIsKept(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	before := d.view.Load().findTarget("g", "g-1")
	env.store.Delete("servers", "g-1")
	env.eventually("target is leaving", func() bool { return before.candidate(false).Leaving })
	env.store.Set("servers", "g-1", standin.Entry("g", before.meta.Load().Address, 1700000000000))
	env.eventually("target has its entry again", func() bool { return !before.candidate(false).Leaving })
	if got := d.view.Load().findTarget("g", "g-1"); got != before {
		t.Error("got a new target, want the same one with its connections")
	}
}

func TestRestartedTargetReplacesTheOldOne(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	before := d.view.Load().findTarget("g", "g-1")
	env.store.Set("servers", "g-1", standin.Entry("g", before.meta.Load().Address, 1700000009999))
	env.eventually("target is replaced", func() bool {
		now := d.view.Load().findTarget("g", "g-1")
		return now != nil && now != before
	})
}

// writeUntilStopped writes until stop is closed and returns the acknowledged writes.
func writeUntilStopped(c *client, name string, stop chan struct{}) []string {
	var acknowledged []string
	for i := 0; ; i++ {
		select {
		case <-stop:
			return acknowledged
		default:
		}
		statement := fmt.Sprintf("%s v%d", name, i)
		if got := c.query("WRITE " + statement); standin.Completed(got) {
			acknowledged = append(acknowledged, statement)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func TestLeavingPrimaryHandsOverWithoutLoss(t *testing.T) {
	env := newTestEnv(t)
	first, second := env.start("front-1"), env.start("front-2")
	stop := make(chan struct{})
	acks := make(chan []string, 2)
	for i, d := range []*daemon{first, second} {
		c := d.connect("entries")
		go func() { acks <- writeUntilStopped(c, fmt.Sprint("item", i), stop) }()
	}
	time.Sleep(100 * time.Millisecond)
	old := env.group.Primary()
	old.Drain()
	env.eventually("another primary", func() bool { p := env.group.Primary(); return p != nil && p != old })
	time.Sleep(200 * time.Millisecond)
	close(stop)
	all := append(<-acks, <-acks...)
	log := env.group.Primary().Log()
	for _, data := range all {
		if !slices.Contains(log, data) {
			t.Errorf("got %q acknowledged but not in the log", data)
		}
	}
	if len(all) < 50 {
		t.Errorf("got %d writes acknowledged, want more than 50", len(all))
	}
	for _, data := range log {
		if n := count(log, data); n != 1 {
			t.Errorf("got %q %d times in the log, want once", data, n)
		}
	}
}

func count(list []string, s string) int {
	n := 0
	for _, x := range list {
		if x == s {
			n++
		}
	}
	return n
}

func TestFailedPrimaryIsReplacedOnce(t *testing.T) {
	tests := []struct {
		name  string
		fault func(env *testEnv)
	}{
		{"crash", func(env *testEnv) { env.group.Primary().Crash() }},
		{"silent primary", func(env *testEnv) { env.group.Primary().SetSilent(true) }},
		{"crash, and the response to the first promotion request is lost", func(env *testEnv) {
			dropped := false
			env.store.SetFault(func(r *http.Request) standin.Fault {
				if r.URL.Path != "/promotion" || dropped {
					return standin.Fault{}
				}
				dropped = true
				return standin.Fault{LoseResponse: true}
			})
			env.group.Primary().Crash()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t)
			a, b := env.start("front-1"), env.start("front-2")
			ca, cb := a.connect("entries"), b.connect("entries")
			ca.query("WRITE a 1")
			cb.query("WRITE a 2")
			old := env.group.Primary()
			tt.fault(env)
			replies := make(map[string]int)
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("replies %v, claim %+v, isolated %t and %t", replies, env.claim(), a.isolated.Load(), b.isolated.Load())
				}
			})
			for i, c := range []*client{ca, cb} {
				env.eventually("writes go on", func() bool {
					reply := c.session.Query("WRITE b 1")
					replies[fmt.Sprintf("%d: %.60s", i, reply)]++
					return standin.Completed(reply)
				})
			}
			if p := env.group.Primary(); p == nil || p == old {
				t.Errorf("got %v, want another primary", p)
			}
		})
	}
}

func TestDaemonThatWasCutOffKeepsAHealthyPrimary(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	c := d.connect("entries")
	c.query("WRITE a 1")
	old := env.group.Primary()
	env.store.SetFault(func(*http.Request) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	old.SetSilent(true)
	time.Sleep(1500 * time.Millisecond)
	old.SetSilent(false)
	env.store.SetFault(nil)
	env.eventually("writes go on", func() bool { return standin.Completed(c.query("WRITE b 1")) })
	if p := env.group.Primary(); p != old {
		t.Errorf("got %v as primary, want the old one", p)
	}
}

func TestStopInterruptsNoTransaction(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	idle, active := d.connect("entries"), d.connect("entries")
	idle.query("READ a")
	active.query("BEGIN")
	active.query("WRITE a 1")
	d.stop()
	env.eventually("health check fails", func() bool { return !d.healthy() })
	if got := idle.query("READ a"); !standin.HasRow(got, "") && !strings.HasSuffix(got, "broken") && got != "" {
		t.Errorf("got %q, want a reply or a connection closed while idle", got)
	}
	time.Sleep(200 * time.Millisecond)
	if got := active.query("COMMIT"); !standin.CompletedBy(got, "g-0") {
		t.Errorf("got %q, want the open transaction committed", got)
	}
	select {
	case err := <-d.done:
		if err != nil {
			t.Errorf("got %v, want a clean stop", err)
		}
		d.done <- err
	case <-time.After(testTimeout):
		t.Error("daemon did not stop within the test's time-out")
	}
}

func TestScarceConnectionsAreConcentratedAtHomes(t *testing.T) {
	env := newTestEnv(t)
	env.store.Set("config", "main", testConfigWithConnections(20, false, 8))
	var all []*daemon
	for i := range 4 {
		all = append(all, env.start(fmt.Sprint("front-", i)))
	}
	for _, d := range all {
		env.eventually("daemons list each other", func() bool { return len(*d.peers.list.Load()) == len(all) })
	}
	homes := 0
	for _, d := range all {
		for i := range 3 {
			c := d.connect("own")
			item := fmt.Sprintf("%s-%d", d.id, i)
			if got := c.query("WRITE " + item + " 1"); !standin.Completed(got) {
				t.Errorf("got %q, want the write served", got)
			}
			if got := c.query("READ " + item); !standin.HasRow(got, "1") {
				t.Errorf("got %q, want the session's write", got)
			}
		}
		if d.view.Load().findTarget("g", "g-0").pool.OpenConns() > 0 {
			homes++
		}
	}
	if homes != 1 {
		t.Errorf("got %d daemons with connections to the primary, want 1", homes)
	}
}

func TestReturnOfTheStoreIsNoticedQuickly(t *testing.T) {
	env := newTestEnv(t)
	env.drain = 30 * clock.Second // makes watches on targets long
	d := env.start("front-1")
	env.store.SetFault(func(*http.Request) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	env.eventually("the store is unavailable", func() bool { return !d.storeUp.Load() })
	env.store.SetFault(nil)
	back := time.Now()
	env.eventually("the store is available", func() bool { return d.storeUp.Load() })
	// The limit is one retry delay plus the time of a call.
	limit := (maxRetryDelay + maxRetryDelay/2).Duration() + 500*time.Millisecond
	if elapsed := time.Since(back); elapsed > limit {
		t.Errorf("store noticed after %v, want at most %v; a watch waits %d ms", elapsed, limit, d.set.entriesWatchTimeout())
	}
}

func TestFailedPrimaryTriggersProbesOfIdlePrimaries(t *testing.T) {
	env := newTestEnv(t)
	other, err := standin.NewGroup(t.Context(), env.store, "h", 3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	env.store.Set("config", "main", testConfigWithGroup(4, "h"))
	d := env.start("front-1")
	env.eventually("the second group is configured", func() bool { return d.view.Load().config.Version == 4 })
	d.connect("entries").query("WRITE a 1")
	d.connect("h-entries").query("WRITE a 1")
	time.Sleep(2 * primaryReplyAge.Duration())
	// From here on, the second group gets no traffic.
	env.group.Primary().SetSilent(true)
	other.Primary().SetSilent(true)
	c := d.connect("entries")
	go c.query("WRITE b 1")
	env.eventually("the second group's primary counts as failed", func() bool { return d.view.Load().groups["h"].outageSince() > 0 })
}
