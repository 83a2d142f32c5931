package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// readsAtPrimary routes the first attempt of every request to the primary, as if no replica had reached the floor.
func readsAtPrimary(_ *Config, deps *Dependencies) {
	acquire := deps.Acquire
	deps.Acquire = func(ctx context.Context, svc *service.Service, n route.Need, o AcquireOptions) (*Lease, error) {
		if o.Attempt == 0 {
			n.Request.Kind = service.Write
		}
		return acquire(ctx, svc, n, o)
	}
}

// TestReadAtPrimary checks that a read at a primary is retried if it is not confirmed, but not if it may have written or rows were forwarded.
func TestReadAtPrimary(t *testing.T) {
	failing := func(h *harness) { h.confirm = func(position.Point) error { return errors.New("no majority") } }
	withSQL := "with x as (select 1) select v from x /*request='item.read'*/"
	tests := []struct {
		name, sql    string
		inject       func(h *harness)
		code, detail string
		wantRuns     int
	}{
		{"confirmed", readSQL, func(*harness) {}, "", "", 1},
		{"not confirmed", readSQL, failing, "", "", 2},
		{"connection closed", readSQL, func(h *harness) { h.primary.faults[readSQL] = closeMidReply }, "", "", 2},
		{"connection closed, may write", withSQL, func(h *harness) { h.primary.faults[withSQL] = closeBeforeReply }, "08007", "", 1},
		{"not confirmed, may write", withSQL, failing, "08007", "", 1},
		{"not confirmed, rows forwarded", readSQL, func(h *harness) {
			failing(h)
			h.primary.rows = 5000
		}, "57P03", refusal.Interrupted("").Detail, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, readsAtPrimary)
			tt.inject(h)
			_, err := h.dial(pgx.QueryExecModeSimpleProtocol).Exec(context.Background(), tt.sql)
			if got := codeOf(err); got != tt.code || tt.detail != "" && detailOf(err) != tt.detail {
				t.Errorf("got %q with detail %q, want %q with %q", got, detailOf(err), tt.code, tt.detail)
			}
			if got := h.totalRuns(tt.sql); got != tt.wantRuns {
				t.Errorf("got %d runs, want %d", got, tt.wantRuns)
			}
		})
	}
}

// TestFailingBegin checks that no statement runs outside a transaction whose BEGIN failed at the target.
func TestFailingBegin(t *testing.T) {
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			c := h.dial(mode)
			steps := []struct{ sql, code string }{
				{"begin fails", ""},
				{"insert first", "23505"},
				{"insert second", "25P02"},
				{"rollback", ""},
				{"begin", ""},
				{"commit", ""},
				{"insert third", ""},
			}
			for _, s := range steps {
				if _, err := c.Exec(context.Background(), s.sql); codeOf(err) != s.code {
					t.Errorf("got %v on %q, want %q", err, s.sql, s.code)
				}
			}
			if got := h.totalRuns("insert first") + h.totalRuns("insert second"); got != 0 {
				t.Errorf("got %d inserts outside the transaction, want 0", got)
			}
		})
	}
}

func TestStartupParameters(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	c, err := pgx.Connect(ctx, h.url()+"&search_path=a%27b%5Cc&application_name=me&client_encoding=utf8")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, readSQL, pgx.QueryExecModeExec); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(h.replicas[0].statements(), "|")
	if want := `RESET ALL|SET search_path = E'a''b\\c'|` + readSQL; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := c.PgConn().ParameterStatus("application_name"); got != "me" {
		t.Errorf("got application name %q, want me", got)
	}
}

// TestTargetClientLogsIn connects package target's client to the server, with TLS and SCRAM.
func TestTargetClientLogsIn(t *testing.T) {
	h := newHarness(t, withPassword("shop", "secret"), func(_ *Config, deps *Dependencies) {
		cfg := &tls.Config{Certificates: []tls.Certificate{certificate(t)}, MinVersion: tls.VersionTLS12}
		deps.TLS = func() *tls.Config { return cfg }
	})
	ctx := context.Background()
	a := target.Address{
		HostPort: h.address, User: "shop", Database: "shop", Password: "secret",
		TLS: &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS12},
	}
	c, err := target.Dial(ctx, a)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.Run(ctx, writeSQL); err != nil {
		t.Error(err)
	}
	if err := c.Cancel(ctx); err != nil {
		t.Errorf("got %v on cancel, want none", err)
	}
	a.Password = "wrong"
	var serverErr *target.ServerError
	if _, err := target.Dial(ctx, a); !errors.As(err, &serverErr) || serverErr.Code != "28P01" {
		t.Errorf("got %v with a wrong password, want 28P01", err)
	}
}
