package caller

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// advanceUntil advances the clock by 1 s at a time until the condition holds.
func advanceUntil(m *clock.Manual, condition func() bool) {
	for !condition() {
		m.Advance(clock.Second)
		runtime.Gosched()
	}
}

func withClock(m *clock.Manual) option {
	return func(c *Config, _ *Dependencies) { c.Clock = &m.Clock }
}

func TestStartupTimeout(t *testing.T) {
	m := clock.NewManual(1)
	h := newHarness(t, withClock(m))
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	advanceUntil(m, func() bool { return h.server.Active() == 1 })
	advanceUntil(m, func() bool { return h.server.Active() == 0 })
	if got, _ := io.ReadAll(c); len(got) != 0 {
		t.Errorf("got %q, want nothing", got)
	}
}

// TestRequestTimeout checks that a statement to which the target never replies is aborted after the request timeout.
func TestRequestTimeout(t *testing.T) {
	tests := []struct{ sql, code string }{{writeSQL, "08007"}, {readSQL, "57014"}}
	for _, tt := range tests {
		m := clock.NewManual(1)
		// The clock also advances while the reply is written, so that the write timeout must not pass first.
		h := newHarness(t, withClock(m), func(c *Config, _ *Dependencies) { c.WriteTimeout = 1 << 40 })
		h.injectFault(tt.sql, noReply)
		c := h.dial(pgx.QueryExecModeExec)
		got := make(chan error, 1)
		go func() {
			_, err := c.Exec(context.Background(), tt.sql)
			got <- err
		}()
		for h.totalRuns(tt.sql) == 0 {
			runtime.Gosched()
		}
		advanceUntil(m, func() bool { return len(got) == 1 })
		if err := <-got; codeOf(err) != tt.code {
			t.Errorf("got %v, want %s", err, tt.code)
		}
		if _, err := c.Exec(context.Background(), "insert next"); err != nil {
			t.Errorf("got %v on the next statement, want none", err)
		}
	}
}

func TestIdleTransactionTimeout(t *testing.T) {
	m := clock.NewManual(1)
	h := newHarness(t, withClock(m))
	c := h.dial(pgx.QueryExecModeExec)
	ctx := context.Background()
	for _, sql := range []string{"begin", writeSQL} {
		if _, err := c.Exec(ctx, sql); err != nil {
			t.Fatal(err)
		}
	}
	advanceUntil(m, func() bool { return h.server.Active() == 0 })
	if _, err := c.Exec(ctx, "commit"); err == nil {
		t.Error("got no error after the transaction was ended, want one")
	}
	if got := h.primary.runCount("commit"); got != 0 {
		t.Errorf("got %d commits, want 0", got)
	}
}

func TestDrain(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	idle := h.dial(pgx.QueryExecModeExec)
	busy := h.dial(pgx.QueryExecModeExec)
	for _, sql := range []string{"begin", writeSQL} {
		if _, err := busy.Exec(ctx, sql); err != nil {
			t.Fatal(err)
		}
	}
	h.cancel()
	for h.server.Active() == 2 {
		runtime.Gosched()
	}
	if _, err := idle.Exec(ctx, writeSQL); err == nil {
		t.Error("got no error on an idle connection, want one")
	}
	if _, err := busy.Exec(ctx, writeSQL); err != nil {
		t.Errorf("got %v inside the transaction, want none", err)
	}
	if _, err := busy.Exec(ctx, "commit"); err != nil {
		t.Errorf("got %v on commit, want none", err)
	}
	err := <-h.serveErr
	h.serveErr <- err
	if got := h.server.Active(); got != 0 {
		t.Errorf("got %d callers, want 0", got)
	}
	// A connection that was accepted just before the drain must be refused as well.
	if err := h.server.register(h.server.newConn(nil)); err == nil || err.Code != "57P01" {
		t.Errorf("got %v for a late caller, want 57P01", err)
	}
}

func TestDrainTimeout(t *testing.T) {
	m := clock.NewManual(1)
	h := newHarness(t, withClock(m), func(c *Config, _ *Dependencies) { c.TransactionIdleTimeout = 1 << 40 })
	ctx := context.Background()
	c := h.dial(pgx.QueryExecModeExec)
	for _, sql := range []string{"begin", writeSQL} {
		if _, err := c.Exec(ctx, sql); err != nil {
			t.Fatal(err)
		}
	}
	h.cancel()
	advanceUntil(m, func() bool { return len(h.serveErr) == 1 })
	if got := h.primary.runCount("commit"); got != 0 {
		t.Errorf("got %d commits, want 0", got)
	}
}

