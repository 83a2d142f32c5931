package config

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// fakeStore is a platform under a test's control; it keeps one object for each key.
type fakeStore struct {
	mu      sync.Mutex
	objects map[platform.Key]platform.Object
	version platform.Version
	down    bool
	lists   int
	changed chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[platform.Key]platform.Object{}, changed: make(chan struct{})}
}

func (f *fakeStore) store() *platform.Store {
	return &platform.Store{List: f.list, Watch: f.watch}
}

// change runs do and wakes the watches.
func (f *fakeStore) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeStore) put(key platform.Key, value string) {
	f.change(func() {
		f.version++
		f.objects[key] = object(key, f.version, value)
	})
}

// reset replaces the store by one that holds a single object of a version.
func (f *fakeStore) reset(o platform.Object) {
	f.change(func() {
		f.version = o.Version
		f.objects = map[platform.Key]platform.Object{o.Key: o}
	})
}

func (f *fakeStore) setDown(down bool) { f.change(func() { f.down = down }) }

func (f *fakeStore) list(context.Context, platform.Key) ([]platform.Object, platform.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if f.down {
		return nil, 0, platform.ErrUnavailable
	}
	return f.after(0), f.version, nil
}

func (f *fakeStore) after(from platform.Version) []platform.Object {
	var out []platform.Object
	for _, o := range f.objects {
		if o.Version > from {
			out = append(out, o)
		}
	}
	return out
}

