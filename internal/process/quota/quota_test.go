package quota

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/quota"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// readyIssuer returns an issuer that started long before.
func readyIssuer() *Issuer {
	clk := clock.System()
	i := NewIssuer(clk, quota.DefaultWindow, quota.Tolerance{})
	i.issuer = quota.NewIssuer(clk.Now()-quota.ReadyDelay, quota.DefaultWindow, quota.Tolerance{})
	return i
}

// serve serves an issuer on loopback and returns its address.
func serve(t testing.TB, i *Issuer) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(Handler(i))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// counts holds counters by name.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counts) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[name]++
}

func (c *counts) get(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[name]
}

type testClient struct {
	*Client
	counts  *counts
	reports atomic.Int64
}

// newTestClient returns the client of daemon "self", which knows the given daemons.
func newTestClient(list []placement.Peer, send func(ctx context.Context, address string, asks []quota.Ask) ([]quota.Grant, error)) *testClient {
	tc := &testClient{counts: &counts{n: make(map[string]int)}}
	v := View{Fleet: quota.NewFleet(list)}
	if list == nil {
		v = View{}
	}
	tc.Client = NewClient(Config{
		Self: "self", DataCentre: "c0", Clock: clock.System(), Issuer: readyIssuer(), View: func() View { return v },
		Send: send, Count: tc.counts.add, Report: func(*Refusal) { tc.reports.Add(1) },
	})
	return tc
}

func (tc *testClient) take(w *workspace.Workspace) error {
	return tc.Take(context.Background(), w, 1, tc.cfg.Clock.Now()+clock.Second)
}

func sender() func(ctx context.Context, address string, asks []quota.Ask) ([]quota.Grant, error) {
	return Sender((&net.Dialer{}).DialContext)
}

func limited(rate float64) *workspace.Workspace {
	return &workspace.Workspace{ID: "w", Limited: true, Limit: workspace.Limit{PerSecond: rate, Burst: rate}}
}

// Guards against fields that get lost between daemons.
func TestHandlerAnswersEachAsk(t *testing.T) {
	address := serve(t, readyIssuer())
	limit := workspace.Limit{PerSecond: 4, Burst: 4}
	asks := []quota.Ask{
		{Workspace: "a", Tokens: 1, Version: 2, Limit: limit, Parts: 2},
		{Workspace: "b", Tokens: 9, Version: 2, Limit: limit, Parts: 2},
		{Workspace: "a", Tokens: 9, Version: 1, Limit: workspace.Limit{PerSecond: 1e6, Burst: 1e6}, Parts: 1},
	}
	got, err := sender()(t.Context(), address, asks)
	if err != nil || len(got) != 3 || got[0].Tokens != 1 || got[1].Tokens != 2 || got[1].RetryAfter < 400 || got[2].Tokens != 1 {
		t.Errorf("got %+v, %v, want 1, 2 and 1 tokens, as the newest version has 2 a second for each part", got, err)
	}
	young := NewIssuer(clock.System(), quota.DefaultWindow, quota.Tolerance{})
	address = serve(t, young)
	got, err = sender()(t.Context(), address, asks[:1])
	if err != nil || len(got) != 1 || !got[0].NotReady || got[0].RetryAfter <= 0 {
		t.Errorf("got %+v, %v, want not ready", got, err)
	}
	asks[0].Force = true
	if got, err = sender()(t.Context(), address, asks[:1]); err != nil || got[0].Tokens != 1 {
		t.Errorf("got %+v, %v by force, want a token", got, err)
	}
	asks[0].Workspace = workspace.ID(strings.Repeat("x", maxNameBytes+1))
	if got, err = sender()(t.Context(), address, asks[:1]); err != nil || got[0].Tokens != 0 || got[0].RetryAfter != quota.DefaultWindow {
		t.Errorf("got %+v, %v for a long name, want no token", got, err)
	}
	if _, err := sender()(t.Context(), address, make([]quota.Ask, maxAsks+1)); err == nil || !strings.Contains(err.Error(), errTooManyAsks.Error()) {
		t.Errorf("got %v, want %v", err, errTooManyAsks)
	}
}

