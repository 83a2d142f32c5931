package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/process/mirror"
	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform"
)

// entryObject returns the entry of a target at version v.
func entryObject(id string, v store.Version) store.Object {
	value, err := json.Marshal(map[string]any{
		"Service": "g", "Address": "127.0.0.1:1", "Zone": "here", "Capacity": 2, "State": "ready", "DbRole": "replica", "born": 5,
	})
	if err != nil {
		panic(err)
	}
	return store.Object{Key: platform.TargetsPrefix + store.Key(id), Version: v, Value: value}
}

func deletedEntry(id string, v store.Version) store.Object {
	return store.Object{Key: platform.TargetsPrefix + store.Key(id), Version: v, Deleted: true}
}

// entryFollower is a daemon that gets targets' entries from its test instead of the store. Its control loop runs only in runControlLoop.
type entryFollower struct {
	*Daemon
	follower *follower
}

func newEntryFollower(clk *clock.Clock) *entryFollower {
	set := &Settings{Daemon: DaemonSettings{ID: "d", Drain: 7000}, Limits: LimitSettings{Descriptors: 1000}}
	d := New("", set, clk, zap.NewNop())
	return &entryFollower{Daemon: d, follower: d.newFollower("entries", platform.TargetsPrefix, 0, 0, d.applyTargets)}
}

// process handles a result and the control messages that follow from it.
func (f *entryFollower) process(t *testing.T, r mirror.Result) {
	f.follower.process(t.Context(), &r, f.clk.Now())
	f.runControlLoop(t)
}

// runControlLoop handles all messages in the control loop's inbox.
func (f *entryFollower) runControlLoop(t *testing.T) {
	for len(f.control.inbox) > 0 {
		f.control.handle(t.Context(), <-f.control.inbox)
	}
}

// presentTargets returns the IDs of the targets whose entries exist.
func (f *entryFollower) presentTargets() string {
	var list []string
	for _, g := range f.control.groups {
		for id, m := range g.members {
			if m.lapsedAt == 0 {
				list = append(list, string(id))
			}
		}
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

func TestLastOfSeveralChangesToAnEntryApplies(t *testing.T) {
	list := mirror.Result{Full: true, Version: 10, Objects: []store.Object{entryObject("a", 3), entryObject("b", 7)}}
	tests := []struct {
		name    string
		changes []store.Object
		want    string
	}{
		{"deleted, then back", []store.Object{deletedEntry("a", 11), entryObject("a", 12)}, "a b"},
		{"changed, then deleted", []store.Object{entryObject("a", 11), deletedEntry("a", 12)}, "b"},
		{"several deleted, then back", []store.Object{deletedEntry("a", 11), deletedEntry("b", 12), entryObject("b", 13), entryObject("a", 14)}, "a b"},
		{"back, then deleted again", []store.Object{deletedEntry("a", 11), entryObject("a", 12), deletedEntry("a", 13), entryObject("b", 14)}, "b"},
		{"new and deleted at once", []store.Object{entryObject("c", 11), deletedEntry("c", 12)}, "a b"},
		{"deleted, then malformed", []store.Object{deletedEntry("a", 11), {Key: platform.TargetsPrefix + "a", Version: 12, Value: []byte("{")}}, "b"},
	}
	for _, tt := range tests {
		f := newEntryFollower(&clock.NewManual(1).Clock)
		f.process(t, list)
		f.process(t, mirror.Result{Version: 20, Objects: tt.changes})
		if got := f.presentTargets(); got != tt.want {
			t.Errorf("%s: got targets %q, want %q", tt.name, got, tt.want)
		}
	}
}

// TestStoreAndMirrorReadersReachTheSameState compares a daemon that reads the store, and one that reads from a mirror, with a fresh list. A history split into any number of results has to give the same targets.
func TestStoreAndMirrorReadersReachTheSameState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := clock.NewManual(1)
		storeReader, mirrorReader := newEntryFollower(&m.Clock), newEntryFollower(&m.Clock)
		present := make(map[string]store.Object)
		storeReader.process(t, mirror.Result{Full: true, Version: 1})
		mirrorVersion := store.Version(0)
		readMirror := func() {
			a, ok := storeReader.follower.cache.Read(t.Context(), &m.Clock, mirrorVersion, 0)
			if !ok {
				rt.Fatal("got no result from the cache")
			}
			mirrorVersion = a.Version
			mirrorReader.process(t, a)
		}
		version := store.Version(1)
		for range rapid.IntRange(1, 12).Draw(rt, "results") {
			var changes []store.Object
			for range rapid.IntRange(0, 5).Draw(rt, "changes") {
				version++
				id := fmt.Sprint("t-", rapid.IntRange(0, 3).Draw(rt, "target"))
				if _, ok := present[id]; ok && rapid.Bool().Draw(rt, "deleted") {
					delete(present, id)
					changes = append(changes, deletedEntry(id, version))
					continue
				}
				present[id] = entryObject(id, version)
				changes = append(changes, present[id])
			}
			storeReader.process(t, mirror.Result{Version: version, Objects: changes})
			if rapid.Bool().Draw(rt, "mirror read") {
				readMirror()
			}
		}
		readMirror()
		fresh := newEntryFollower(&m.Clock)
		full := mirror.Result{Full: true, Version: version}
		for _, o := range present {
			full.Objects = append(full.Objects, o)
		}
		fresh.process(t, full)
		if got, want := storeReader.presentTargets(), fresh.presentTargets(); got != want {
			rt.Errorf("daemon that reads the store: got %q, want %q", got, want)
		}
		if got, want := mirrorReader.presentTargets(), fresh.presentTargets(); got != want {
			rt.Errorf("daemon that reads from a mirror: got %q, want %q", got, want)
		}
	})
}

