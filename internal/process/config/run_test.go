package config

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestFaults(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, s *fakeStore)
	}{
		{"objects come from peers while the platform is down at start", func(t *testing.T, s *fakeStore) {
			s.setDown(true)
			h := run(t, s, nil, func() ([]platform.Object, error) {
				return []platform.Object{object("groups/a", 4, "from peers")}, nil
			})
			h.waitForValue("groups/a", "from peers")
		}},
		{"platform becomes available after the start", func(t *testing.T, s *fakeStore) {
			s.setDown(true)
			h := run(t, s, nil, noPeers)
			h.waitUntil(func() bool { return h.Counts().Calls > 1 })
			s.put("groups/a", "x")
			s.setDown(false)
			h.waitForValue("groups/a", "x")
		}},
		{"older version from a peer", func(t *testing.T, s *fakeStore) {
			s.put("groups/a", "old")
			s.put("groups/a", "new")
			h := run(t, s, nil, noPeers)
			h.waitForValue("groups/a", "new")
			if h.Apply([]platform.Object{object("groups/a", 1, "old")}) {
				t.Error("Apply accepted a version older than the one in force")
			}
		}},
		{"changes during a failed watch are not missed", func(t *testing.T, s *fakeStore) {
			s.put("groups/a", "x")
			h := run(t, s, nil, noPeers)
			h.waitForValue("groups/a", "x")
			s.setDown(true)
			s.put("groups/a", "y")
			s.put("groups/b", "z")
			s.setDown(false)
			h.waitForValue("groups/a", "y")
			h.waitForValue("groups/b", "z")
		}},
		{"platform returns with an older store", func(t *testing.T, s *fakeStore) {
			s.put("groups/a", "x")
			s.put("groups/a", "y")
			h := run(t, s, nil, noPeers)
			h.waitForValue("groups/a", "y")
			s.reset(object("groups/a", 1, "x"))
			h.waitUntil(func() bool { return h.Counts().Older > 0 })
			h.waitForValue("groups/a", "y")
			for range 3 {
				s.put("groups/b", "z")
			}
			h.waitForValue("groups/b", "z")
		}},
		{"platform returns with an empty store", func(t *testing.T, s *fakeStore) {
			s.put("groups/a", "x")
			h := run(t, s, nil, noPeers)
			h.waitForValue("groups/a", "x")
			s.change(func() { s.version, s.objects = 0, map[platform.Key]platform.Object{} })
			before := h.Counts().Calls
			h.waitUntil(func() bool { return h.Counts().Calls > before+1 })
			h.waitForValue("groups/a", "x")
		}},
		{"daemon watches after the other watchers have failed", func(t *testing.T, s *fakeStore) {
			h := run(t, s, outrankingMembers(), noPeers)
			s.put("groups/a", "x")
			h.clk.Advance(10 * clock.Second)
			if _, ok := h.Snapshot().Get("groups/a"); ok {
				t.Error("daemon that does not watch has an object in force")
			}
			h.setLive(nil)
			h.waitForValue("groups/a", "x")
		}},
		{"daemon lists all objects when it watches again", func(t *testing.T, s *fakeStore) {
			s.returnAtOnce = true
			h := run(t, s, nil, noPeers)
			h.waitUntil(func() bool { lists, _ := s.calls(); return lists == 1 })
			h.setLive(outrankingMembers())
			h.waitUntil(func() bool { return h.countLiveCalls() > 1 })
			h.setLive(nil)
			h.waitUntil(func() bool { lists, _ := s.calls(); return lists == 2 })
		}},
		{"platform returns from watches at once", func(t *testing.T, s *fakeStore) {
			s.returnAtOnce = true
			h := run(t, s, nil, noPeers)
			h.waitUntil(func() bool { return h.Counts().Refused > 20 })
			lists, watches := s.calls()
			maxCalls := h.cfg.Burst + int(h.cfg.CallsPerSecond*float64(h.clk.Now()/clock.Second+1))
			if lists+watches > maxCalls {
				t.Errorf("got %d calls, want at most %d", lists+watches, maxCalls)
			}
		}},
		{"object is deleted", func(t *testing.T, s *fakeStore) {
			s.put("groups/a", "x")
			h := run(t, s, nil, noPeers)
			h.waitForValue("groups/a", "x")
			s.put("groups/a", "")
			h.waitUntil(func() bool { _, ok := h.Snapshot().Get("groups/a"); return !ok })
			h.Apply([]platform.Object{object("groups/a", 1, "x")})
			if _, ok := h.Snapshot().Get("groups/a"); ok {
				t.Error("an older version brought a deleted object back")
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.run(t, newFakeStore()) })
	}
}