// Guards against a daemon without others that serves nothing, or everything.
func TestClientAsksItsOwnIssuer(t *testing.T) {
	tc := newTestClient([]placement.Peer{{ID: "self", DataCentre: "c0", MirrorAddress: "none"}}, nil)
	w := limited(20)
	granted := 0
	var err error
	for err == nil && granted < 100 {
		if err = tc.take(w); err == nil {
			granted++
		}
	}
	var refused *statement.Refusal
	if !errors.As(err, &refused) || refused.Code != statement.Busy || !strings.HasPrefix(refused.Text, "workspace is over its limit, come back in ") {
		t.Errorf("got %v, want a refusal with the time to come back", err)
	}
	if granted < quota.StartTokens || granted > 25 || tc.counts.get("quota-granted") != granted || tc.counts.get("quota-refused") != 1 || tc.reports.Load() != 1 {
		t.Errorf("got %d granted, counters %v, %d reports", granted, tc.counts.n, tc.reports.Load())
	}
	for range 50 {
		_ = tc.take(w) // only the number of reports counts
	}
	if got := tc.reports.Load(); got > 3 {
		t.Errorf("got %d reports of one workspace, want a few", got)
	}
	if err := tc.take(&workspace.Workspace{ID: "free"}); err != nil {
		t.Errorf("got %v for a workspace without a limit, want nil", err)
	}
}

// Guards against operations that are served while no limit can be checked.
func TestClientRefusesWhatItCannotCheck(t *testing.T) {
	failing := func(context.Context, string, []quota.Ask) ([]quota.Grant, error) { return nil, errors.New("no route") }
	for name, list := range map[string][]placement.Peer{
		"daemons are not known": nil,
		"no issuer answers":     {{ID: "a", DataCentre: "c0", MirrorAddress: "a"}, {ID: "b", DataCentre: "c1", MirrorAddress: "b"}},
	} {
		tc := newTestClient(list, failing)
		var refused *statement.Refusal
		if err := tc.take(limited(20)); !errors.As(err, &refused) || refused.Text != "quota cannot be checked, come back in 200 ms" {
			t.Errorf("%s: got %v, want a refusal", name, err)
		}
		if got := tc.counts.get("quota-unchecked"); got != 1 {
			t.Errorf("%s: got %d unchecked, want 1", name, got)
		}
	}
}

// Guards against a silent issuer that holds up operations beyond one wait, and against one that is asked again at once.
func TestClientLeavesASilentIssuer(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	working := serve(t, readyIssuer())
	var silentAsks atomic.Int64
	list := []placement.Peer{{ID: "a", DataCentre: "c0", MirrorAddress: "first"}, {ID: "b", DataCentre: "c0", MirrorAddress: "first"}}
	first := quota.Issuers("w", list, "c0")[0][0].ID
	for i := range list {
		list[i].MirrorAddress = working
		if list[i].ID == first {
			list[i].MirrorAddress = l.Addr().String()
		}
	}
	send := sender()
	tc := newTestClient(list, func(ctx context.Context, address string, asks []quota.Ask) ([]quota.Grant, error) {
		if address != working {
			silentAsks.Add(1)
		}
		return send(ctx, address, asks)
	})
	for range 2 {
		if err := tc.take(limited(1000)); err != nil {
			t.Errorf("got %v, want a token of the second issuer", err)
		}
	}
	if got := silentAsks.Load(); got != 1 {
		t.Errorf("got %d asks of the silent issuer, want 1", got)
	}
	if got := tc.counts.get("quota-ask-failures"); got != 1 {
		t.Errorf("got %d failures, want 1", got)
	}
}