func TestCancel(t *testing.T) {
	h := newHarness(t)
	h.primary.faults["insert"] = noReply
	c := h.dial(pgx.QueryExecModeExec)
	ctx := context.Background()
	got := make(chan error, 1)
	go func() {
		_, err := c.Exec(ctx, writeSQL)
		got <- err
	}()
	for h.primary.runCount("insert") == 0 {
		runtime.Gosched()
	}
	if err := c.PgConn().CancelRequest(ctx); err != nil {
		t.Fatal(err)
	}
	for h.primary.cancelCount() == 0 {
		runtime.Gosched()
	}
	h.primary.closeAll()
	if err := <-got; codeOf(err) != "08007" {
		t.Errorf("got %v, want 08007", err)
	}
}

func (f *fakeTarget) cancelCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancelRequests
}

func (f *fakeTarget) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.Close()
	}
}

// TestWrongCancelKey checks that a cancel request with a wrong secret is ignored.
func TestWrongCancelKey(t *testing.T) {
	h := newHarness(t)
	c := h.dial(pgx.QueryExecModeExec)
	netConn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer netConn.Close()
	msg, err := (&pgproto3.CancelRequest{ProcessID: c.PgConn().PID(), SecretKey: []byte{0, 0, 0, 0}}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	netConn.Write(msg)
	io.ReadAll(netConn)
	if got := h.primary.cancelCount(); got != 0 {
		t.Errorf("got %d cancels, want 0", got)
	}
}

// TestLargeReply checks that a reply that exceeds MaxHeldBytes, so that its rows are forwarded early, reaches the caller completely.
func TestLargeReply(t *testing.T) {
	h := newHarness(t)
	h.primary.rows = 5000
	for _, mode := range modes {
		c := h.dial(mode)
		rows, err := c.Query(context.Background(), "select 1")
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		for rows.Next() {
			n++
		}
		if n != 5000 || rows.Err() != nil {
			t.Errorf("got %d rows and %v, want 5000", n, rows.Err())
		}
	}
}

func TestTokenRaisesFloor(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	writer := h.dial(pgx.QueryExecModeExec)
	if _, err := writer.Exec(ctx, writeSQL); err != nil {
		t.Fatal(err)
	}
	for _, mode := range modes {
		reader := h.dial(mode)
		text := writer.PgConn().ParameterStatus("cactusfork.token")
		if _, err := reader.Exec(ctx, "SET cactusfork.token TO '"+text+"'"); err != nil {
			t.Fatal(err)
		}
		if _, err := reader.Exec(ctx, readSQL); err != nil {
			t.Fatal(err)
		}
		want := position.Point{Term: 1, Position: 101}
		if got := h.needs[len(h.needs)-1].Floor; got != want {
			t.Errorf("got floor %v, want %v", got, want)
		}
		var shown string
		if err := reader.QueryRow(ctx, "show cactusfork.token").Scan(&shown); err != nil || shown != text {
			t.Errorf("got token %q and %v, want %q", shown, err, text)
		}
		if _, err := reader.Exec(ctx, "set cactusfork.token = 'x"+text+"'"); codeOf(err) != "22023" {
			t.Errorf("got %v for a damaged token, want 22023", err)
		}
	}
	if got := h.totalRuns("cactusfork.token"); got != 0 {
		t.Errorf("got %d token statements at targets, want 0", got)
	}
}

// TestDrainAnswersStatementsAtWork guards against a stop that cuts off a statement while a target works on it.
func TestDrainAnswersStatementsAtWork(t *testing.T) {
	tests := []struct {
		name   string
		before []string
		sql    string
		code   string
	}{
		{"write", nil, writeSQL, "08007"},
		{"statement of a transaction", []string{"begin", "insert first"}, writeSQL, "08006"},
		{"commit", []string{"begin", "insert first"}, "commit", "08007"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := clock.NewManual(1)
			h := newHarness(t, withClock(m), func(c *Config, _ *Dependencies) { c.TransactionIdleTimeout = 1 << 40 })
			c := h.dial(pgx.QueryExecModeExec)
			for _, sql := range tt.before {
				if _, err := c.Exec(context.Background(), sql); err != nil {
					t.Fatal(err)
				}
			}
			h.injectFault(tt.sql, noReply)
			got := make(chan string, 1)
			go func() {
				_, err := c.Exec(context.Background(), tt.sql)
				got <- codeOf(err)
			}()
			for h.primary.runCount(tt.sql) == 0 {
				runtime.Gosched()
			}
			h.cancel()
			advanceUntil(m, func() bool { return len(got) == 1 })
			if got := <-got; got != tt.code {
				t.Errorf("got %q, want %q", got, tt.code)
			}
		})
	}
}
