package link

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// workspaceSizes returns uneven weights: workspace n gets a share of about 1/n.
func workspaceSizes(n int) (total float64, sizes []float64) {
	for i := range n {
		sizes = append(sizes, 1/float64(i+1))
		total += sizes[i]
	}
	return total, sizes
}

// replayWorkspaces has workspaces of uneven size use a pool one after the other, and returns the number of connections opened. Up to
// held connections stay in use for a while.
func replayWorkspaces(t *testing.T, p *Pool, m *clock.Manual, f *fakeProtocol, workspaces, uses, held int) int {
	t.Helper()
	r := rand.New(rand.NewPCG(1, 2))
	total, sizes := workspaceSizes(workspaces)
	var inUse []*Conn
	before := f.opened
	for range uses {
		at, i := r.Float64()*total, 0
		for ; i < len(sizes)-1 && at > sizes[i]; i++ {
			at -= sizes[i]
		}
		ws := workspace.ID("w" + strconv.Itoa(i))
		c, err := p.Get(t.Context(), ws, &Values{}, m.Now())
		if err != nil {
			t.Fatalf("workspace %s: %v", ws, err)
		}
		if c.workspace != ws {
			t.Fatalf("got a connection of workspace %s, want one of %s", c.workspace, ws)
		}
		if inUse = append(inUse, c); len(inUse) > held {
			p.Put(inUse[0])
			inUse = inUse[1:]
		}
		if p.OpenConns() > p.limit {
			t.Fatalf("got %d connections, want at most %d", p.OpenConns(), p.limit)
		}
		m.Advance(2)
	}
	for _, c := range inUse {
		p.Put(c)
	}
	return f.opened - before
}

// Guards against a target that spends its slots on opening connections, when many workspaces of uneven size share few connections.
// With a third of the connections that the workspaces would like, at least a sixth fewer are opened than if the connection that was
// idle longest gave way.
func TestFewConnectionsServeManyWorkspaces(t *testing.T) {
	tests := []struct {
		workspaces, connections int
		// maxShare bounds the connections opened, as a share of those opened when the one that was idle longest gives way.
		maxShare float64
	}{
		{86, 72, 1},
		{76, 20, 5.0 / 6},
		{86, 8, 5.0 / 6},
	}
	for _, tt := range tests {
		var opened [2]int
		for i, forget := range []bool{false, true} {
			m := clock.NewManual(1)
			f := &fakeProtocol{}
			p := f.pool(&m.Clock, 100)
			p.SetWorkspaceLimit(tt.connections)
			if forget {
				p.demand = nil // without a demand all are equally useful
				p.byWorkspace = false
			}
			replayWorkspaces(t, p, m, f, tt.workspaces, 2000, 3)
			opened[i] = replayWorkspaces(t, p, m, f, tt.workspaces, 10000, 3)
		}
		t.Logf("%d workspaces on %d connections: %d opened in 10000 uses, %d without the demand", tt.workspaces, tt.connections, opened[0], opened[1])
		if got := float64(opened[0]) / float64(opened[1]); got > tt.maxShare {
			t.Errorf("%d workspaces on %d connections: got %.2f of the connections opened without the demand, want at most %.2f", tt.workspaces, tt.connections, got, tt.maxShare)
		}
	}
}

// Guards against a connection that carries the statements of two workspaces.
func TestConnectionServesOneWorkspace(t *testing.T) {
	f := &fakeProtocol{}
	p := f.pool(&clock.NewManual(1).Clock, 4)
	p.SetWorkspaceLimit(4)
	a, err := p.Get(t.Context(), "a", &Values{}, 1000)
	if err != nil {
		t.Fatal(err)
	}
	p.Put(a)
	b, err := p.Get(t.Context(), "b", &Values{}, 1000)
	if err != nil || b == a || b.workspace != "b" {
		t.Errorf("got %+v, %v, want a connection of workspace b", b, err)
	}
	if again, err := p.Get(t.Context(), "a", &Values{}, 1000); err != nil || again != a {
		t.Errorf("got %+v, %v, want the idle connection of workspace a", again, err)
	}
	p.Put(b)
	if c, err := p.GetAny(t.Context(), 1000); err != nil || c != b {
		t.Errorf("got %+v, %v for a statement of the daemon, want the idle connection", c, err)
	}
}