// Guards against one request for each operation, and several at a time to one issuer.
func TestClientBatchesAsks(t *testing.T) {
	issuer := readyIssuer()
	var sending, most, sends atomic.Int64
	send := func(_ context.Context, _ string, asks []quota.Ask) ([]quota.Grant, error) {
		sends.Add(1)
		most.Store(max(most.Load(), sending.Add(1)))
		time.Sleep(20 * time.Millisecond)
		defer sending.Add(-1)
		grants := make([]quota.Grant, len(asks))
		for i, a := range asks {
			a.Parts = 1
			grants[i] = issuer.Take(a)
			grants[i].Tokens = a.Tokens
		}
		return grants, nil
	}
	tc := newTestClient([]placement.Peer{{ID: "a", DataCentre: "c0", MirrorAddress: "a"}}, send)
	var all sync.WaitGroup
	var failed atomic.Int64
	const workspaces, each = 20, 30
	for n := range workspaces {
		w := limited(1000)
		w.ID = workspace.ID(fmt.Sprint("w", n))
		for range each {
			all.Go(func() {
				if tc.take(w) != nil {
					failed.Add(1)
				}
			})
		}
	}
	all.Wait()
	if failed.Load() > 0 || most.Load() != 1 || sends.Load() > 2*workspaces {
		t.Errorf("got %d failed, %d requests at a time, %d in all, want none, 1 and far fewer than %d", failed.Load(), most.Load(), sends.Load(), workspaces*each)
	}
}

