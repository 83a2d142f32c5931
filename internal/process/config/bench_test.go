package config

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	standin "github.com/cactusfork/cactusfork/internal/standin/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// BenchmarkIdleCalls reports the calls per second that the daemons of a data centre make to the platform while nothing changes.
func BenchmarkIdleCalls(b *testing.B) {
	for _, n := range []int{8, 60} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			const length = 600 * clock.Second
			var calls uint64
			for b.Loop() {
				calls = 0
				for i := range n {
					calls += idleCalls(i, n, length)
				}
			}
			b.ReportMetric(float64(calls)/float64(length/clock.Second), "calls/s")
		})
	}
}

// idleCalls returns the number of calls that daemon i of n makes within length. The simulated clock advances by the time of each
// wait.
func idleCalls(i, n int, length clock.Millis) uint64 {
	const platformWait = 30 * clock.Second
	var now clock.Millis
	readClock := func() clock.Millis { return now }
	pass := func(d clock.Millis) <-chan struct{} {
		now += d
		c := make(chan struct{})
		close(c)
		return c
	}
	var live []peer.Member
	for j := range n {
		if j != i {
			live = append(live, peer.Member{ID: group.DaemonID(fmt.Sprint("d", j)), DataCentre: "dc-1"})
		}
	}
	store := &platform.Store{
		List: func(context.Context, platform.Key) ([]platform.Object, platform.Version, error) { return nil, 1, nil },
		Watch: func(context.Context, platform.Key, platform.Version) ([]platform.Object, platform.Version, error) {
			now += platformWait
			return nil, 1, nil
		},
	}
	id := group.DaemonID(fmt.Sprint("d", i))
	h := New(Defaults(id, "dc-1"), &clock.Clock{Now: readClock, Wall: readClock, After: pass}, Dependencies{
		Store:  store,
		Live:   func() []peer.Member { return live },
		Jitter: func() float64 { return 0 },
	})
	w := watch{h: h}
	for now < length {
		w.step(context.Background())
	}
	return h.Counts().Calls
}

// BenchmarkPublish measures the time from a change of an object at the platform until all of 8 daemons on loopback have it in force.
func BenchmarkPublish(b *testing.B) {
	const daemons = 8
	ctx, cancel := context.WithCancel(context.Background())
	server, err := standin.Start(ctx, standin.Config{})
	if err != nil {
		b.Fatal(err)
	}
	store := platform.Dial(platform.Config{URL: server.URL()}, clock.System())
	var work sync.WaitGroup
	defer work.Wait()
	defer cancel()
	var holders []*Holder
	var meshes []*peer.Mesh
	seeds := make([]string, 1)
	for i := range daemons {
		h, m, server := daemon(i, store, seeds)
		defer server.Close()
		seeds[0] = server.Listener.Addr().String()
		holders = append(holders, h)
		meshes = append(meshes, m)
		work.Go(func() { _ = m.Run(ctx) })
	}
	for _, m := range meshes {
		waitFor(func() bool { return len(m.Live()) == daemons-1 })
	}
	for _, h := range holders {
		work.Go(func() { _ = h.Run(ctx) })
	}
	n := 0
	var version platform.Version
	var worst, sum time.Duration
	for b.Loop() {
		n++
		// Each change costs every watcher a call, so the pause keeps the rate of changes within the budget.
		b.StopTimer()
		time.Sleep(time.Second)
		b.StartTimer()
		value := fmt.Sprint(n)
		start := time.Now()
		if version, err = store.Put(ctx, "groups/a", []byte(value), version); err != nil {
			b.Fatal(err)
		}
		for _, h := range holders {
			waitFor(func() bool {
				o, ok := h.Snapshot().Get("groups/a")
				return ok && string(o.Value) == value
			})
		}
		sum += time.Since(start)
		worst = max(worst, time.Since(start))
	}
	b.ReportMetric(float64(sum.Microseconds())/1000/float64(n), "mean-ms")
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
}

// waitFor polls until ok holds.
func waitFor(ok func() bool) {
	for !ok() {
		time.Sleep(100 * time.Microsecond)
	}
}

// daemon returns a holder and a mesh that are connected as in a daemon, and the server of the mesh.
func daemon(i int, store *platform.Store, seeds []string) (*Holder, *peer.Mesh, *httptest.Server) {
	clk := clock.System()
	id := group.DaemonID(fmt.Sprint("d", i))
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	seed := seeds[0]
	var m *peer.Mesh
	h := New(Defaults(id, "dc-1"), clk, Dependencies{
		Store:          store,
		Live:           func() []peer.Member { return m.Live() },
		FetchFromPeers: func(ctx context.Context) ([]platform.Object, error) { return m.FetchObjects(ctx) },
		Jitter:         func() float64 { return 0.5 },
		NotifyPeers:    func(ctx context.Context) { _ = m.ExchangeNow(ctx) },
	})
	cfg := peer.Config{
		ID:         id,
		Address:    strings.TrimPrefix(server.URL, "http://"),
		DataCentre: "dc-1",
		Period:     200,
	}
	m = peer.New(cfg, clk, peer.Dependencies{
		Seeds:        func(context.Context) ([]string, error) { return []string{seed}, nil },
		Digest:       h.Digest,
		Objects:      h.Newer,
		ApplyObjects: func(objects []platform.Object) { h.Apply(objects) },
	})
	mux.Handle(m.Handler())
	return h, m, server
}
