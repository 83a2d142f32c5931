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

// patience bounds waits of tests that fail.
const patience = 20 * time.Second

func newTestEnvironment(t *testing.T, cfg *Config) (*Environment, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*patience)
	t.Cleanup(cancel)
	s, err := NewEnvironment(ctx, cfg, clock.System(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if err := s.awaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return s, ctx
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

func mustRun(ctx context.Context, t *testing.T, c *pgconn.PgConn, sql string) Answer {
	t.Helper()
	a := run(ctx, c, Statement{SQL: sql, Simple: true})
	if a.Fate != Acknowledged {
		t.Fatalf("%s: got fate %d, code %s, want acknowledged", sql, a.Fate, a.Code)
	}
	return a
}

const lookup = `SELECT id, lot, price, 'n' FROM quotes /*request='bulletin.lookup'*/`

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	s, ctx := newTestEnvironment(t, &Config{})
	var vms []platform.VM
	leaving := s.Targets[1]
	for _, target := range s.Targets {
		vms = append(vms, platform.VM{Address: target.Address(), Leaving: target == leaving})
	}
	s.Platform.SetVMs(vms)
	marked := func() bool {
		for _, a := range s.instances {
			for _, g := range a.daemon.Status().Groups {
				if !g.Targets[1].Leaving {
					return false
				}
			}
		}
		return true
	}
	if err := s.await(ctx, "the mark to be known", marked); err != nil {
		t.Fatal(err)
	}
	before := leaving.Statements().Reads
	for _, address := range s.Addresses() {
		c := newTestCaller(ctx, t, address)
		for range 50 {
			mustRun(ctx, t, c, lookup)
		}
	}
	if got, want := leaving.Statements().Reads, before; got != want {
		t.Errorf("got %d reads at the leaving target, want %d", got, want)
	}
}

func TestGracefulStopCutsNothing(t *testing.T) {
	s, ctx := newTestEnvironment(t, &Config{StatementTime: 100})
	stopping := s.instances[0]
	c := newTestCaller(ctx, t, stopping.address)
	answered := make(chan Answer, 1)
	go func() {
		answered <- run(ctx, c, Statement{SQL: `INSERT INTO quotes VALUES('drain', 'a', 1) /*request='quote.create'*/`, Simple: true})
	}()
	atWork := func() bool { return stopping.daemon.Status().Groups[0].Targets[0].Busy > 0 }
	if err := s.await(ctx, "the write to be at work", atWork); err != nil {
		t.Fatal(err)
	}
	stopping.drain()
	if a := <-answered; a.Fate != Acknowledged {
		t.Errorf("got fate %d, code %s for the write in flight, want acknowledged", a.Fate, a.Code)
	}
	if stopping.daemon.Ready() {
		t.Error("got a health check that passes, want it to fail while draining")
	}
	gone := func() bool { return len(s.instances[1].daemon.Status().Peers) == s.cfg.Daemons-2 }
	if err := s.await(ctx, "the peers to know", gone); err != nil {
		t.Fatal(err)
	}
	if _, err := connect(ctx, stopping.address, ""); err == nil {
		t.Error("got a new caller taken, want refused")
	}
}

func TestIdleDaemonSaysGoodbye(t *testing.T) {
	s, ctx := newTestEnvironment(t, &Config{})
	s.instances[2].drain()
	left := func() bool {
		for _, a := range s.instances[:2] {
			if len(a.daemon.Status().Peers) != 1 {
				return false
			}
		}
		return true
	}
	if err := s.await(ctx, "the peers to know", left); err != nil {
		t.Error(err)
	}
	stopped := func() bool {
		return slices.ContainsFunc(s.Events[2].Events(), func(e event.Event) bool { return e.Kind == event.Stopped })
	}
	if err := s.await(ctx, "the stop on the time line", stopped); err != nil {
		t.Error(err)
	}
}

func TestWriteIsReadThroughAnyDaemonByAPlainCaller(t *testing.T) {
	s, ctx := newTestEnvironment(t, &Config{Lag: 150})
	for i, address := range s.Addresses() {
		c := newTestCaller(ctx, t, address)
		mustRun(ctx, t, c, `INSERT INTO quotes VALUES('q`+string(rune('0'+i))+`', 'a', 1) /*request='quote.create'*/`)
		for _, other := range s.Addresses() {
			a := mustRun(ctx, t, newTestCaller(ctx, t, other), lookup)
			if got, want := len(a.Rows), i+1; got != want {
				t.Errorf("got %d rows through %s, want %d", got, other, want)
			}
		}
	}
}

func TestFirstReadBringsATokenThatWorksElsewhere(t *testing.T) {
	s, ctx := newTestEnvironment(t, &Config{Lag: 50})
	c := newTestCaller(ctx, t, s.Addresses()[0])
	mustRun(ctx, t, c, lookup)
	token := c.ParameterStatus(tokenParameter)
	if token == "" {
		t.Fatal("got no token with the first read, want one")
	}
	other, err := connect(ctx, s.Addresses()[1], token)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Close(context.Background()) })
	mustRun(ctx, t, other, lookup)
	if _, err := connect(ctx, s.Addresses()[1], token[:len(token)-2]+"xx"); err == nil {
		t.Error("got a forged token accepted, want refused")
	}
}

func TestStampsOfDaemonsFollowEachOther(t *testing.T) {
	s, ctx := newTestEnvironment(t, &Config{})
	ahead := event.Stamp{Millis: s.clk.Wall() + 30*clock.Second, Daemon: "entry-9"}
	s.Events[0].Observe(ahead)
	pulled := func() bool { return ahead.Before(s.Events[1].Now()) && ahead.Before(s.Events[2].Now()) }
	if err := s.await(ctx, "the stamp to travel with heartbeats", pulled); err != nil {
		t.Error(err)
	}
}
