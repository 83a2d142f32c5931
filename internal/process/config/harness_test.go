package config

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// fakeStore is an in-memory platform store that keeps the latest version of each key. While down is set, its calls fail; while
// returnAtOnce is set, watches return at once.
type fakeStore struct {
	mu           sync.Mutex
	objects      map[platform.Key]platform.Object
	version      platform.Version
	down         bool
	returnAtOnce bool
	lists        int
	watches      int
	changed      chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[platform.Key]platform.Object{}, changed: make(chan struct{})}
}

func (f *fakeStore) store() *platform.Store {
	return &platform.Store{List: f.list, Watch: f.watch}
}

// change runs do under the lock and wakes the watches.
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

// reset replaces the contents by the single object o and sets the version of the store to that of o.
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

// calls returns the number of calls made so far.
func (f *fakeStore) calls() (lists, watches int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists, f.watches
}

// after returns the objects with a version above from. The caller holds the lock.
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
	f.mu.Lock()
	f.watches++
	f.mu.Unlock()
	for {
		f.mu.Lock()
		out, version, down, returnAtOnce, changed := f.after(from), f.version, f.down, f.returnAtOnce, f.changed
		f.mu.Unlock()
		switch {
		case down:
			return nil, 0, platform.ErrUnavailable
		case len(out) > 0 || version < from || returnAtOnce:
			return out, version, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// harness runs a holder with a manual clock and a list of live peers that the test sets.
type harness struct {
	*Holder
	clk   *clock.Manual
	store *fakeStore
	mu    sync.Mutex
	live  []peer.Member
	// liveCalls counts the calls to Live since the test set live.
	liveCalls int
}

func (h *harness) setLive(live []peer.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live = live
	h.liveCalls = 0
}

func (h *harness) countLiveCalls() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.liveCalls
}

// run starts a holder that ends with the test.
func run(t *testing.T, store *fakeStore, live []peer.Member, peers func() ([]platform.Object, error)) *harness {
	t.Helper()
	h := &harness{store: store, live: live}
	h.Holder, h.clk = newTestHolder(Dependencies{
		Store: store.store(),
		Live: func() []peer.Member {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.liveCalls++
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

// waitForValue advances the clock until the object in force for key has value. If that never happens, the timeout of the test binary ends
// the wait.
func (h *harness) waitForValue(key platform.Key, value string) {
	h.waitUntil(func() bool {
		o, ok := h.Snapshot().Get(key)
		return ok && string(o.Value) == value
	})
}

// waitUntil advances the clock until ok holds.
func (h *harness) waitUntil(ok func() bool) {
	for !ok() {
		h.clk.Advance(100)
		time.Sleep(time.Millisecond)
	}
}

func noPeers() ([]platform.Object, error) { return nil, peer.ErrNoPeers }

// outrankingMembers returns the fewest generated live members with which d1 does not watch the platform.
func outrankingMembers() []peer.Member {
	var live []peer.Member
	h, _ := newTestHolder(Dependencies{Live: func() []peer.Member { return live }})
	for i := 0; h.Watches(); i++ {
		live = append(live, peer.Member{ID: group.DaemonID(fmt.Sprint("other-", i)), DataCentre: "dc-1"})
	}
	return live
}