func (f *fakeStore) watch(ctx context.Context, _ platform.Key, from platform.Version) ([]platform.Object, platform.Version, error) {
	for {
		f.mu.Lock()
		out, version, down, changed := f.after(from), f.version, f.down, f.changed
		f.mu.Unlock()
		switch {
		case down:
			return nil, 0, platform.ErrUnavailable
		case len(out) > 0 || version < from:
			return out, version, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// harness is a running holder.
type harness struct {
	*Holder
	clk   *clock.Manual
	store *fakeStore
	mu    sync.Mutex
	live  []peer.Member
}

func (h *harness) setLive(live []peer.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live = live
}

func run(t *testing.T, store *fakeStore, live []peer.Member, peers func() ([]platform.Object, error)) *harness {
	t.Helper()
	h := &harness{store: store, live: live}
	h.Holder, h.clk = newTestHolder(Seams{
		Store: store.store(),
		Live: func() []peer.Member {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.live
		},
		FetchFromPeers: func(context.Context) ([]platform.Object, error) { return peers() },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = h.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return h
}

// holds advances the clock until key has value; the test binary's timeout ends a wait in vain.
func (h *harness) holds(key platform.Key, value string) {
	h.until(func() bool {
		o, ok := h.Snapshot().Get(key)
		return ok && string(o.Value) == value
	})
}

func (h *harness) until(ok func() bool) {
	for !ok() {
		h.clk.Advance(100)
		time.Sleep(time.Millisecond)
	}
}

func noPeers() ([]platform.Object, error) { return nil, peer.ErrNoPeers }

// others returns live members of which just enough outrank d1 that it does not watch.
func others() []peer.Member {
	var live []peer.Member
	h, _ := newTestHolder(Seams{Live: func() []peer.Member { return live }})
	for i := 0; h.Watches(); i++ {
		live = append(live, peer.Member{ID: group.DaemonID(fmt.Sprint("other-", i)), DataCentre: "dc-1"})
	}
	return live
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, s *fakeStore)
	}{
		{"platform down at the start, peers hold objects", func(t *testing.T, s *fakeStore) {
			s.setDown(true)
			h := run(t, s, nil, func() ([]platform.Object, error) {
				return []platform.Object{object("groups/a", 4, "from peers")}, nil
			})
			h.holds("groups/a", "from peers")
		}},
		{"platform comes up after the start", func(t *testing.T, s *fakeStore) {
			s.setDown(true)
			h := run(t, s, nil, noPeers)
			h.until(func() bool { return h.Counts().Calls > 1 })
			s.put("groups/a", "x")
			s.setDown(false)
			h.holds("groups/a", "x")
		}},
		{"older version from a peer", func(t *testing.T, s *fakeStore) {
			s.put("groups/a", "old")
			s.put("groups/a", "new")
			h := run(t, s, nil, noPeers)
			h.holds("groups/a", "new")
			if h.Apply([]platform.Object{object("groups/a", 1, "old")}) {
				t.Error("got an older version applied")
			}
		}},
		{"lost watch", func(t *testing.T, s *fakeStore) {
			s.put("groups/a", "x")
			h := run(t, s, nil, noPeers)
			h.holds("groups/a", "x")
			s.setDown(true)
			s.put("groups/a", "y")
			s.put("groups/b", "z")
			s.setDown(false)
			h.holds("groups/a", "y")
			h.holds("groups/b", "z")
		}},
		{"platform returns with an older store", func(t *testing.T, s *fakeStore) {
			s.put("groups/a", "x")
			s.put("groups/a", "y")
			h := run(t, s, nil, noPeers)
			h.holds("groups/a", "y")
			s.reset(object("groups/a", 1, "x"))
			h.until(func() bool { return h.Counts().Older > 0 })
			h.holds("groups/a", "y")
			for range 3 {
				s.put("groups/b", "z")
			}
			h.holds("groups/b", "z")
		}},
		{"platform returns with an empty store", func(t *testing.T, s *fakeStore) {
			s.put("groups/a", "x")
			h := run(t, s, nil, noPeers)
			h.holds("groups/a", "x")
			s.change(func() { s.version, s.objects = 0, map[platform.Key]platform.Object{} })
			before := h.Counts().Calls
			h.until(func() bool { return h.Counts().Calls > before+1 })
			h.holds("groups/a", "x")
		}},
		{"watchers die and this daemon takes over", func(t *testing.T, s *fakeStore) {
			h := run(t, s, others(), noPeers)
			s.put("groups/a", "x")
			h.clk.Advance(10 * clock.Second)
			if _, ok := h.Snapshot().Get("groups/a"); ok {
				t.Error("got an object without watching")
			}
			h.setLive(nil)
			h.holds("groups/a", "x")
		}},
		{"object is deleted", func(t *testing.T, s *fakeStore) {
			s.put("groups/a", "x")
			h := run(t, s, nil, noPeers)
			h.holds("groups/a", "x")
			s.put("groups/a", "")
			h.until(func() bool { _, ok := h.Snapshot().Get("groups/a"); return !ok })
			h.Apply([]platform.Object{object("groups/a", 1, "x")})
			if _, ok := h.Snapshot().Get("groups/a"); ok {
				t.Error("got a deleted object back")
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.run(t, newFakeStore()) })
	}
}

func TestTwoOfADataCentreWatch(t *testing.T) {
	live := append(others(), peer.Member{ID: "d1", DataCentre: "dc-1"})
	live = append(live, peer.Member{ID: "elsewhere", DataCentre: "dc-2"})
	watching := 0
	for i, m := range live[:len(live)-1] {
		rest := append(append([]peer.Member{}, live[:i]...), live[i+1:]...)
		h := New(Defaults(m.ID, "dc-1"), clock.System(), Seams{Live: func() []peer.Member { return rest }})
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
		if err := b.take(); (err == nil) != s.ok {
			t.Errorf("step %d: got %v, want ok %t", i, err, s.ok)
		}
	}
	if got := b.refused.Load(); got != 3 {
		t.Errorf("got %d refused, want 3", got)
	}
}

func TestDelayGrowsWithinBounds(t *testing.T) {
	for _, jitter := range []float64{0, 0.999} {
		h, _ := newTestHolder(Seams{Jitter: func() float64 { return jitter }})
		for n := range 100 {
			longest := min(h.cfg.MaxBackoff, h.cfg.Backoff<<min(n, 16))
			if d := h.delay(n); d < longest/2 || d > longest {
				t.Errorf("failure %d: got %d, want %d to %d", n, d, longest/2, longest)
			}
		}
	}
}

func TestVersionInForceNeverFalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h, _ := newTestHolder(Seams{Validate: func(o platform.Object) error {
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
				rt.Fatalf("got changed %t against the digest", applied)
			}
			select {
			case <-changed:
			default:
				if applied {
					rt.Fatal("a change was not told")
				}
			}
			for _, held := range h.Digest().Held {
				if held.Version < highest[held.Key] {
					rt.Fatalf("%s fell from %d to %d", held.Key, highest[held.Key], held.Version)
				}
				highest[held.Key] = held.Version
			}
			want := newSnapshot(h.Snapshot().objects).Digest().Hash
			if h.Digest().Hash != want || len(h.Newer(h.Digest().Held)) != 0 {
				rt.Fatal("digest and objects differ")
			}
		}
	})
}
