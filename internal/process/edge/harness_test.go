package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform/standin"
)

// testTimeout bounds every wait of these tests.
const testTimeout = 10 * time.Second

// testEnv is a stand-in platform with one group, "g", of three targets.
type testEnv struct {
	t     *testing.T
	store *standin.Store
	group *standin.Group
	// drain is how long a leaving target may get work.
	drain clock.Millis
	// balance is the daemons' setting of that name.
	balance string
}

// testConfig returns an operator's configuration. With withoutRoute set it lacks the route to database "gone".
func testConfig(version int, withoutRoute bool) map[string]any {
	return testConfigWithConnections(version, withoutRoute, 33)
}

func testConfigWithConnections(version int, withoutRoute bool, connections int) map[string]any {
	route := func(host, kind string) map[string]any {
		return map[string]any{
			"Name": "r-" + host, "Host": host, "PathPrefix": "/", "Type": kind, "TimeoutMs": 3000, "SloMs": 400,
			"Priority": 1, "Service": "g", "MaxStalenessMs": 1500,
		}
	}
	routes := []any{route("entries", "primary"), route("lookups", "bounded_staleness"), route("own", "read_your_writes")}
	if !withoutRoute {
		routes = append(routes, route("gone", "primary"))
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Limits": map[string]any{"TxIdleMs": 3000},
		"Services": []any{map[string]any{"Name": "g", "MaxConns": connections, "SyncReplicas": 0}},
	}
}

// testConfigWithGroup returns a configuration with a second group and a route "GROUP-entries" to it.
func testConfigWithGroup(version int, group string) map[string]any {
	c := testConfig(version, false)
	c["Routes"] = append(c["Routes"].([]any), map[string]any{
		"Name": "r-" + group, "Host": group + "-entries", "PathPrefix": "/", "Type": "primary", "TimeoutMs": 3000, "SloMs": 400,
		"Priority": 1, "Service": group, "MaxStalenessMs": 1500,
	})
	c["Services"] = append(c["Services"].([]any), map[string]any{"Name": group, "MaxConns": 33, "SyncReplicas": 0})
	return c
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	e := &testEnv{t: t, store: standin.NewStore(), drain: 7000}
	t.Cleanup(e.store.Close)
	e.store.Set("config", "main", testConfig(3, false))
	g, err := standin.NewGroup(t.Context(), e.store, "g", 3)
	if err != nil {
		t.Fatal(err)
	}
	e.group = g
	t.Cleanup(g.Close)
	return e
}

// addresses counts the addresses that freeAddress has returned.
var addresses atomic.Uint32

// freeAddress returns a port on a loopback address of its own. No other test and no connection can take it before the daemon does.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := addresses.Add(1)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n/250%250, 2+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// daemon is a running daemon of a test; done receives the result of Run.
type daemon struct {
	*Daemon
	t    *testing.T
	set  *Settings
	stop context.CancelFunc
	done chan error
}

// start runs a daemon and waits until it is ready.
func (e *testEnv) start(id string) *daemon {
	e.t.Helper()
	return e.startWith(id, zap.NewNop(), func(*Settings) {}, func(*Daemon) {})
}

// startWith is start with a logger; alterSettings and alter change the daemon's settings, and the daemon before it runs.
func (e *testEnv) startWith(id string, log *zap.Logger, alterSettings func(*Settings), alter func(*Daemon)) *daemon {
	e.t.Helper()
	set := &Settings{
		Daemon: DaemonSettings{
			ID: id, DataCentre: "here", CallerAddress: freeAddress(e.t), HealthAddress: freeAddress(e.t), PeerAddress: freeAddress(e.t), MirrorAddress: freeAddress(e.t),
			Notice: 50, Drain: e.drain, Grace: 4000,
		},
		Platform: PlatformSettings{StoreAddress: e.store.Address(), DutyAddress: e.store.Address(), Timeout: 1000, ConfigApply: 450},
		Limits:   LimitSettings{Memory: 1024, Descriptors: 4096},
		Failover: FailoverSettings{Refusing: 300, Silent: 700, Missing: 800}, Placement: PlacementSettings{Balance: e.balance},
	}
	alterSettings(set)
	ctx, stop := context.WithCancel(e.t.Context())
	d := &daemon{Daemon: New("", set, clock.System(), log), t: e.t, set: set, stop: stop, done: make(chan error, 1)}
	alter(d.Daemon)
	go func() { d.done <- d.Run(ctx) }()
	e.t.Cleanup(func() {
		stop()
		<-d.done
	})
	e.eventually("daemon is ready", func() bool {
		select {
		case err := <-d.done:
			d.done <- err
			e.t.Fatalf("daemon ended before it was ready: %v", err)
		default:
		}
		return d.healthy()
	})
	return d
}

func (d *daemon) healthy() bool {
	res, err := http.Get("http://" + d.set.Daemon.HealthAddress + "/-/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (e *testEnv) eventually(what string, condition func() bool) {
	e.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	e.t.Fatalf("%s: timed out after %v", what, testTimeout)
}

// client is a caller with one session.
type client struct{ session *standin.Caller }

func (d *daemon) connect(database string) *client {
	d.t.Helper()
	session, reply := standin.Connect(d.t.Context(), d.set.Daemon.CallerAddress, database, testTimeout)
	if session == nil {
		d.t.Fatalf("startup: got %q, want ready", reply)
	}
	d.t.Cleanup(session.Close)
	return &client{session: session}
}

// query runs one statement and returns the reply without the transaction state at its end.
func (c *client) query(text string) string {
	got := c.session.Query(text)
	i := strings.LastIndex(got, " ")
	return got[:max(i, 0)]
}