func TestTargetAddedLaterGetsItsWindow(t *testing.T) {
	f := newEntryFollower(&clock.NewManual(1).Clock)
	f.control.config = &topology.Config{Groups: map[group.ID]topology.Group{"g": {ID: "g", MaxConnections: 30}}}
	for n, id := range []string{"a", "b"} {
		f.process(t, mirror.Result{Full: n == 0, Version: store.Version(n + 1), Objects: []store.Object{entryObject(id, store.Version(n+1))}})
		f.control.updateLimits()
		if got := f.control.groups["g"].members[group.TargetID(id)].window; got == 0 {
			t.Errorf("%s: got window 0, want a positive one", id)
		}
	}
}

func TestCallThatHungHardlyDelaysTheNext(t *testing.T) {
	clk := clock.System()
	tests := []struct {
		name   string
		hung   clock.Millis
		waited bool
	}{
		{"failed at once", 0, true},
		{"hung for longer than the longest wait", 2 * maxRetryDelay, false},
	}
	for _, tt := range tests {
		f := newEntryFollower(clk).follower
		f.retryDelay = maxRetryDelay
		ctx, cancel := context.WithTimeout(t.Context(), (maxRetryDelay * 2 / 5).Duration())
		f.handleResult(ctx, 0, &mirror.Result{}, clk.Now()-tt.hung, store.ErrUnavailable)
		if got := ctx.Err() != nil; got != tt.waited {
			t.Errorf("%s: got waited %t, want %t", tt.name, got, tt.waited)
		}
		cancel()
	}
}

// Guards against work for a target beyond its drain time because the news that it leaves came late: the daemon was suspended, or the link or
// the store was slow. A change may have occurred at any time since the request of the last read that did not show it.
func TestChangesCountFromTheReadBefore(t *testing.T) {
	leaving := func(v store.Version) []store.Object {
		o := entryObject("a", v)
		o.Value = []byte(strings.Replace(string(o.Value), "ready", "draining", 1))
		return []store.Object{o}
	}
	type read struct {
		requestedAt, arrivedAt clock.Millis
		result                 mirror.Result
	}
	list := read{1000, 1010, mirror.Result{Full: true, Version: 10, Objects: []store.Object{entryObject("a", 3)}}}
	tests := []struct {
		name  string
		reads []read
		want  clock.Millis
	}{
		{"watch that waited", []read{list, {1010, 2400, mirror.Result{Version: 11, Objects: leaving(11)}}}, 1000},
		{"watch that waited until the daemon woke", []read{list, {1010, 6000, mirror.Result{Version: 11, Objects: leaving(11)}}}, 1000},
		{"watch behind one without changes", []read{list, {1010, 2410, mirror.Result{Version: 10}}, {2410, 2420, mirror.Result{Version: 11, Objects: leaving(11)}}}, 1010},
		{"mirror", []read{list, {1010, 6000, mirror.Result{Version: 11, Objects: leaving(11), Mirrored: true, Age: 40}}}, 1000},
		{"mirror behind a mirror", []read{
			list,
			{3000, 3010, mirror.Result{Version: 10, Mirrored: true, Age: 700}},
			{3010, 6000, mirror.Result{Version: 11, Objects: leaving(11), Mirrored: true, Age: 40}},
		}, 2300},
		{"list", []read{list, {5000, 5010, mirror.Result{Full: true, Version: 11, Objects: leaving(11)}}}, 1000},
		{"first list", []read{{1000, 1010, mirror.Result{Full: true, Version: 11, Objects: leaving(11)}}}, 0},
		{"watch behind a first list of unknown age", []read{
			{1000, 1010, mirror.Result{Full: true, Version: 10, Objects: []store.Object{entryObject("a", 3)}, Age: 1010}},
			{1010, 1020, mirror.Result{Version: 11, Objects: leaving(11)}},
		}, 0},
	}
	for _, tt := range tests {
		m := clock.NewManual(1)
		f := newEntryFollower(&m.Clock)
		got := clock.Millis(-1)
		for i := range tt.reads {
			r := &tt.reads[i]
			m.Advance(r.arrivedAt - m.Now())
			f.follower.process(t.Context(), &r.result, r.requestedAt)
			for len(f.control.inbox) > 0 {
				got = (<-f.control.inbox).(entriesUpdate).since
			}
		}
		if got != tt.want {
			t.Errorf("%s: got the change since %d ms, want %d", tt.name, got, tt.want)
		}
	}
}
