package caller

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// TestPreparedStatementsOnNewTargets checks that a prepared statement runs on target connections on which the caller did not prepare it.
func TestPreparedStatementsOnNewTargets(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	c := h.dial(pgx.QueryExecModeCacheStatement)
	if _, err := c.Prepare(ctx, "mine", readSQL); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		for _, r := range h.replicas {
			r.closeAll()
		}
		var v string
		if err := c.QueryRow(ctx, "mine").Scan(&v); err != nil || v != "1" {
			t.Fatalf("got %q and %v, want 1", v, err)
		}
	}
	if _, err := c.Prepare(ctx, "wrong", "select syntax error"); codeOf(err) != "42601" {
		t.Errorf("got %v, want 42601", err)
	}
	if _, err := c.Prepare(ctx, "wrong", "select 2"); err != nil {
		t.Errorf("got %v for a name whose first statement failed, want none", err)
	}
	if err := c.Deallocate(ctx, "mine"); err != nil {
		t.Fatal(err)
	}
	if got := c.PgConn().ExecPrepared(ctx, "mine", nil, nil, nil).Read(); codeOf(got.Err) != "26000" {
		t.Errorf("got %v for a closed statement, want 26000", got.Err)
	}
}

// rawCaller is a caller that sends and receives single protocol messages.
type rawCaller struct {
	t     *testing.T
	front *pgproto3.Frontend
}

func (h *harness) rawCaller(t *testing.T) *rawCaller {
	t.Helper()
	c := h.dial(pgx.QueryExecModeExec)
	hijacked, err := c.PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { hijacked.Conn.Close() })
	return &rawCaller{t: t, front: hijacked.Frontend}
}

func (r *rawCaller) send(list ...pgproto3.FrontendMessage) {
	for _, m := range list {
		r.front.Send(m)
	}
	if err := r.front.Flush(); err != nil {
		r.t.Error(err)
	}
}

// read returns the types of n messages, with the SQLSTATE of errors and the status of ReadyForQuery; it skips ParameterStatus messages, which carry tokens.
func (r *rawCaller) read(n int) string {
	var list []string
	for len(list) < n {
		msg, err := r.front.Receive()
		if err != nil {
			return strings.Join(append(list, err.Error()), " ")
		}
		if _, ok := msg.(*pgproto3.ParameterStatus); ok {
			continue
		}
		name := strings.TrimPrefix(fmt.Sprintf("%T", msg), "*pgproto3.")
		switch m := msg.(type) {
		case *pgproto3.ErrorResponse:
			name += m.Code
		case *pgproto3.ReadyForQuery:
			name += string(m.TxStatus)
		}
		list = append(list, name)
	}
	return strings.Join(list, " ")
}

func TestPipelines(t *testing.T) {
	parse := func(name, sql string) pgproto3.FrontendMessage { return &pgproto3.Parse{Name: name, Query: sql} }
	bind := func(name string) pgproto3.FrontendMessage { return &pgproto3.Bind{PreparedStatement: name} }
	describe := func(name string) pgproto3.FrontendMessage { return &pgproto3.Describe{ObjectType: 'S', Name: name} }
	execute, sync, flush := &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.Flush{}
	query := func(sql string) pgproto3.FrontendMessage { return &pgproto3.Query{String: sql} }
	tests := []struct {
		name string
		send []pgproto3.FrontendMessage
		want string
	}{
		{"only sync", []pgproto3.FrontendMessage{sync}, "ReadyForQueryI"},
		{
			"unnamed statement in a later exchange",
			[]pgproto3.FrontendMessage{parse("", "select 1"), sync, bind(""), execute, sync},
			"ParseComplete ReadyForQueryI BindComplete DataRow CommandComplete ReadyForQueryI",
		},
		{
			"the same name twice",
			[]pgproto3.FrontendMessage{parse("a", "select 1"), sync, parse("a", "select 2"), sync},
			"ParseComplete ReadyForQueryI ErrorResponse42P05 ReadyForQueryI",
		},
		{
			"the same statement under two names",
			[]pgproto3.FrontendMessage{parse("a", "select 1"), parse("b", "select 1"), bind("b"), execute, sync},
			"ParseComplete ParseComplete BindComplete DataRow CommandComplete ReadyForQueryI",
		},
		{
			"error in the middle",
			[]pgproto3.FrontendMessage{parse("a", "syntax error"), bind("a"), execute, parse("b", "select 1"), sync, parse("b", "select 1"), sync},
			"ErrorResponse42601 ReadyForQueryI ParseComplete ReadyForQueryI",
		},
		{
			"flush after describe",
			[]pgproto3.FrontendMessage{parse("a", "select 1"), describe("a"), flush, bind("a"), execute, sync},
			"ParseComplete ParameterDescription RowDescription BindComplete DataRow CommandComplete ReadyForQueryI",
		},
		{
			"flush after an error",
			[]pgproto3.FrontendMessage{parse("a", "syntax error"), flush, bind("a"), execute, sync, sync},
			"ErrorResponse42601 ReadyForQueryI ReadyForQueryI",
		},
		{
			"flush after execute",
			[]pgproto3.FrontendMessage{parse("", "select 1"), bind(""), execute, flush, sync},
			"ErrorResponse0A000 ReadyForQueryI",
		},
		{
			"flush after execute in a transaction",
			[]pgproto3.FrontendMessage{query("begin"), parse("", "select 1"), bind(""), execute, flush, sync},
			"CommandComplete ReadyForQueryT ParseComplete BindComplete DataRow CommandComplete ReadyForQueryT",
		},
		{
			"transaction in one pipeline",
			[]pgproto3.FrontendMessage{
				parse("", "begin"), bind(""), execute, parse("", "insert a"), bind(""), execute, parse("", "commit"), bind(""), execute, sync,
			},
			"ParseComplete BindComplete CommandComplete ParseComplete BindComplete CommandComplete " +
				"ParseComplete BindComplete CommandComplete ReadyForQueryI",
		},
		{
			"pipelined simple queries",
			[]pgproto3.FrontendMessage{query("select 1"), query("fails"), query("select 1;select 1")},
			"RowDescription DataRow CommandComplete ReadyForQueryI ErrorResponse23505 ReadyForQueryI " +
				"RowDescription DataRow CommandComplete RowDescription DataRow CommandComplete ReadyForQueryI",
		},
		{
			"unsupported statements and messages",
			[]pgproto3.FrontendMessage{query("copy t from stdin"), query("listen x"), &pgproto3.FunctionCall{}, query("set a = 1; select 1")},
			"ErrorResponse0A000 ReadyForQueryI ErrorResponse0A000 ReadyForQueryI ErrorResponse0A000 ReadyForQueryI ErrorResponse0A000 ReadyForQueryI",
		},
		{
			"refusal in a transaction",
			[]pgproto3.FrontendMessage{query("begin"), query("insert a"), query("listen x"), query("insert b"), query("commit"), query("insert c")},
			"CommandComplete ReadyForQueryT CommandComplete ReadyForQueryT ErrorResponse0A000 ReadyForQueryE ErrorResponse25P02 ReadyForQueryE " +
				"CommandComplete ReadyForQueryI CommandComplete ReadyForQueryI",
		},
		{
			"rollback to after set",
			[]pgproto3.FrontendMessage{query("begin"), query("savepoint a"), query("set a = 1"), query("rollback to a"), query("rollback")},
			"CommandComplete ReadyForQueryT CommandComplete ReadyForQueryT CommandComplete ReadyForQueryT " +
				"ErrorResponse0A000 ReadyForQueryE CommandComplete ReadyForQueryI",
		},
		{
			"unknown message",
			[]pgproto3.FrontendMessage{&pgproto3.PasswordMessage{Password: "x"}},
			"ErrorResponse08P01 unexpected EOF",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			r := h.rawCaller(t)
			r.send(tt.send...)
			if got := r.read(len(strings.Fields(tt.want))); got != tt.want {
				t.Errorf("got  %s\nwant %s", got, tt.want)
			}
		})
	}
}

