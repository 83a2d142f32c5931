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

// until advances the clock until the condition holds.
func until(m *clock.Manual, holds func() bool) {
	for !holds() {
		m.Advance(clock.Second)
		runtime.Gosched()
	}
}

func withClock(m *clock.Manual) option {
	return func(c *Config, _ *Seams) { c.Clock = &m.Clock }
}

func TestStartupTimeout(t *testing.T) {
	m := clock.NewManual(1)
	h := newHarness(t, withClock(m))
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	until(m, func() bool { return h.server.Active() == 1 })
	until(m, func() bool { return h.server.Active() == 0 })
	if got, _ := io.ReadAll(c); len(got) != 0 {
		t.Errorf("got %q, want nothing", got)
	}
}

// TestRequestTimeout cuts a statement that the target never answers.
func TestRequestTimeout(t *testing.T) {
	tests := []struct{ sql, code string }{{writeSQL, "08007"}, {readSQL, "57014"}}
	for _, tt := range tests {
		m := clock.NewManual(1)
		// The clock runs on while the answer is written, which is not what times out here.
		h := newHarness(t, withClock(m), func(c *Config, _ *Seams) { c.WriteTimeout = 1 << 40 })
		h.everywhere(tt.sql, silent)
		c := h.dial(pgx.QueryExecModeExec)
		got := make(chan error, 1)
		go func() {
			_, err := c.Exec(context.Background(), tt.sql)
			got <- err
		}()
		for h.runs(tt.sql) == 0 {
			runtime.Gosched()
		}
		until(m, func() bool { return len(got) == 1 })
		if err := <-got; codeOf(err) != tt.code {
			t.Errorf("got %v, want %s", err, tt.code)
		}
		if _, err := c.Exec(context.Background(), "insert next"); err != nil {
			t.Errorf("got %v on the next statement, want none", err)
		}
	}
}

func TestIdleTransactionEnds(t *testing.T) {
	m := clock.NewManual(1)
	h := newHarness(t, withClock(m))
	c := h.dial(pgx.QueryExecModeExec)
	ctx := context.Background()
	for _, sql := range []string{"begin", writeSQL} {
		if _, err := c.Exec(ctx, sql); err != nil {
			t.Fatal(err)
		}
	}
	until(m, func() bool { return h.server.Active() == 0 })
	if _, err := c.Exec(ctx, "commit"); err == nil {
		t.Error("got no error after the transaction was ended, want one")
	}
	if got := h.primary.ran("commit"); got != 0 {
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
	h.stop()
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
	err := <-h.done
	h.done <- err
	if got := h.server.Active(); got != 0 {
		t.Errorf("got %d callers, want 0", got)
	}
	// One that was accepted just before the end must not be left behind.
	if err := h.server.enlist(h.server.newConn(nil)); err == nil || err.Code != "57P01" {
		t.Errorf("got %v for a late caller, want 57P01", err)
	}
}

func TestDrainTimeout(t *testing.T) {
	m := clock.NewManual(1)
	h := newHarness(t, withClock(m), func(c *Config, _ *Seams) { c.TransactionIdleTimeout = 1 << 40 })
	ctx := context.Background()
	c := h.dial(pgx.QueryExecModeExec)
	for _, sql := range []string{"begin", writeSQL} {
		if _, err := c.Exec(ctx, sql); err != nil {
			t.Fatal(err)
		}
	}
	h.stop()
	until(m, func() bool { return len(h.done) == 1 })
	if got := h.primary.ran("commit"); got != 0 {
		t.Errorf("got %d commits, want 0", got)
	}
}

func TestCancel(t *testing.T) {
	h := newHarness(t)
	h.primary.faults["insert"] = silent
	c := h.dial(pgx.QueryExecModeExec)
	ctx := context.Background()
	got := make(chan error, 1)
	go func() {
		_, err := c.Exec(ctx, writeSQL)
		got <- err
	}()
	for h.primary.ran("insert") == 0 {
		runtime.Gosched()
	}
	if err := c.PgConn().CancelRequest(ctx); err != nil {
		t.Fatal(err)
	}
	for h.primary.cancelled() == 0 {
		runtime.Gosched()
	}
	h.primary.cutAll()
	if err := <-got; codeOf(err) != "08007" {
		t.Errorf("got %v, want 08007", err)
	}
}

func (f *fakeTarget) cancelled() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancels
}

func (f *fakeTarget) cutAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.Close()
	}
}

// TestWrongCancelKey guesses a key.
func TestWrongCancelKey(t *testing.T) {
	h := newHarness(t)
	c := h.dial(pgx.QueryExecModeExec)
	wire, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer wire.Close()
	msg, err := (&pgproto3.CancelRequest{ProcessID: c.PgConn().PID(), SecretKey: []byte{0, 0, 0, 0}}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	wire.Write(msg)
	io.ReadAll(wire)
	if got := h.primary.cancelled(); got != 0 {
		t.Errorf("got %d cancels, want 0", got)
	}
}

// TestLargeAnswer forwards rows early, but nothing that acknowledges before it is confirmed.
func TestLargeAnswer(t *testing.T) {
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
	if got := h.runs("cactusfork.token"); got != 0 {
		t.Errorf("got %d token statements at targets, want 0", got)
	}
}
