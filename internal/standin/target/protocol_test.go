package target

import (
	"context"
	"reflect"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestValuesRoundTrip(t *testing.T) {
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			ctx, _, tg := setUp(t, clock.System(), Config{})
			c := dial(ctx, t, tg[0])
			const insert = "INSERT INTO item (id, name, price, weight, sold) VALUES ($1, $2, $3, $4, $5)"
			mustExec(ctx, t, c, insert, mode, 7, "it's", int64(1)<<40, 1.5, true)
			mustExec(ctx, t, c, insert, mode, 8, nil, -1, nil, false)
			rows, err := c.Query(ctx, "SELECT id, name, price, weight, sold FROM item WHERE id >= $1 ORDER BY id", mode, 7)
			if err != nil {
				t.Fatal(err)
			}
			type item struct {
				ID     int
				Name   *string
				Price  int64
				Weight *float64
				Sold   bool
			}
			got, err := pgx.CollectRows(rows, pgx.RowToStructByPos[item])
			if err != nil {
				t.Fatal(err)
			}
			name, weight := "it's", 1.5
			want := []item{{7, &name, 1 << 40, &weight, true}, {8, nil, -1, nil, false}}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
			var n int
			if err := c.QueryRow(ctx, "SELECT count(*) AS n FROM item", mode).Scan(&n); err != nil || n != 2 {
				t.Errorf("got %d, %v, want 2", n, err)
			}
		})
	}
}

func TestErrorsHaveCodes(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{}, Config{})
	primary, replica := dial(ctx, t, tg[0]), dial(ctx, t, tg[1])
	mustExec(ctx, t, primary, "INSERT INTO item (id) VALUES (1)")
	mustExec(ctx, t, primary, "CREATE TABLE strict_item (id INTEGER NOT NULL CHECK (id > 0))")
	tests := []struct {
		conn      *pgx.Conn
		sql, want string
	}{
		{primary, "INSERT INTO item (id) VALUES (1)", codeUnique},
		{primary, "INSERT INTO strict_item VALUES (NULL)", codeNotNull},
		{primary, "INSERT INTO strict_item VALUES (0)", codeCheck},
		{primary, "SELEC 1", codeSyntax},
		{primary, "SELECT * FROM absent", codeUndefinedTable},
		{primary, "SELECT absent FROM item", codeUndefinedColumn},
		{primary, "CREATE TABLE item (id INTEGER)", codeDuplicateTable},
		{replica, "INSERT INTO item (id) VALUES (2)", codeReadOnly},
		{replica, "SELECT 1", ""},
	}
	for _, tt := range tests {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
			_, err := tt.conn.Exec(ctx, tt.sql, mode)
			if got := codeOfError(err); got != tt.want {
				t.Errorf("%s: got %q, want %q", tt.sql, got, tt.want)
			}
		}
	}
}

func TestCommandTags(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{})
	c := dial(ctx, t, tg[0])
	tests := []struct{ sql, want string }{
		{"/* a */ INSERT INTO item (id, price) VALUES (1, 2), (2, 3)", "INSERT 0 2"},
		{"UPDATE item SET price = 4 WHERE id = 1 RETURNING price", "UPDATE 1"},
		{"SELECT * FROM item", "SELECT 2"},
		{"WITH x AS (SELECT 1) SELECT * FROM x", "SELECT 1"},
		{"DELETE FROM item WHERE id = 3", "DELETE 0"},
		{"CREATE TABLE other (id INTEGER)", "CREATE TABLE"},
		{"BEGIN", "BEGIN"},
		{"COMMIT", "COMMIT"},
		{"SET application_name = 'x'", "SET"},
	}
	for _, tt := range tests {
		got, err := c.Exec(ctx, tt.sql)
		if err != nil || got.String() != tt.want {
			t.Errorf("%s: got %q, %v, want %q", tt.sql, got, err, tt.want)
		}
	}
}

func TestSimpleQueryIsOneTransaction(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{})
	c := dial(ctx, t, tg[0])
	_, err := c.PgConn().Exec(ctx, "INSERT INTO item (id) VALUES (1); INSERT INTO item (id) VALUES (1)").ReadAll()
	if got, want := codeOfError(err), codeUnique; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	wantRows(ctx, t, tg[0], "SELECT id FROM item")
	before := tg[0].Status().Received
	mustExec(ctx, t, c, "INSERT INTO item (id) VALUES (1); INSERT INTO item (id) VALUES (2)", pgx.QueryExecModeSimpleProtocol)
	wantRows(ctx, t, tg[0], "SELECT id FROM item", []string{"1"}, []string{"2"})
	if got := tg[0].Status().Received; !before.Before(got) {
		t.Errorf("got received %v, want past %v", got, before)
	}
}

