package target

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	dialect "github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const schema = "CREATE TABLE item (id INTEGER PRIMARY KEY, name TEXT, price BIGINT, weight REAL, sold BOOLEAN)"

// setUp starts a group of targets a, b, c and so on, one for each config; a is the primary at term 1.
func setUp(t *testing.T, clk *clock.Clock, cfgs ...Config) (context.Context, *Network, []*Target) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	n := NewNetwork(clk)
	var targets []*Target
	for i, cfg := range cfgs {
		cfg.ID = group.TargetID(rune('a' + i))
		tg, err := n.Start(ctx, cfg)
		if err != nil {
			t.Fatal(err)
		}
		targets = append(targets, tg)
	}
	if err := n.Bootstrap(ctx, "a", 1, schema); err != nil {
		t.Fatal(err)
	}
	return ctx, n, targets
}

func dial(ctx context.Context, t *testing.T, tg *Target) *pgx.Conn {
	t.Helper()
	c, err := connect(ctx, tg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func connect(ctx context.Context, tg *Target) (*pgx.Conn, error) {
	return pgx.Connect(ctx, "postgres://caller@"+tg.Address()+"/precios?sslmode=prefer")
}

func mustExec(ctx context.Context, t *testing.T, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := c.Exec(ctx, sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// control runs a control statement and returns its row, or nil without one.
func control(ctx context.Context, t *testing.T, c *pgx.Conn, sql string) []string {
	t.Helper()
	res, err := c.PgConn().Exec(ctx, sql).ReadAll()
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	if len(res) == 0 || len(res[0].Rows) == 0 {
		return nil
	}
	var out []string
	for _, v := range res[0].Rows[0] {
		out = append(out, string(v))
	}
	return out
}

// follow makes a target follow primary at term.
func follow(ctx context.Context, t *testing.T, tg *Target, term int, primary string) {
	t.Helper()
	c := dial(ctx, t, tg)
	control(ctx, t, c, fmt.Sprintf(dialect.SetTerm, term))
	control(ctx, t, c, fmt.Sprintf(dialect.SetHolder, "daemon"))
	control(ctx, t, c, fmt.Sprintf(dialect.FollowPrimary, "127.0.0.1", 1, primary))
	control(ctx, t, c, dialect.Reload)
}

// promote promotes a target at term and waits until it is the primary.
func promote(ctx context.Context, t *testing.T, tg *Target, term int) {
	t.Helper()
	c := dial(ctx, t, tg)
	control(ctx, t, c, fmt.Sprintf(dialect.SetTerm, term))
	control(ctx, t, c, fmt.Sprintf(dialect.SetHolder, "daemon"))
	control(ctx, t, c, dialect.StopFollowing)
	control(ctx, t, c, dialect.Reload)
	control(ctx, t, c, dialect.Promotion)
	eventually(ctx, t, func() bool { return tg.Status().Primary })
}

// eventually waits for ok without a time limit of its own; the test fails only if ctx ends first.
func eventually(ctx context.Context, t *testing.T, ok func() bool) {
	t.Helper()
	if !poll(ctx, ok) {
		t.Fatal(ctx.Err())
	}
}

// poll calls ok every millisecond until it returns true, and reports false if ctx ends first.
func poll(ctx context.Context, ok func() bool) bool {
	for !ok() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Millisecond):
		}
	}
	return true
}

func wantRows(ctx context.Context, t *testing.T, tg *Target, sql string, want ...[]string) {
	t.Helper()
	got, err := tg.Rows(ctx, sql)
	if err != nil {
		t.Fatal(err)
	}
	if len(got) == 0 && len(want) == 0 {
		return
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s on %s: got %v, want %v", sql, tg.ID(), got, want)
	}
}

// codeOfError returns the SQLSTATE of err, its text if it has none, or an empty string for nil.
func codeOfError(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}
