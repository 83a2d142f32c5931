package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/mirror"
	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform"
	"github.com/cactusfork/cactusfork/platform/standin"
)

// restore makes the store unavailable, restores it from a copy, calls write and makes the store available again.
func (e *testEnv) restore(c *standin.Copy, write func()) {
	e.t.Helper()
	e.store.SetFault(func(*http.Request) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
	e.store.Restore(c)
	write()
	e.store.SetFault(nil)
}

// advanceRevision makes changes that no daemon follows, so that the revision is higher than it is behind a restore.
func (e *testEnv) advanceRevision() {
	for n := range 50 {
		e.store.Set("others", "o", map[string]int{"n": n})
	}
}

func TestConfigurationWrittenBehindARestoreIsApplied(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	c := env.store.Copy()
	env.store.Set("config", "main", testConfig(9, false))
	env.store.Set("config", "main", testConfig(11, false))
	env.awaitConfig(11, []*daemon{d})
	env.restore(c, func() {
		env.store.Set("config", "main", testConfig(11, false))
		env.store.Set("config", "main", testConfig(14, true)) // has the revision that version 11 had before
	})
	env.awaitConfig(14, []*daemon{d})
}

func TestPrimaryIsReplacedBehindARestore(t *testing.T) {
	env := newTestEnv(t)
	d := env.start("front-1")
	c := env.store.Copy()
	env.advanceRevision()
	for range 2 {
		env.group.Primary().Crash()
		env.eventually("writes go on", func() bool { return standin.Completed(d.connect("entries").query("WRITE a 1")) })
		env.restore(c, env.group.WriteEntries)
	}
}

func TestOwnEntryLostInARestoreIsWrittenAgain(t *testing.T) {
	env := newTestEnv(t)
	c := env.store.Copy()
	env.advanceRevision()
	d := env.start("front-1")
	env.eventually("daemon lists itself", func() bool { return len(*d.peers.list.Load()) == 1 })
	env.restore(c, func() {})
	env.eventually("own entry is written", func() bool { return env.store.Has("cactusfork-daemons", "front-1") })
}

func TestEntryWrittenBehindARestoreIsApplied(t *testing.T) {
	env := newTestEnv(t)
	c := env.store.Copy()
	env.advanceRevision()
	env.group.WriteEntries()
	d := env.start("front-1")
	env.restore(c, env.group.Targets[1].Drain)
	env.eventually("target is leaving", func() bool { return d.view.Load().findTarget("g", "g-1").candidate(false).Leaving })
}

// version returns the version of a revision in an era.
func version(t *testing.T, era store.Era, revision uint64) store.Version {
	t.Helper()
	v, err := store.NewVersion(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestEntryOfTheCopyDoesNotReplaceANewerOne covers targets that were taken for ready, or for the primary, by an entry that they have since replaced.
func TestEntryOfTheCopyDoesNotReplaceANewerOne(t *testing.T) {
	entry := func(v store.Version, born, sequence int64, state, role string) store.Object {
		value, err := json.Marshal(map[string]any{
			"Service": "g", "Address": "127.0.0.1:1", "Zone": "here", "Capacity": 2, "State": state, "DbRole": role, "born": born, "Sequence": sequence,
		})
		if err != nil {
			t.Fatal(err)
		}
		return store.Object{Key: platform.TargetsPrefix + "a", Version: v, Value: value}
	}
	known := version(t, 1, 30)
	copied, rewritten := version(t, 2, 20), version(t, 2, 25)
	list := func(o ...store.Object) mirror.Result {
		return mirror.Result{Full: true, Version: version(t, 2, 22), Objects: o}
	}
	tests := []struct {
		name    string
		updates []mirror.Result
		want    string
	}{
		{"older write", []mirror.Result{list(entry(copied, 5, 3, "ready", "primary"))}, "draining replica"},
		{"older write, listed again", []mirror.Result{list(entry(copied, 5, 3, "ready", "primary")), list(entry(copied, 5, 3, "ready", "primary"))}, "draining replica"},
		{"older start", []mirror.Result{list(entry(copied, 4, 90, "ready", "primary"))}, "draining replica"},
		{"the same write", []mirror.Result{list(entry(copied, 5, 7, "draining", "replica"))}, "draining replica"},
		{"later write", []mirror.Result{list(entry(copied, 5, 8, "draining", "primary"))}, "draining primary"},
		{"later start", []mirror.Result{list(entry(copied, 6, 1, "ready", "primary"))}, "ready primary"},
		{"start unknown", []mirror.Result{list(entry(copied, 0, 1, "ready", "primary"))}, "ready primary"},
		{"written again later", []mirror.Result{list(entry(copied, 5, 3, "ready", "replica")), {Version: rewritten, Objects: []store.Object{entry(rewritten, 5, 9, "draining", "primary")}}}, "draining primary"},
		{"restarted with an earlier clock", []mirror.Result{list(entry(copied, 5, 3, "ready", "replica")), {Version: rewritten, Objects: []store.Object{entry(rewritten, 2, 1, "ready", "primary")}}}, "ready primary"},
	}
	for _, tt := range tests {
		f := newEntryFollower(&clock.NewManual(1000).Clock)
		f.process(t, mirror.Result{Full: true, Version: known, Objects: []store.Object{entry(known, 5, 7, "draining", "replica")}})
		for _, r := range tt.updates {
			f.process(t, r)
		}
		meta := f.control.groups["g"].members["a"].meta.Load()
		got := "ready replica"
		switch {
		case meta.Draining && meta.Primary:
			got = "draining primary"
		case meta.Draining:
			got = "draining replica"
		case meta.Primary:
			got = "ready primary"
		}
		if got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

func TestAuditBehindARestoreAppliesNothing(t *testing.T) {
	f := newEntryFollower(&clock.NewManual(1000).Clock)
	from := version(t, 1, 30)
	f.process(t, mirror.Result{Full: true, Version: from, Objects: []store.Object{entryObject("a", from)}})
	f.follower.stale = &store.Store{List: func(context.Context, store.Key) ([]store.Object, store.Version, error) {
		return nil, version(t, 2, 20), nil
	}}
	f.follower.audit(t.Context(), from)
	f.runControlLoop(t)
	if got, want := f.presentTargets(), "a"; got != want {
		t.Errorf("got targets %q, want %q until the list of the new era", got, want)
	}
}

func TestTargetMissingInTheCopyMayWriteItsEntryAgain(t *testing.T) {
	m := clock.NewManual(1000)
	f := newEntryFollower(&m.Clock)
	f.process(t, mirror.Result{Full: true, Version: version(t, 1, 30), Objects: []store.Object{entryObject("a", version(t, 1, 30))}})
	m.Advance(f.set.Daemon.Drain) // an outage as long as the drain time
	f.process(t, mirror.Result{Full: true, Version: version(t, 2, 20)})
	target := f.control.groups["g"].members["a"]
	if got := target.candidate(true); !got.Leaving || got.Departed {
		t.Errorf("got leaving %t, departed %t behind the restore, want only leaving", got.Leaving, got.Departed)
	}
	f.process(t, mirror.Result{Version: version(t, 2, 21), Objects: []store.Object{entryObject("a", version(t, 2, 21))}})
	if got := target.candidate(true); got.Leaving {
		t.Error("got a leaving target after its entry came back, want a present one")
	}
}

func TestLeavingMarkLostInARestoreIsWrittenAgain(t *testing.T) {
	set := &Settings{Daemon: DaemonSettings{ID: "d", DataCentre: "here", PeerAddress: "127.0.0.1:1"}, Limits: LimitSettings{Descriptors: 1000}}
	d := New("", set, &clock.NewManual(1).Clock, zap.NewNop())
	present, err := json.Marshal(d.ownEntry())
	if err != nil {
		t.Fatal(err)
	}
	var written []string
	d.store = &store.Store{Put: func(_ context.Context, _ store.Key, value []byte, ifVersion store.Version) (store.Version, error) {
		written = append(written, fmt.Sprintf("%s at %s", value, ifVersion))
		return ifVersion + 1, nil
	}}
	d.draining.Store(true)
	d.ownVersion = version(t, 1, 30) // of the leaving mark
	lists := []store.Version{version(t, 1, 29), version(t, 2, 22)}
	for _, v := range lists {
		d.register(t.Context(), []store.Object{{Key: peerPrefix + "d", Version: v, Value: present}}, v)
	}
	if len(written) != 1 || !strings.Contains(written[0], `"leaving":true`) || !strings.HasSuffix(written[0], "at 2.22") {
		t.Errorf("got writes %q, want the leaving mark once, over the entry of the copy", written)
	}
}
