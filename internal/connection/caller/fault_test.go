package caller

import (
	"context"
	"errors"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// TestTargetFaults checks that a write whose reply is lost or invalid ends in an unknown outcome, that a read is retried, and that the caller's connection stays usable.
func TestTargetFaults(t *testing.T) {
	tests := []struct {
		name     string
		fault    fault
		sql      string
		code     string
		wantRuns int
	}{
		{"write, closed before the reply", closeBeforeReply, writeSQL, "08007", 1},
		{"write, closed in the middle of the reply", closeMidReply, writeSQL, "08007", 1},
		{"write, closed before ready", closeBeforeReady, writeSQL, "08007", 1},
		{"write, duplicate reply", duplicateReply, writeSQL, "08007", 1},
		{"write, invalid reply", garbageReply, writeSQL, "08007", 1},
		{"write, fatal error", fatalErrorReply, writeSQL, "08007", 1},
		{"read, closed before the reply", closeBeforeReply, readSQL, "", 2},
		{"read, closed in the middle of the reply", closeMidReply, readSQL, "", 2},
		{"read, closed before ready", closeBeforeReady, readSQL, "", 2},
		{"read, invalid reply", garbageReply, readSQL, "", 2},
		{"read, fatal error", fatalErrorReply, readSQL, "", 2},
		{"unnamed select", closeBeforeReply, "select 7", "08007", 1},
		{"write that fails", noFault, "insert fails " + writeSQL, "23505", 1},
	}
	for _, tt := range tests {
		for mode, m := range modes {
			t.Run(tt.name+" "+mode, func(t *testing.T) {
				h := newHarness(t)
				h.injectFault(tt.sql, tt.fault)
				c := h.dial(m)
				_, err := c.Exec(context.Background(), tt.sql)
				if got := codeOf(err); got != tt.code {
					t.Errorf("got error %q, want %q", got, tt.code)
				}
				if got := h.totalRuns(tt.sql); got != tt.wantRuns {
					t.Errorf("got %d runs, want %d", got, tt.wantRuns)
				}
				if _, err := c.Exec(context.Background(), "insert next"); err != nil {
					t.Errorf("got %v on the next statement, want none", err)
				}
			})
		}
	}
}

// injectFault makes the primary and the first replica simulate the fault for the statement.
func (h *harness) injectFault(sql string, v fault) {
	if v == noFault {
		return
	}
	h.primary.faults[sql] = v
	h.replicas[0].faults[sql] = v
}

// totalRuns returns how many statements that contain sql ran at all targets.
func (h *harness) totalRuns(sql string) int {
	return h.primary.runCount(sql) + h.replicas[0].runCount(sql) + h.replicas[1].runCount(sql)
}

// TestUnconfirmed checks that an exchange at a primary is not acknowledged if no majority confirms it or the target has lost its role or term.
func TestUnconfirmed(t *testing.T) {
	tests := []struct {
		name   string
		inject func(h *harness)
		sql    string
		code   string
	}{
		{"confirm fails", func(h *harness) { h.confirm = func(position.Point) error { return errors.New("no majority") } }, writeSQL, "08007"},
		{"term has changed", func(h *harness) { h.primary.point.Term = 2 }, writeSQL, "08007"},
		{"no longer primary", func(h *harness) { h.primary.primary = false }, writeSQL, "08007"},
		{"no longer primary, select", func(h *harness) { h.primary.primary = false }, "select 1", "08007"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			tt.inject(h)
			c := h.dial(pgx.QueryExecModeSimpleProtocol)
			_, err := c.Exec(context.Background(), tt.sql)
			if got := codeOf(err); got != tt.code {
				t.Errorf("got %q, want %q", got, tt.code)
			}
			if c.PgConn().ParameterStatus("cactusfork.token") != "" {
				t.Error("got a token for an exchange that was not acknowledged, want none")
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
	if got := h.totalRuns("insert"); got != 0 {
		t.Errorf("got %d runs, want 0", got)
	}
}

// TestStaleReplicaIsSkipped checks that a read moves to another replica if the first is below the floor.
func TestStaleReplicaIsSkipped(t *testing.T) {
	h := newHarness(t)
	h.replicas[0].point.Position = 10
	c := h.dial(pgx.QueryExecModeExec)
	if _, err := c.Exec(context.Background(), readSQL); err != nil {
		t.Fatal(err)
	}
	if got := h.replicas[1].runCount("item.read"); got != 1 {
		t.Errorf("got %d reads at the fresh replica, want 1", got)
	}
	if got, want := h.needs[0].Floor, h.floor; got != want {
		t.Errorf("got floor %v, want %v", got, want)
	}
}

// TestRefusedSettingsRunNothing guards against a statement that runs although the target refused the session's parameters.
func TestRefusedSettingsRunNothing(t *testing.T) {
	for _, sql := range []string{writeSQL, readSQL} {
		for mode, m := range modes {
			t.Run(sql+" "+mode, func(t *testing.T) {
				h := newHarness(t)
				ctx := context.Background()
				c, err := pgx.Connect(ctx, h.url()+"&search_path=fails")
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close(ctx)
				_, err = c.Exec(ctx, sql, m)
				if got, want := codeOf(err), "23505"; got != want {
					t.Errorf("got error %q, want %q", got, want)
				}
				if got := detailOf(err); got != refusal.NotRunDetail {
					t.Errorf("got detail %q, want %q", got, refusal.NotRunDetail)
				}
				if got := h.totalRuns(sql); got != 0 {
					t.Errorf("got %d runs, want 0", got)
				}
			})
		}
	}
}
