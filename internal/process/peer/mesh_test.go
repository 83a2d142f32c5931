package peer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// testMesh is a running mesh that listens on loopback.
type testMesh struct {
	*Mesh
	server *httptest.Server
	stop   func()
}

// startMesh runs a mesh that finds its peers at the addresses in seeds.
func startMesh(tb testing.TB, id string, clk *clock.Clock, deps Dependencies, seeds ...string) *testMesh {
	tb.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	deps.Seeds = func(context.Context) ([]string, error) { return seeds, nil }
	cfg := Config{
		ID:         group.DaemonID(id),
		Address:    strings.TrimPrefix(server.URL, "http://"),
		DataCentre: "dc-1",
		Period:     50,
	}
	m := New(cfg, clk, deps)
	mux.Handle(m.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = m.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-ended
		server.CloseClientConnections()
		server.Close()
	}
	tb.Cleanup(stop)
	return &testMesh{Mesh: m, server: server, stop: stop}
}

// eventually waits until ok holds. If that never happens, the timeout of the test binary ends the wait.
func eventually(ok func() bool) {
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

func TestMeshFindsPeersThroughOneSeedAndDropsStoppedOnes(t *testing.T) {
	clk := clock.System()
	first := startMesh(t, "d0", clk, Dependencies{})
	meshes := []*testMesh{first}
	for i := 1; i < 4; i++ {
		meshes = append(meshes, startMesh(t, fmt.Sprint("d", i), clk, Dependencies{}, first.cfg.Address))
	}
	for _, m := range meshes {
		eventually(func() bool { return len(m.Live()) == 3 })
	}
	last := meshes[3]
	if err := last.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, m := range meshes[:3] {
		eventually(func() bool { return len(m.Live()) == 2 })
	}
	meshes[2].stop()
	for _, m := range meshes[:2] {
		eventually(func() bool { return len(m.Live()) == 1 })
	}
}