// TestSettingsAreReplayed checks that a session's parameters are set on a target connection that another session has used or that lacks them.
func TestSettingsAreReplayed(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	c := h.dial(pgx.QueryExecModeExec)
	other := h.dial(pgx.QueryExecModeExec)
	steps := []struct {
		conn *pgx.Conn
		sql  string
		// want lists the statements that the replica runs for the step.
		want string
	}{
		{c, "set search_path = a", ""},
		{c, readSQL, "RESET ALL|set search_path = a|" + readSQL},
		{c, readSQL, readSQL},
		{other, readSQL, "RESET ALL|" + readSQL},
		{c, "begin", ""},
		{c, "set search_path = b", ""},
		{c, "rollback", ""},
		{c, readSQL, "RESET ALL|set search_path = a|" + readSQL},
		{c, "reset search_path", ""},
		{c, readSQL, "RESET ALL|" + readSQL},
	}
	for i, s := range steps {
		before := len(h.replicas[0].statements())
		if _, err := s.conn.Exec(ctx, s.sql); err != nil {
			t.Fatalf("got %v at step %d, want none", err, i)
		}
		got := strings.Join(h.replicas[0].statements()[before:], "|")
		if got != s.want {
			t.Errorf("got %q at step %d, want %q", got, i, s.want)
		}
	}
}

// TestRequestNameAfterBegin checks that the request name of the first statement routes a transaction whose BEGIN comes in the same pipeline.
func TestRequestNameAfterBegin(t *testing.T) {
	h := newHarness(t)
	r := h.rawCaller(t)
	r.send(
		&pgproto3.Parse{Query: "begin"}, &pgproto3.Bind{}, &pgproto3.Execute{},
		&pgproto3.Parse{Query: readSQL}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
		&pgproto3.Query{String: "commit"},
	)
	want := "ParseComplete BindComplete CommandComplete ParseComplete BindComplete DataRow CommandComplete ReadyForQueryT CommandComplete ReadyForQueryI"
	if got := r.read(len(strings.Fields(want))); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	if got := h.replicas[0].runCount("item.read"); got != 1 {
		t.Errorf("got %d reads at the replica, want 1", got)
	}
}

// TestPreparedStatementEviction prepares more statements than a target connection holds, so that the oldest are evicted and parsed again.
func TestPreparedStatementEviction(t *testing.T) {
	h := newHarness(t)
	c := h.dial(pgx.QueryExecModeCacheStatement)
	for range 2 {
		for i := range 300 {
			sql := fmt.Sprintf("select %d /*request='item.read'*/", i)
			if _, err := c.Exec(context.Background(), sql, pgx.QueryExecModeCacheStatement); err != nil {
				t.Fatalf("got %v on %q, want none", err, sql)
			}
		}
	}
	if got := h.replicas[0].runCount("item.read"); got != 600 {
		t.Errorf("got %d runs, want 600", got)
	}
}
