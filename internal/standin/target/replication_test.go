package target

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	dialect "github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const selectIDs = "SELECT id FROM item ORDER BY id"

func insert(ctx context.Context, t *testing.T, tg *Target, id int) {
	t.Helper()
	mustExec(ctx, t, dial(ctx, t, tg), "INSERT INTO item (id) VALUES ($1)", id)
}

func hasCaughtUp(a, b *Target) func() bool {
	return func() bool { return a.Status().Applied == b.Status().Received }
}

func TestReplicaReceivesAtOnceAndAppliesAfterLag(t *testing.T) {
	clk := clock.NewManual(0)
	ctx, _, tg := setUp(t, &clk.Clock, Config{}, Config{Lag: 100})
	before := tg[1].Status().Applied
	insert(ctx, t, tg[0], 1)
	want := tg[0].Status().Received
	if got := tg[1].Status(); got.Received != want || got.Applied != before {
		t.Errorf("got %+v, want received %v, applied %v", got, want, before)
	}
	wantRows(ctx, t, tg[1], selectIDs)
	clk.Advance(100)
	eventually(ctx, t, hasCaughtUp(tg[1], tg[0]))
	wantRows(ctx, t, tg[1], selectIDs, []string{"1"})
}

func TestStatusAndPositionReplies(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{}, Config{})
	insert(ctx, t, tg[0], 1)
	eventually(ctx, t, hasCaughtUp(tg[1], tg[0]))
	end := fmt.Sprint(tg[0].Status().Received.Position)
	tests := []struct {
		tg   *Target
		sql  string
		want []string
	}{
		{tg[0], dialect.StatusQuery, []string{"1", "", "t", "", "1", end, "1", end}},
		{tg[1], dialect.StatusQuery, []string{"1", "", "f", "a", "1", end, "1", end}},
		{tg[0], dialect.PositionQuery, []string{"t", "1", end}},
		{tg[1], dialect.PositionQuery, []string{"f", "1", end}},
	}
	for _, tt := range tests {
		got := control(ctx, t, dial(ctx, t, tt.tg), tt.sql)
		if fmt.Sprint(got) != fmt.Sprint(tt.want) {
			t.Errorf("%s: got %v, want %v", tt.tg.ID(), got, tt.want)
		}
	}
}

func TestPositionCoversPipelinedWrite(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{})
	p := dial(ctx, t, tg[0]).PgConn().StartPipeline(ctx)
	p.SendQueryParams("INSERT INTO item (id) VALUES (1)", nil, nil, nil, nil)
	p.SendPipelineSync()
	p.SendQueryParams(dialect.PositionQuery, nil, nil, nil, nil)
	if err := p.Sync(); err != nil {
		t.Fatal(err)
	}
	var last []string
	for range 4 {
		r, err := p.GetResults()
		if err != nil {
			t.Fatal(err)
		}
		if rr, ok := r.(*pgconn.ResultReader); ok {
			for _, row := range rr.Read().Rows {
				last = []string{string(row[0]), string(row[1]), string(row[2])}
			}
		}
	}
	want := []string{"t", "1", fmt.Sprint(tg[0].Status().Received.Position)}
	if fmt.Sprint(last) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", last, want)
	}
}

func TestCutsStopReplication(t *testing.T) {
	tests := []struct {
		name  string
		fault func(n *Network)
		want  [2]bool // whether b and c receive
	}{
		{"cut one way", func(n *Network) { n.Cut("a", "b") }, [2]bool{false, true}},
		{"cut the other way", func(n *Network) { n.Cut("b", "a") }, [2]bool{true, true}},
		{"replica cut off", func(n *Network) { n.CutOff("c") }, [2]bool{true, false}},
		{"primary cut off", func(n *Network) { n.CutOff("a") }, [2]bool{false, false}},
		{"healed", func(n *Network) { n.CutOff("a"); n.Heal() }, [2]bool{true, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, n, tg := setUp(t, clock.System(), Config{}, Config{}, Config{})
			tt.fault(n)
			insert(ctx, t, tg[0], 1)
			end := tg[0].Status().Received
			for i, want := range tt.want {
				st := tg[i+1].Status()
				if got := st.Received == end; got != want {
					t.Errorf("%s: got received %v, want %v", tg[i+1].ID(), got, want)
				}
				if got := st.Following == "a"; got != want {
					t.Errorf("%s: got following %v, want %v", tg[i+1].ID(), got, want)
				}
			}
			n.Heal()
			eventually(ctx, t, hasCaughtUp(tg[1], tg[0]))
			eventually(ctx, t, hasCaughtUp(tg[2], tg[0]))
		})
	}
}

