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
	w := newWorld(t)
	d := w.start("front-1")
	for _, db := range []string{"entries", "own"} {
		c := d.connect(db)
		for i := range 30 {
			if got := c.ask(fmt.Sprintf("WRITE a-%s v%d", db, i)); !standin.CompletedBy(got, "g-0") {
				t.Fatalf("%s: got %q, want the primary's signature", db, got)
			}
			if got, want := c.ask("READ a-"+db), fmt.Sprintf("v%d", i); !standin.Row(got, want) {
				t.Fatalf("%s: got %q, want %q", db, got, want)
			}
		}
	}
	c := d.connect("lookups")
	w.eventually("a replica serves", func() bool { return !strings.Contains(c.ask("READ a-own"), "by-g-0") })
}

func TestConfigurationComesIntoForceAndNeverGoesBack(t *testing.T) {
	w := newWorld(t)
	d := w.start("front-1")
	c := d.connect("gone")
	w.store.Set("config", "main", config(9, true))
	w.eventually("route is gone", func() bool { return standin.NoRoute(c.ask("READ a")) })
	w.store.Set("config", "main", config(5, false))
	w.store.Set("config", "main", standin.MalformedConfig)
	w.store.Forget()
	time.Sleep(300 * time.Millisecond)
	if got := c.ask("READ a"); !standin.NoRoute(got) {
		t.Errorf("got %q after an older version, want no route", got)
	}
	w.store.Set("config", "main", config(12, false))
	w.eventually("route is back", func() bool { return standin.Row(c.ask("READ a"), "") })
}

func TestMalformedEntriesNameNoTarget(t *testing.T) {
	w := newWorld(t)
	d := w.start("front-1")
	w.store.Set("servers", "i-odd", standin.Malformed("g"))
	w.store.Set("servers", "i-text", "\"x\"")
	w.store.Set("servers", "g-2", standin.WrongType())
	w.eventually("the overwritten entry names no target", func() bool {
		g := d.view.Load().groups["g"]
		t := g.target("g-2")
		return g.target("i-odd") == nil && (t == nil || t.candidate(false).Leaving)
	})
	if got := d.connect("entries").ask("WRITE a 1"); !standin.Completed(got) {
		t.Errorf("got %q, want the others to serve", got)
	}
}