// Guards against a token that is lost with an operation whose caller has gone, and against a waiter that stays behind.
func TestClientEndsWithContext(t *testing.T) {
	release := make(chan struct{})
	tc := newTestClient([]placement.Peer{{ID: "a", DataCentre: "c0", MirrorAddress: "a"}}, func(_ context.Context, _ string, asks []quota.Ask) ([]quota.Grant, error) {
		<-release
		return []quota.Grant{{Tokens: asks[0].Tokens}}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w := limited(20)
	if err := tc.Take(ctx, w, 1, tc.cfg.Clock.Now()+clock.Second); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
	var refused *statement.Refusal
	if err := tc.Take(t.Context(), w, 1, tc.cfg.Clock.Now()+20); !errors.As(err, &refused) || tc.counts.get("quota-unchecked") != 1 {
		t.Errorf("got %v at the deadline, want a refusal", err)
	}
	close(release)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		tc.mu.Lock()
		f := tc.flows["w"]
		idle, waiting := !f.asking, len(f.waiting)
		tc.mu.Unlock()
		if idle {
			if waiting != 0 {
				t.Errorf("got %d waiting, want none", waiting)
			}
			return
		}
	}
	t.Error("round did not end")
}

// Guards against memory that grows with the workspaces of all time.
func TestClientDropsIdleFlows(t *testing.T) {
	m := clock.NewManual(100_000)
	tc := newTestClient([]placement.Peer{{ID: "self", DataCentre: "c0", MirrorAddress: "none"}}, nil)
	tc.cfg.Clock = &m.Clock
	for n := range 50 {
		w := limited(100)
		w.ID = workspace.ID(fmt.Sprint("w", n))
		if err := tc.take(w); err != nil {
			t.Errorf("got %v, want a token", err)
		}
	}
	m.Advance(quota.DefaultWindow + 1)
	if err := tc.take(limited(100)); err != nil || len(tc.flows) != 1 {
		t.Errorf("got %v and %d flows, want a token and 1", err, len(tc.flows))
	}
}

// Guards against data races and lost operations while the limit is used up by many callers.
func TestClientUnderLoad(t *testing.T) {
	address := serve(t, readyIssuer())
	tc := newTestClient([]placement.Peer{{ID: "a", DataCentre: "c0", MirrorAddress: address}, {ID: "self", DataCentre: "c1", MirrorAddress: "none"}}, sender())
	var all sync.WaitGroup
	var granted, refused atomic.Int64
	w := limited(200)
	start := time.Now()
	for range 20 {
		all.Go(func() {
			for range 50 {
				if err := tc.take(w); err != nil {
					refused.Add(1)
				} else {
					granted.Add(1)
					tc.Return("other", tc.cfg.Clock.Now())
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	all.Wait()
	most := int64(200*time.Since(start).Seconds()) + 200 + 4*quota.StartTokens
	if granted.Load()+refused.Load() != 1000 || granted.Load() > most || granted.Load() == 0 {
		t.Errorf("got %d granted and %d refused in %v, want at most %d granted", granted.Load(), refused.Load(), time.Since(start), most)
	}
}

// BenchmarkTakeFromStock measures an operation whose token is in stock or comes from the daemon's own issuer.
func BenchmarkTakeFromStock(b *testing.B) {
	tc := newTestClient([]placement.Peer{{ID: "self", DataCentre: "c0", MirrorAddress: "none"}}, nil)
	w := limited(1e9)
	b.ReportAllocs()
	for b.Loop() {
		_ = tc.take(w)
	}
}

// BenchmarkAsk measures a request with one ask over loopback, both sides together.
func BenchmarkAsk(b *testing.B) {
	for _, n := range []int{1, 16} {
		b.Run(fmt.Sprint("asks=", n), func(b *testing.B) {
			address, send := serve(b, readyIssuer()), sender()
			asks := make([]quota.Ask, n)
			for i := range asks {
				asks[i] = quota.Ask{Workspace: workspace.ID(fmt.Sprint("workspace-", i)), Tokens: 3, Version: 1, Limit: workspace.Limit{PerSecond: 1e9, Burst: 1e9}, Parts: 3}
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := send(context.Background(), address, asks); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory reports the bytes of a bucket at an issuer and of a workspace at a requester.
func BenchmarkMemory(b *testing.B) {
	const n = 30_000
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		tc := newTestClient([]placement.Peer{{ID: "self", DataCentre: "c0", MirrorAddress: "none"}}, nil)
		list := make([]*workspace.Workspace, n)
		for i := range list {
			list[i] = limited(100)
			list[i].ID = workspace.ID(fmt.Sprint("workspace-", i))
		}
		before := heap()
		for _, w := range list {
			tc.cfg.Issuer.Take(quota.Ask{Workspace: w.ID, Tokens: 1, Limit: w.Limit, Parts: 1})
		}
		middle := heap()
		for _, w := range list {
			_ = tc.take(w)
		}
		after := heap()
		b.ReportMetric(float64(middle-before)/n, "bytes/bucket")
		b.ReportMetric(float64(after-middle)/n, "bytes/flow")
		runtime.KeepAlive(tc)
		runtime.KeepAlive(list)
	}
}

// Guards against an ask that names the limit of one version and the number of a later one, when an operation found its workspace in the
// earlier configuration: the issuer would keep the old limit until the next version.
func TestAskNamesLimitAndVersionTogether(t *testing.T) {
	var mu sync.Mutex
	var got []quota.Ask
	is := readyIssuer()
	send := func(_ context.Context, _ string, asks []quota.Ask) ([]quota.Grant, error) {
		mu.Lock()
		defer mu.Unlock()
		got = append(got, asks...)
		grants := make([]quota.Grant, len(asks))
		for i := range asks {
			grants[i] = is.Take(asks[i])
		}
		return grants, nil
	}
	old := &workspace.Workspace{ID: "w", Limited: true, Limit: workspace.Limit{PerSecond: 1000, Burst: 1000}}
	low := &workspace.Workspace{ID: "w", Limited: true, Limit: workspace.Limit{PerSecond: 10, Burst: 10}}
	c := newTestClient([]placement.Peer{{ID: "b", DataCentre: "c0", MirrorAddress: "b"}}, send)
	_ = c.Take(t.Context(), low, 2, c.cfg.Clock.Now()+clock.Second) // only the asks matter here
	for range 20 {
		_ = c.Take(t.Context(), old, 1, c.cfg.Clock.Now()+clock.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, a := range got {
		if a.Version == 2 && a.Limit != low.Limit {
			t.Fatalf("got ask %+v, want version 2 with its own limit", a)
		}
	}
}