func TestTwoDaemonsPerDataCentreWatch(t *testing.T) {
	live := append(outrankingMembers(), peer.Member{ID: "d1", DataCentre: "dc-1"})
	watching := 0
	for i, m := range live {
		rest := append(append([]peer.Member{}, live[:i]...), live[i+1:]...)
		for j := range 2000 {
			rest = append(rest, peer.Member{ID: group.DaemonID(fmt.Sprint("remote-", j)), DataCentre: "dc-2"})
		}
		h := New(Defaults(m.ID, "dc-1"), clock.System(), Dependencies{Live: func() []peer.Member { return rest }})
		if h.Watches() {
			watching++
		}
	}
	if watching != 2 {
		t.Errorf("got %d watchers, want 2", watching)
	}
}

func TestBudgetRefusesAndCounts(t *testing.T) {
	clk := clock.NewManual(0)
	b := newBudget(&clk.Clock, 2, 3)
	steps := []struct {
		advance clock.Millis
		ok      bool
	}{{0, true}, {0, true}, {0, true}, {0, false}, {499, false}, {1, true}, {0, false}}
	for i, s := range steps {
		clk.Advance(s.advance)
		if err := b.takeToken(); (err == nil) != s.ok {
			t.Errorf("step %d: got %v, want ok %t", i, err, s.ok)
		}
	}
	if got := b.refused.Load(); got != 3 {
		t.Errorf("got %d refused, want 3", got)
	}
}

func TestBackoffGrowsWithinBounds(t *testing.T) {
	for _, jitter := range []float64{0, 0.999} {
		h, _ := newTestHolder(Dependencies{Jitter: func() float64 { return jitter }})
		for n := range 100 {
			limit := min(h.cfg.MaxBackoff, h.cfg.MinBackoff<<min(n, 16))
			if d := h.backoff(n); d < limit/2 || d > limit {
				t.Errorf("failure %d: got %d, want %d to %d", n, d, limit/2, limit)
			}
		}
	}
}

func TestVersionInForceNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h, _ := newTestHolder(Dependencies{Validate: func(o platform.Object) error {
			if len(o.Value) == 3 {
				return context.Canceled
			}
			return nil
		}})
		drawn := rapid.Custom(func(rt *rapid.T) platform.Object {
			key := rapid.SampledFrom([]platform.Key{"groups/a", "services/b", "other/c"}).Draw(rt, "key")
			v := rapid.Uint64Range(0, 6).Draw(rt, "version")
			return object(key, platform.Version(v), rapid.StringN(0, 3, 3).Draw(rt, "value"))
		})
		highest := map[platform.Key]platform.Version{}
		for range rapid.IntRange(1, 20).Draw(rt, "batches") {
			batch := rapid.SliceOfN(drawn, 0, 5).Draw(rt, "batch")
			changed := h.Changed()
			before := h.Digest().Hash
			applied := h.Apply(batch)
			if applied != (before != h.Digest().Hash) {
				rt.Fatalf("Apply returned %t, which does not match the change of the digest", applied)
			}
			select {
			case <-changed:
			default:
				if applied {
					rt.Fatal("Changed was not signalled after a change")
				}
			}
			for _, held := range h.Digest().Held {
				if held.Version < highest[held.Key] {
					rt.Fatalf("version of %s decreased from %d to %d", held.Key, highest[held.Key], held.Version)
				}
				highest[held.Key] = held.Version
			}
			want := newSnapshot(h.Snapshot().objects).Digest().Hash
			if h.Digest().Hash != want || len(h.Newer(h.Digest().Held)) != 0 {
				rt.Fatal("digest does not match the objects in force")
			}
		}
	})
}