func TestStoreAway(t *testing.T) {
	w := newWorld(t)
	d := w.start("front-1")
	c := d.connect("entries")
	w.store.Break(func(*http.Request) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	for i := range 20 {
		if got := c.ask(fmt.Sprintf("WRITE a v%d", i)); !standin.Completed(got) {
			t.Fatalf("got %q while the store is away, want it served", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.store.Delete("servers", "g-1")
	w.store.Set("config", "main", config(9, true))
	w.store.Break(nil)
	w.eventually("the configuration is in force", func() bool { return d.view.Load().config.Version == 9 })
	w.eventually("a lapsed entry is dropped", func() bool { return d.view.Load().findTarget("g", "g-1") == nil })
}

func TestLapsedEntryThatComesBackIsKept(t *testing.T) {
	w := newWorld(t)
	d := w.start("front-1")
	before := d.view.Load().findTarget("g", "g-1")
	w.store.Delete("servers", "g-1")
	w.eventually("entry is gone", func() bool { return before.candidate(false).Leaving })
	w.store.Set("servers", "g-1", standin.Entry("g", before.meta.Load().Address, 1700000000000))
	w.eventually("entry is back", func() bool { return !before.candidate(false).Leaving })
	if got := d.view.Load().findTarget("g", "g-1"); got != before {
		t.Error("got another target, want the same with its connections")
	}
}

func TestTargetThatStartedAnewIsAnother(t *testing.T) {
	w := newWorld(t)
	d := w.start("front-1")
	before := d.view.Load().findTarget("g", "g-1")
	w.store.Set("servers", "g-1", standin.Entry("g", before.meta.Load().Address, 1700000009999))
	w.eventually("target is another", func() bool {
		now := d.view.Load().findTarget("g", "g-1")
		return now != nil && now != before
	})
}

// writeOn writes until stop closes and returns what was acknowledged.
func writeOn(c *client, name string, stop chan struct{}) []string {
	var acknowledged []string
	for i := 0; ; i++ {
		select {
		case <-stop:
			return acknowledged
		default:
		}
		data := fmt.Sprintf("%s v%d", name, i)
		if got := c.ask("WRITE " + data); standin.Completed(got) {
			acknowledged = append(acknowledged, data)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func TestLeavingPrimaryHandsOverWithoutLoss(t *testing.T) {
	w := newWorld(t)
	first, second := w.start("front-1"), w.start("front-2")
	stop := make(chan struct{})
	acks := make(chan []string, 2)
	for i, d := range []*daemon{first, second} {
		c := d.connect("entries")
		go func() { acks <- writeOn(c, fmt.Sprint("item", i), stop) }()
	}
	time.Sleep(100 * time.Millisecond)
	old := w.group.Primary()
	old.Drain()
	w.eventually("another primary", func() bool { p := w.group.Primary(); return p != nil && p != old })
	time.Sleep(200 * time.Millisecond)
	close(stop)
	all := append(<-acks, <-acks...)
	log := w.group.Primary().Log()
	for _, data := range all {
		if !slices.Contains(log, data) {
			t.Errorf("got %q acknowledged and not in the log", data)
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
		fault func(w *world)
	}{
		{"crash", func(w *world) { w.group.Primary().Crash() }},
		{"silence", func(w *world) { w.group.Primary().Silence(true) }},
		{"crash, and the first promotion's answer is lost", func(w *world) {
			lost := false
			w.store.Break(func(r *http.Request) standin.Fault {
				if r.URL.Path != "/promotion" || lost {
					return standin.Fault{}
				}
				lost = true
				return standin.Fault{Lose: true}
			})
			w.group.Primary().Crash()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t)
			a, b := w.start("front-1"), w.start("front-2")
			ca, cb := a.connect("entries"), b.connect("entries")
			ca.ask("WRITE a 1")
			cb.ask("WRITE a 2")
			old := w.group.Primary()
			tt.fault(w)
			for _, c := range []*client{ca, cb} {
				w.eventually("writes go on", func() bool { return standin.Completed(c.ask("WRITE b 1")) })
			}
			if p := w.group.Primary(); p == nil || p == old {
				t.Errorf("got %v, want another primary", p)
			}
		})
	}
}

func TestHealthyPrimaryIsNotReplacedByADaemonThatWasCutOff(t *testing.T) {
	w := newWorld(t)
	d := w.start("front-1")
	c := d.connect("entries")
	c.ask("WRITE a 1")
	old := w.group.Primary()
	w.store.Break(func(*http.Request) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	old.Silence(true)
	time.Sleep(1500 * time.Millisecond)
	old.Silence(false)
	w.store.Break(nil)
	w.eventually("writes go on", func() bool { return standin.Completed(c.ask("WRITE b 1")) })
	if p := w.group.Primary(); p != old {
		t.Errorf("got %v as primary, want it to stay", p)
	}
}

func TestStopCutsNothing(t *testing.T) {
	w := newWorld(t)
	d := w.start("front-1")
	resting, working := d.connect("entries"), d.connect("entries")
	resting.ask("READ a")
	working.ask("BEGIN")
	working.ask("WRITE a 1")
	d.stop()
	w.eventually("health check fails", func() bool { return !d.healthy() })
	if got := resting.ask("READ a"); !standin.Row(got, "") && !strings.HasSuffix(got, "broken") && got != "" {
		t.Errorf("got %q, want an answer or a connection that was closed at rest", got)
	}
	time.Sleep(200 * time.Millisecond)
	if got := working.ask("COMMIT"); !standin.CompletedBy(got, "g-0") {
		t.Errorf("got %q, want the open transaction to end", got)
	}
	select {
	case err := <-d.done:
		if err != nil {
			t.Errorf("got %v, want a clean stop", err)
		}
		d.done <- err
	case <-time.After(within):
		t.Error("daemon does not stop")
	}
}

func TestScarceConnectionsAreGatheredAtHomes(t *testing.T) {
	w := newWorld(t)
	w.store.Set("config", "main", configOf(20, false, 8))
	var all []*daemon
	for i := range 4 {
		all = append(all, w.start(fmt.Sprint("front-", i)))
	}
	for _, d := range all {
		w.eventually("daemons know each other", func() bool { return len(*d.peers.list.Load()) == len(all) })
	}
	homes := 0
	for _, d := range all {
		for i := range 3 {
			c := d.connect("own")
			item := fmt.Sprintf("%s-%d", d.id, i)
			if got := c.ask("WRITE " + item + " 1"); !standin.Completed(got) {
				t.Errorf("got %q, want the write served", got)
			}
			if got := c.ask("READ " + item); !standin.Row(got, "1") {
				t.Errorf("got %q, want the session's write", got)
			}
		}
		if d.view.Load().findTarget("g", "g-0").pool.Opened() > 0 {
			homes++
		}
	}
	if homes != 1 {
		t.Errorf("got %d daemons with connections to the primary, want 1", homes)
	}
}

func TestReturnOfTheStoreIsKnownAtOnce(t *testing.T) {
	w := newWorld(t)
	w.drain = 30 * clock.Second // so that watches on targets wait for long
	d := w.start("front-1")
	w.store.Break(func(*http.Request) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	w.eventually("the store is lost", func() bool { return !d.storeUp.Load() })
	w.store.Break(nil)
	back := time.Now()
	w.eventually("the store is back", func() bool { return d.storeUp.Load() })
	// One pause between two tries, and the time of a call.
	limit := (lastRetry + lastRetry/2).Duration() + 500*time.Millisecond
	if took := time.Since(back); took > limit {
		t.Errorf("got the store noticed after %v, want %v at most: a watch waits %d ms", took, limit, d.set.entriesWait())
	}
}

func TestOneLostPrimaryHasTheOthersAsked(t *testing.T) {
	w := newWorld(t)
	other, err := standin.NewGroup(t.Context(), w.store, "h", 3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	w.store.Set("config", "main", configWith(4, "h"))
	d := w.start("front-1")
	w.eventually("the second group is configured", func() bool { return d.view.Load().config.Version == 4 })
	d.connect("entries").ask("WRITE a 1")
	d.connect("h-entries").ask("WRITE a 1")
	time.Sleep(2 * suspectAge.Duration())
	// Nothing is asked of the second group any more.
	w.group.Primary().Silence(true)
	other.Primary().Silence(true)
	c := d.connect("entries")
	go c.ask("WRITE b 1")
	w.eventually("the second group's primary is found silent", func() bool { return d.view.Load().groups["h"].outageSince() > 0 })
}
