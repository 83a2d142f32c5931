package caller

import (
	"context"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
)

func TestTransaction(t *testing.T) {
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			c := h.dial(mode)
			ctx := context.Background()
			tx, err := c.Begin(ctx)
			if err != nil {
				t.Fatal(err)
			}
			for range 2 {
				if _, err := tx.Exec(ctx, writeSQL); err != nil {
					t.Fatal(err)
				}
			}
			if got := len(h.confirmed); got != 0 {
				t.Errorf("got %d confirms before the commit, want 0", got)
			}
			if err := tx.Commit(ctx); err != nil {
				t.Fatal(err)
			}
			if got := len(h.confirmed); got != 1 {
				t.Errorf("got %d confirms, want 1", got)
			}
			if got := len(h.needs); got != 1 {
				t.Errorf("got %d leases, want 1", got)
			}
			if got := h.primary.runCount("begin"); got != 1 {
				t.Errorf("got %d begins, want 1", got)
			}
			if c.PgConn().ParameterStatus("cactusfork.token") == "" {
				t.Error("got no token, want one")
			}
		})
	}
}

// TestTransactionFaults closes the target connection at each statement of a transaction.
func TestTransactionFaults(t *testing.T) {
	tests := []struct {
		name   string
		at     string
		code   string
		detail string
	}{
		{"first statement", "insert first", "08006", "not run"},
		{"second statement", "insert second", "08006", "not run"},
		{"commit", "commit", "08007", ""},
		{"after a rollback", "insert third", "08007", ""},
	}
	for _, tt := range tests {
		for mode, m := range modes {
			t.Run(tt.name+" "+mode, func(t *testing.T) {
				h := newHarness(t)
				h.primary.faults[tt.at] = closeBeforeReply
				c := h.dial(m)
				ctx := context.Background()
				var failed error
				for _, sql := range []string{"begin", "insert first", "insert second", "commit", "begin", "insert more"} {
					if _, failed = c.Exec(ctx, sql); failed != nil {
						break
					}
				}
				if failed == nil {
					_, failed = c.Exec(ctx, "rollback; insert third", pgx.QueryExecModeSimpleProtocol)
				}
				if got := codeOf(failed); got != tt.code {
					t.Errorf("got %q, want %q", got, tt.code)
				}
				if tt.detail != "" && detailOf(failed) != tt.detail {
					t.Errorf("got detail %q, want %q", detailOf(failed), tt.detail)
				}
				if tt.code == "08006" {
					if _, err := c.Exec(ctx, "insert outside"); codeOf(err) != "25P02" {
						t.Errorf("got %v inside the lost transaction, want 25P02", err)
					}
				}
				if _, err := c.Exec(ctx, "rollback"); err != nil {
					t.Errorf("got %v on rollback, want none", err)
				}
				if got := h.totalRuns("insert outside"); got != 0 {
					t.Errorf("got %d runs outside the transaction, want 0", got)
				}
				if _, err := c.Exec(ctx, "insert next"); err != nil {
					t.Errorf("got %v on the next statement, want none", err)
				}
			})
		}
	}
}

// TestConfirmedExchanges checks that exactly the exchanges that may have committed something are confirmed.
func TestConfirmedExchanges(t *testing.T) {
	tests := []struct {
		statements   []string
		wantConfirms int
	}{
		{[]string{"insert a"}, 1},
		{[]string{"insert fails"}, 0},
		{[]string{"begin", "insert a"}, 0},
		{[]string{"begin", "insert a", "rollback"}, 0},
		{[]string{"begin", "insert a", "rollback; insert b"}, 1},
		{[]string{"begin", "insert a", "commit; insert fails"}, 1},
		{[]string{"begin; insert a; commit"}, 1},
		{[]string{"begin; insert a"}, 0},
		{[]string{"insert a; insert fails"}, 0},
		{[]string{"begin", "insert fails", "commit"}, 0},
	}
	for _, tt := range tests {
		t.Run(strings.Join(tt.statements, "|"), func(t *testing.T) {
			h := newHarness(t)
			c := h.dial(pgx.QueryExecModeSimpleProtocol)
			for _, sql := range tt.statements {
				if _, err := c.Exec(context.Background(), sql); err != nil && codeOf(err) != "23505" {
					t.Errorf("got %v on %q, want none or 23505", err, sql)
				}
			}
			if got := len(h.confirmed); got != tt.wantConfirms {
				t.Errorf("got %d confirms, want %d", got, tt.wantConfirms)
			}
		})
	}
}

func TestReadTransactionAtReplica(t *testing.T) {
	h := newHarness(t)
	c := h.dial(pgx.QueryExecModeExec)
	ctx := context.Background()
	h.replicas[0].faults["item.read"] = closeBeforeReply
	for _, sql := range []string{"begin", readSQL, "select 2", "commit"} {
		if _, err := c.Exec(ctx, sql); err != nil {
			t.Fatalf("got %v on %q, want none", err, sql)
		}
	}
	if got := h.replicas[1].statements(); len(got) != 4 {
		t.Errorf("got %q at the second replica, want the whole transaction", got)
	}
	if got := h.primary.statements(); len(got) != 0 {
		t.Errorf("got %q at the primary, want nothing", got)
	}
}

func TestFailedStatementInTransaction(t *testing.T) {
	h := newHarness(t)
	c := h.dial(pgx.QueryExecModeExec)
	ctx := context.Background()
	steps := []struct{ sql, code string }{
		{"begin", ""}, {"insert fails", "23505"}, {"insert more", "25P02"}, {"commit", ""}, {"insert next", ""},
	}
	for _, s := range steps {
		if _, err := c.Exec(ctx, s.sql); codeOf(err) != s.code {
			t.Errorf("got %v on %q, want %q", err, s.sql, s.code)
		}
	}
	if got := len(h.confirmed); got != 1 {
		t.Errorf("got %d confirms, want 1", got)
	}
}
