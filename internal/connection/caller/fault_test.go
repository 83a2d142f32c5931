package caller

import (
	"context"
	"errors"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// TestFaults cuts and garbles the target's answers: a write is unknown, a read is repeated, and the caller's connection lives on.
func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
		sql   string
		code  string
		runs  int
	}{
		{"write cut before", cutBefore, writeSQL, "08007", 1},
		{"write cut in the middle", cutMiddle, writeSQL, "08007", 1},
		{"write cut before ready", cutAfter, writeSQL, "08007", 1},
		{"write doubled", doubled, writeSQL, "08007", 1},
		{"write garbled", garbage, writeSQL, "08007", 1},
		{"write ended by a fatal error", fatalError, writeSQL, "08007", 1},
		{"read cut before", cutBefore, readSQL, "", 2},
		{"read cut in the middle", cutMiddle, readSQL, "", 2},
		{"read cut before ready", cutAfter, readSQL, "", 2},
		{"read garbled", garbage, readSQL, "", 2},
		{"read ended by a fatal error", fatalError, readSQL, "", 2},
		{"unnamed select", cutBefore, "select 7", "08007", 1},
		{"write that fails", none, "insert fails " + writeSQL, "23505", 1},
	}
	for _, tt := range tests {
		for mode, m := range modes {
			t.Run(tt.name+" "+mode, func(t *testing.T) {
				h := newHarness(t)
				h.everywhere(tt.sql, tt.fault)
				c := h.dial(m)
				_, err := c.Exec(context.Background(), tt.sql)
				if got := codeOf(err); got != tt.code {
					t.Errorf("got error %q, want %q", got, tt.code)
				}
				if got := h.runs(tt.sql); got != tt.runs {
					t.Errorf("got %d runs, want %d", got, tt.runs)
				}
				if _, err := c.Exec(context.Background(), "insert next"); err != nil {
					t.Errorf("got %v on the next statement, want none", err)
				}
			})
		}
	}
}

// everywhere puts the fault on the first target that comes to the statement.
func (h *harness) everywhere(sql string, v fault) {
	if v == none {
		return
	}
	h.primary.faults[sql] = v
	h.replicas[0].faults[sql] = v
}

func (h *harness) runs(sql string) int {
	return h.primary.ran(sql) + h.replicas[0].ran(sql) + h.replicas[1].ran(sql)
}

func TestUnconfirmed(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(h *harness)
		sql   string
		code  string
	}{
		{"confirm fails", func(h *harness) { h.confirm = func(position.Point) error { return errors.New("no majority") } }, writeSQL, "08007"},
		{"term has changed", func(h *harness) { h.primary.point.Term = 2 }, writeSQL, "08007"},
		{"no longer primary", func(h *harness) { h.primary.primary = false }, writeSQL, "08007"},
		{"no longer primary, select", func(h *harness) { h.primary.primary = false }, "select 1", "08007"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			tt.spoil(h)
			c := h.dial(pgx.QueryExecModeSimpleProtocol)
			_, err := c.Exec(context.Background(), tt.sql)
			if got := codeOf(err); got != tt.code {
				t.Errorf("got %q, want %q", got, tt.code)
			}
			if c.PgConn().ParameterStatus("cactusfork.token") != "" {
				t.Error("got a token for what was not acknowledged, want none")
			}
		})
	}
}

func TestRefusedBeforeSending(t *testing.T) {
	h := newHarness(t)
	h.acquire = func() error { return refusal.Overloaded("no slot") }
	c := h.dial(pgx.QueryExecModeExec)
	_, err := c.Exec(context.Background(), writeSQL)
	if got, detail := codeOf(err), detailOf(err); got != "53300" || detail != "not run" {
		t.Errorf("got %q with detail %q, want 53300 with not run", got, detail)
	}
	if got := h.runs("insert"); got != 0 {
		t.Errorf("got %d runs, want 0", got)
	}
}

func TestStaleReplicaIsLeft(t *testing.T) {
	h := newHarness(t)
	h.replicas[0].point.Position = 10
	c := h.dial(pgx.QueryExecModeExec)
	if _, err := c.Exec(context.Background(), readSQL); err != nil {
		t.Fatal(err)
	}
	if got := h.replicas[1].ran("item.read"); got != 1 {
		t.Errorf("got %d reads at the fresh replica, want 1", got)
	}
	if got, want := h.needs[0].Floor, h.floor; got != want {
		t.Errorf("got floor %v, want %v", got, want)
	}
}