func TestChangeOfPrimaryRewindsOldPrimary(t *testing.T) {
	ctx, n, tg := setUp(t, clock.System(), Config{}, Config{}, Config{})
	insert(ctx, t, tg[0], 1)
	n.CutOff("a")
	insert(ctx, t, tg[0], 2) // is not replicated
	before := tg[1].Status().Received
	promote(ctx, t, tg[1], 5)
	st := tg[1].Status()
	if st.Received.Term != 5 || st.Received.Position <= before.Position || st.Applied != st.Received {
		t.Errorf("got %+v, want a point of term 5 past %v", st, before)
	}
	follow(ctx, t, tg[2], 5, "b")
	insert(ctx, t, tg[1], 3)
	n.Heal()
	if got := tg[0].Status(); !got.Primary || got.Received.Term != 1 {
		t.Errorf("got %+v, want the old primary unchanged", got)
	}
	old := dial(ctx, t, tg[0])
	follow(ctx, t, tg[0], 5, "b")
	if err := old.Ping(ctx); err == nil {
		t.Error("got the old primary's session open, want it closed")
	}
	for _, target := range tg {
		eventually(ctx, t, hasCaughtUp(target, tg[1]))
		wantRows(ctx, t, target, selectIDs, []string{"1"}, []string{"3"})
	}
	if got := tg[0].Status(); got.Primary || got.Following != "b" || got.Promise != 5 || got.Holder != "daemon" {
		t.Errorf("got %+v, want a replica that follows b at term 5", got)
	}
}

func TestFencedReplicaStopsFollowing(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{}, Config{})
	c := dial(ctx, t, tg[1])
	control(ctx, t, c, fmt.Sprintf(dialect.SetTerm, 7))
	control(ctx, t, c, fmt.Sprintf(dialect.SetHolder, "d1"))
	control(ctx, t, c, dialect.StopFollowing)
	if got := tg[1].Status(); got.Promise != 1 || got.Following != "a" {
		t.Errorf("got %+v, want no staged setting in force before the reload", got)
	}
	control(ctx, t, c, dialect.Reload)
	before := tg[1].Status()
	insert(ctx, t, tg[0], 1)
	want := group.Status{Promise: 7, Holder: "d1", Received: before.Received, Applied: before.Applied}
	if got := tg[1].Status(); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestPromotionAppliesWhatWasReceived(t *testing.T) {
	clk := clock.NewManual(0)
	ctx, _, tg := setUp(t, &clk.Clock, Config{}, Config{Lag: clock.Second})
	insert(ctx, t, tg[0], 1)
	promote(ctx, t, tg[1], 2)
	wantRows(ctx, t, tg[1], selectIDs, []string{"1"})
}

func TestCrashAndRestart(t *testing.T) {
	ctx, n, tg := setUp(t, clock.System(), Config{}, Config{})
	insert(ctx, t, tg[0], 1)
	n.CutOff("a")
	insert(ctx, t, tg[0], 2)
	c := dial(ctx, t, tg[0])
	mustExec(ctx, t, c, "BEGIN")
	mustExec(ctx, t, c, "INSERT INTO item (id) VALUES (3)")
	tg[0].Crash()
	tg[0].Crash()
	n.Heal()
	if _, err := pgx.Connect(ctx, "postgres://caller@"+tg[0].Address()+"/x"); err == nil {
		t.Error("got a session on a crashed target, want none")
	}
	eventually(ctx, t, func() bool { return tg[1].Status().Applied == tg[1].Status().Received })
	wantRows(ctx, t, tg[1], selectIDs, []string{"1"})
	address := tg[0].Address()
	if err := tg[0].Restart(ctx); err != nil {
		t.Fatal(err)
	}
	if got := tg[0].Address(); got != address {
		t.Errorf("got address %s, want %s", got, address)
	}
	eventually(ctx, t, hasCaughtUp(tg[1], tg[0]))
	for _, target := range tg {
		wantRows(ctx, t, target, selectIDs, []string{"1"}, []string{"2"})
	}
}

