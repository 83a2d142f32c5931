package caller

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
)

const (
	readSQL  = "select v from item /*request='item.read'*/"
	writeSQL = "insert into item values (1) /*request='item.write'*/"
)

var modes = map[string]pgx.QueryExecMode{
	"simple":   pgx.QueryExecModeSimpleProtocol,
	"extended": pgx.QueryExecModeExec,
	"prepared": pgx.QueryExecModeCacheStatement,
	"describe": pgx.QueryExecModeDescribeExec,
}

func TestReadAndWrite(t *testing.T) {
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			c := h.dial(mode)
			ctx := context.Background()
			for range 3 {
				var v string
				if err := c.QueryRow(ctx, readSQL).Scan(&v); err != nil || v != "1" {
					t.Fatalf("got %q and %v, want 1", v, err)
				}
				if _, err := c.Exec(ctx, writeSQL); err != nil {
					t.Fatal(err)
				}
				if err := c.QueryRow(ctx, "select 2").Scan(&v); err != nil || v != "1" {
					t.Fatalf("got %q and %v, want 1", v, err)
				}
			}
			if got := h.primary.runCount("insert"); got != 3 {
				t.Errorf("got %d inserts, want 3", got)
			}
			if got := h.primary.runCount("item.read"); got != 0 {
				t.Errorf("got %d reads at the primary, want 0", got)
			}
			if c.PgConn().ParameterStatus("cactusfork.token") == "" {
				t.Error("got no token, want one")
			}
		})
	}
}