func TestPipelineErrorSkipsToSync(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{})
	c := dial(ctx, t, tg[0]).PgConn()
	p := c.StartPipeline(ctx)
	p.SendQueryParams("INSERT INTO item (id) VALUES ($1)", [][]byte{[]byte("1")}, nil, nil, nil)
	p.SendQueryParams("INSERT INTO item (id) VALUES (1)", nil, nil, nil, nil)
	p.SendQueryParams("INSERT INTO item (id) VALUES (3)", nil, nil, nil, nil)
	if err := p.Sync(); err != nil {
		t.Fatal(err)
	}
	p.SendQueryParams("INSERT INTO item (id) VALUES (4)", nil, nil, nil, nil)
	if err := p.Sync(); err != nil {
		t.Fatal(err)
	}
	if got, want := codeOfError(p.Close()), codeUnique; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	wantRows(ctx, t, tg[0], "SELECT id FROM item", []string{"4"})
}

func TestTransactionStatus(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{})
	c := dial(ctx, t, tg[0])
	tests := []struct {
		sql, code string
		status    byte
	}{
		{"BEGIN", "", 'T'},
		{"INSERT INTO item (id) VALUES (1)", "", 'T'},
		{"INSERT INTO item (id) VALUES (1)", codeUnique, 'E'},
		{"SELECT 1", codeFailedTransaction, 'E'},
		{"COMMIT", "", 'I'},
		{"BEGIN", "", 'T'},
		{"INSERT INTO item (id) VALUES (2)", "", 'T'},
		{"SAVEPOINT s", "", 'T'},
		{"INSERT INTO item (id) VALUES (2)", codeUnique, 'E'},
		{"ROLLBACK TO s", "", 'T'},
		{"INSERT INTO item (id) VALUES (3)", "", 'T'},
		{"COMMIT", "", 'I'},
		{"BEGIN READ ONLY", "", 'T'},
		{"INSERT INTO item (id) VALUES (4)", codeReadOnly, 'E'},
		{"ROLLBACK", "", 'I'},
	}
	for i, tt := range tests {
		_, err := c.Exec(ctx, tt.sql, pgx.QueryExecModeExec)
		if got := codeOfError(err); got != tt.code {
			t.Errorf("%d %s: got %q, want %q", i, tt.sql, got, tt.code)
		}
		if got := c.PgConn().TxStatus(); got != tt.status {
			t.Errorf("%d %s: got status %c, want %c", i, tt.sql, got, tt.status)
		}
	}
	wantRows(ctx, t, tg[0], "SELECT id FROM item", []string{"2"}, []string{"3"})
}

func TestPortalLimitAndLargeResult(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{})
	c := dial(ctx, t, tg[0])
	const count, width = 2000, 1000
	mustExec(ctx, t, c, "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < $1) "+
		"INSERT INTO item (id, name) SELECT i, $2 FROM n", count, strings.Repeat("x", width))
	rows, err := c.Query(ctx, "SELECT id, name FROM item ORDER BY id")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for rows.Next() {
		n++
	}
	if rows.Err() != nil || n != count {
		t.Errorf("got %d rows, %v, want %d", n, rows.Err(), count)
	}
}

func TestCancelEndsStatement(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{StatementTime: 3600 * clock.Second, Slots: 1})
	c := dial(ctx, t, tg[0])
	done := make(chan error, 1)
	go func() { done <- c.PgConn().Exec(ctx, "SELECT 1").Close() }()
	eventually(ctx, t, func() bool { return inFlight(tg[0]) == 1 })
	other := dial(ctx, t, tg[0])
	_, err := other.Exec(ctx, "SELECT 1", pgx.QueryExecModeExec)
	if got, want := codeOfError(err), codeTooManyConnections; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if err := c.PgConn().CancelRequest(ctx); err != nil {
		t.Fatal(err)
	}
	if got, want := codeOfError(<-done), codeCancelled; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := tg[0].Statements(); got.Refused != 1 {
		t.Errorf("got %+v, want 1 refused", got)
	}
}

func inFlight(t *Target) int {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	return t.inFlight
}

func TestConnectionLimit(t *testing.T) {
	ctx, _, tg := setUp(t, clock.System(), Config{Connections: 1})
	c := dial(ctx, t, tg[0])
	_, err := pgconn.Connect(ctx, "postgres://caller@"+tg[0].Address()+"/precios?sslmode=disable")
	if got, want := codeOfError(err), codeTooManyConnections; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	c.Close(context.Background())
	eventually(ctx, t, func() bool {
		_, err := pgconn.Connect(ctx, "postgres://caller@"+tg[0].Address()+"/precios?sslmode=disable")
		return err == nil
	})
}