func TestCrashedPrimaryReturnsAsFollower(t *testing.T) {
	ctx, n, tg := setUp(t, clock.System(), Config{}, Config{})
	n.CutOff("a")
	insert(ctx, t, tg[0], 2)
	tg[0].Crash()
	n.Heal()
	promote(ctx, t, tg[1], 2)
	insert(ctx, t, tg[1], 4)
	if err := tg[0].Restart(ctx); err != nil {
		t.Fatal(err)
	}
	follow(ctx, t, tg[0], 2, "b")
	eventually(ctx, t, hasCaughtUp(tg[0], tg[1]))
	wantRows(ctx, t, tg[0], selectIDs, []string{"4"})
}

func TestPauseHoldsRepliesAndReplication(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{}, Config{})
	c := dial(ctx, t, tg[0])
	tg[0].Pause()
	before := tg[0].Status().Received
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(ctx, "INSERT INTO item (id) VALUES (1)")
		done <- err
	}()
	select {
	case err := <-done:
		t.Errorf("got reply %v, want none while paused", err)
	case <-time.After(20 * time.Millisecond):
	}
	if got := tg[0].Status().Received; got != before {
		t.Errorf("got received %v, want %v", got, before)
	}
	if got := tg[1].Status().Following; got != "" {
		t.Errorf("got following %q, want none", got)
	}
	tg[0].Resume()
	if err := <-done; err != nil {
		t.Errorf("got %v, want success after resume", err)
	}
	eventually(ctx, t, hasCaughtUp(tg[1], tg[0]))
}

func TestLockBelongsToOneSession(t *testing.T) {
	clk := clock.NewManual(0)
	ctx, _, tg := setUp(t, &clk.Clock, Config{})
	first, second := dial(ctx, t, tg[0]), dial(ctx, t, tg[0])
	lock := func(c *pgx.Conn, sql, want string) {
		t.Helper()
		if got := control(ctx, t, c, sql)[0]; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	control(ctx, t, first, dialect.SetLockTimeout)
	lock(first, dialect.LockQuery, "t")
	lock(second, dialect.LockQuery, "f")
	lock(second, dialect.UnlockQuery, "f")
	lock(first, dialect.UnlockQuery, "t")
	lock(second, dialect.LockQuery, "t")
	second.Close(ctx)
	eventually(ctx, t, func() bool { return control(ctx, t, first, dialect.LockQuery)[0] == "t" })
	third := dial(ctx, t, tg[0])
	eventually(ctx, t, func() bool {
		clk.Advance(500)
		return control(ctx, t, third, dialect.LockQuery)[0] == "t"
	})
	_, err := first.Exec(ctx, "SELECT 1", pgx.QueryExecModeExec)
	if got, want := codeOfError(err), codeIdleSession; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestAlterSystemInTransactionIsRefused(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{})
	c := dial(ctx, t, tg[0])
	mustExec(ctx, t, c, "BEGIN")
	_, err := c.PgConn().Exec(ctx, fmt.Sprintf(dialect.SetTerm, 3)).ReadAll()
	if got, want := codeOfError(err), codeActiveTransaction; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestReadWaitsForWriterUntilTimeout(t *testing.T) {
	clk := clock.NewManual(0)
	ctx, _, tg := setUp(t, &clk.Clock, Config{})
	writer, reader := dial(ctx, t, tg[0]), dial(ctx, t, tg[0])
	mustExec(ctx, t, reader, "BEGIN")
	mustExec(ctx, t, reader, selectIDs)
	mustExec(ctx, t, writer, "BEGIN")
	mustExec(ctx, t, writer, "INSERT INTO item (id) VALUES (1)")
	done := make(chan error, 1)
	go func() {
		_, err := reader.Exec(ctx, selectIDs)
		done <- err
	}()
	var got error
	eventually(ctx, t, func() bool {
		clk.Advance(lockTimeout)
		select {
		case got = <-done:
			return true
		default:
			return false
		}
	})
	if codeOfError(got) != codeLockNotAvailable {
		t.Errorf("got %v, want %s", got, codeLockNotAvailable)
	}
}

func TestBootstrapFailsForUnknownPrimary(t *testing.T) {
	n := NewNetwork(clock.System())
	if err := n.Bootstrap(t.Context(), "x", position.Term(1)); err == nil {
		t.Error("got no error, want one")
	}
}
