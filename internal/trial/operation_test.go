package trial

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
)

// stepTimeout bounds one wait of a test; newTestEnvironment limits a test to three of them.
const stepTimeout = 60 * time.Second

func newTestEnvironment(t *testing.T, cfg *Config) (*Environment, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*stepTimeout)
	t.Cleanup(cancel)
	env, err := NewEnvironment(ctx, cfg, clock.System(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.Close)
	if err := env.awaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return env, ctx
}

func newTestCaller(ctx context.Context, t *testing.T, address string) *pgconn.PgConn {
	t.Helper()
	c, err := connect(ctx, address, "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func mustRun(ctx context.Context, t *testing.T, c *pgconn.PgConn, sql string) Reply {
	t.Helper()
	reply := run(ctx, c, Statement{SQL: sql, Simple: true})
	if reply.Outcome != Acknowledged {
		t.Fatalf("%s: got outcome %d, code %s, want acknowledged", sql, reply.Outcome, reply.Code)
	}
	return reply
}

// lookup reads all quotes with a maximum age, so that replicas may serve it.
const lookup = `SELECT id, lot, price, 'n' FROM quotes /*request='bulletin.lookup'*/`

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	env, ctx := newTestEnvironment(t, &Config{})
	var vms []platform.VM
	leaving := env.Targets[1]
	for _, target := range env.Targets {
		vms = append(vms, platform.VM{Address: target.Address(), Leaving: target == leaving})
	}
	env.Platform.SetVMs(vms)
	marked := func() bool {
		for _, inst := range env.instances {
			for _, g := range inst.daemon.Status().Groups {
				if !g.Targets[1].Leaving {
					return false
				}
			}
		}
		return true
	}
	if err := env.await(ctx, "all daemons to mark the target as leaving", marked); err != nil {
		t.Fatal(err)
	}
	before := leaving.Statements().Reads
	for _, address := range env.Addresses() {
		c := newTestCaller(ctx, t, address)
		for range 50 {
			mustRun(ctx, t, c, lookup)
		}
	}
	if got, want := leaving.Statements().Reads, before; got != want {
		t.Errorf("got %d reads on the leaving target, want %d", got, want)
	}
}

func TestGracefulStopCutsNothing(t *testing.T) {
	env, ctx := newTestEnvironment(t, &Config{StatementTime: 100})
	stopping := env.instances[0]
	c := newTestCaller(ctx, t, stopping.address)
	replies := make(chan Reply, 1)
	go func() {
		replies <- run(ctx, c, Statement{SQL: `INSERT INTO quotes VALUES('drain', 'a', 1) /*request='quote.create'*/`, Simple: true})
	}()
	inFlight := func() bool { return stopping.daemon.Status().Groups[0].Targets[0].Busy > 0 }
	if err := env.await(ctx, "the write to be in flight", inFlight); err != nil {
		t.Fatal(err)
	}
	stopping.drain()
	if reply := <-replies; reply.Outcome != Acknowledged {
		t.Errorf("got outcome %d, code %s for the write in flight, want acknowledged", reply.Outcome, reply.Code)
	}
	if stopping.daemon.Ready() {
		t.Error("got ready while draining, want not ready")
	}
	removed := func() bool { return len(env.instances[1].daemon.Status().Peers) == env.cfg.Daemons-2 }
	if err := env.await(ctx, "the peers to remove the draining daemon", removed); err != nil {
		t.Fatal(err)
	}
	// The daemon accepts callers for the notice period, in which the balancer finds out, and refuses them from then on.
	refused := func() bool {
		other, err := connect(ctx, stopping.address, "")
		if err == nil {
			_ = other.Close(ctx)
		}
		return err != nil && ctx.Err() == nil
	}
	if err := env.await(ctx, "the draining daemon to refuse new callers", refused); err != nil {
		t.Error(err)
	}
	if !refused() {
		t.Error("got a new caller accepted by the draining daemon after one was refused, want refused")
	}
}

// TestIdleDaemonSaysGoodbye expects a daemon without callers to announce its departure when it stops, so that its peers remove it.
func TestIdleDaemonSaysGoodbye(t *testing.T) {
	env, ctx := newTestEnvironment(t, &Config{})
	env.instances[2].drain()
	removed := func() bool {
		for _, inst := range env.instances[:2] {
			if len(inst.daemon.Status().Peers) != 1 {
				return false
			}
		}
		return true
	}
	if err := env.await(ctx, "the peers to remove the stopped daemon", removed); err != nil {
		t.Error(err)
	}
	stopped := func() bool {
		return slices.ContainsFunc(env.Events[2].Events(), func(e event.Event) bool { return e.Kind == event.Stopped })
	}
	if err := env.await(ctx, "the stop event on the time line", stopped); err != nil {
		t.Error(err)
	}
}

func TestWriteIsReadThroughAnyDaemonByAPlainCaller(t *testing.T) {
	env, ctx := newTestEnvironment(t, &Config{Lag: 150})
	for i, address := range env.Addresses() {
		c := newTestCaller(ctx, t, address)
		mustRun(ctx, t, c, `INSERT INTO quotes VALUES('q`+string(rune('0'+i))+`', 'a', 1) /*request='quote.create'*/`)
		for _, other := range env.Addresses() {
			reply := mustRun(ctx, t, newTestCaller(ctx, t, other), lookup)
			if got, want := len(reply.Rows), i+1; got != want {
				t.Errorf("got %d rows through %s, want %d", got, other, want)
			}
		}
	}
}

func TestFirstReadBringsATokenThatWorksElsewhere(t *testing.T) {
	env, ctx := newTestEnvironment(t, &Config{Lag: 50})
	c := newTestCaller(ctx, t, env.Addresses()[0])
	mustRun(ctx, t, c, lookup)
	token := c.ParameterStatus(tokenParameter)
	if token == "" {
		t.Fatal("got no token with the reply to the first read, want one")
	}
	other, err := connect(ctx, env.Addresses()[1], token)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Close(context.Background()) })
	mustRun(ctx, t, other, lookup)
	if _, err := connect(ctx, env.Addresses()[1], token[:len(token)-2]+"xx"); err == nil {
		t.Error("got a forged token accepted, want refused")
	}
}

// TestStampsOfDaemonsFollowEachOther moves the stamp of one daemon 30 s ahead and expects the others to adopt it.
func TestStampsOfDaemonsFollowEachOther(t *testing.T) {
	env, ctx := newTestEnvironment(t, &Config{})
	ahead := event.Stamp{Millis: env.clk.Wall() + 30*clock.Second, Daemon: "entry-9"}
	env.Events[0].Observe(ahead)
	adopted := func() bool { return ahead.Before(env.Events[1].Now()) && ahead.Before(env.Events[2].Now()) }
	if err := env.await(ctx, "the heartbeats to carry the stamp to the other daemons", adopted); err != nil {
		t.Error(err)
	}
}
