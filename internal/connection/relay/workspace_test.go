package relay

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// access is what Identify answers in a test.
type access struct {
	workspace *workspace.Workspace
	refused   *statement.Refusal
}

// withAccess has the session identified by a, and returns it together with counts of the operations admitted and refunded.
func withAccess(b *testBed) (a *access, admitted, refunded *int) {
	a = &access{workspace: &workspace.Workspace{ID: "w"}}
	admitted, refunded = new(int), new(int)
	d := &b.session.server.deps
	d.Identify = func(*Startup, bool, *topology.Route) (*workspace.Workspace, *statement.Refusal) {
		return a.workspace, a.refused
	}
	d.Admit = func(context.Context, *workspace.Workspace, clock.Millis) error { *admitted++; return nil }
	d.Refund = func(*workspace.Workspace, clock.Millis) { *refunded++ }
	return a, admitted, refunded
}

var unknownKey = &statement.Refusal{Code: statement.NoAuthority, Text: "key is not known"}

// Guards against a session that opens, or a statement that runs, for a key that is not known.
func TestStartupWithUnknownKeyIsRefused(t *testing.T) {
	for _, refused := range []*statement.Refusal{unknownKey, {Code: statement.Busy, Text: "configuration may be out of date"}} {
		b := newTestBed(t, topology.Strong)
		a, _, _ := withAccess(b)
		a.refused = refused
		b.session.wire.Startup = func(time.Time) (Startup, error) { return Startup{Database: "db"}, nil }
		if b.session.start(t.Context()) {
			t.Errorf("%v: got the session continued, want it ended", refused.Code)
		}
		if got, want := strings.Join(b.replies, ", "), refused.Code.String(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// Guards against statements that begin under a key that was taken away, and against a session that goes on.
func TestRevokedKeyBeginsNoStatement(t *testing.T) {
	for _, text := range []string{"READ a", "WRITE a 1", "BEGIN", "SET x 1", "PREPARE s READ q"} {
		b := newTestBed(t, topology.Strong)
		a, _, _ := withAccess(b)
		b.exec("READ a")
		a.refused = unknownKey
		if got, want := b.exec(text), "no-authority, I"; got != want {
			t.Errorf("%s: got %q, want %q", text, got, want)
		}
		if !b.session.ended {
			t.Errorf("%s: got the session continued, want it ended", text)
		}
		if got, want := len(b.targets[0].executed)+len(b.targets[1].executed), 1; got != want {
			t.Errorf("%s: got %d statements run, want %d", text, got, want)
		}
	}
}

// Guards against a transaction that is cut off as soon as its key is taken away, and against one that goes on under it for ever.
func TestRevokedKeyEndsTransactionInTime(t *testing.T) {
	for _, tt := range []struct {
		elapsed clock.Millis
		want    string
	}{{0, "body by p, I"}, {revokedTransactionTime, "rejected, I"}} {
		b := newTestBed(t, topology.Strong)
		a, _, _ := withAccess(b)
		b.exec("BEGIN")
		b.exec("WRITE a 1")
		a.refused = unknownKey
		b.session.started = true
		b.session.recheck()
		b.session.revokedAt -= tt.elapsed
		if got := b.exec("COMMIT"); got != tt.want {
			t.Errorf("after %d ms: got %q, want %q", tt.elapsed, got, tt.want)
		}
		if got, want := b.targets[0].commits, map[bool]int{true: 1}[tt.elapsed == 0]; got != want {
			t.Errorf("after %d ms: got %d commits, want %d", tt.elapsed, got, want)
		}
		if b.session.setIdle(true) {
			t.Errorf("after %d ms: got the session continued, want it ended", tt.elapsed)
		}
	}
}

// Guards against an idle session that stays open after its key was taken away, and against others that are closed with it.
func TestRecheckEndsIdleSessionsOfRevokedKeys(t *testing.T) {
	for _, tt := range []struct {
		refused *statement.Refusal
		want    int
	}{{nil, 0}, {unknownKey, 1}, {&statement.Refusal{Code: statement.Busy}, 0}} {
		b := newTestBed(t, topology.Strong)
		a, _, _ := withAccess(b)
		interrupted := 0
		b.session.wire.Interrupt = func() error { interrupted++; return nil }
		b.session.started, b.session.idle = true, true
		b.session.server.sessions[b.session] = struct{}{}
		a.refused = tt.refused
		b.session.server.Recheck()
		if interrupted != tt.want {
			t.Errorf("%v: got %d sessions interrupted, want %d", tt.refused, interrupted, tt.want)
		}
	}
}

// Guards against operations that count more than once, or not at all, against the limit of a workspace.
func TestAnOperationIsAdmittedOnce(t *testing.T) {
	b := newTestBed(t, topology.Strong)
	_, admitted, refunded := withAccess(b)
	for _, text := range []string{"SET x 1", "PREPARE s READ q", "READ a", "EXECUTE s a", "BEGIN", "READ a", "WRITE a 1", "COMMIT", "BEGIN", "ROLLBACK"} {
		b.exec(text)
	}
	if want := 3; *admitted != want || *refunded != 0 {
		t.Errorf("got %d operations admitted and %d refunded, want %d and 0", *admitted, *refunded, want)
	}
}

// Guards against operations beyond the limit of a workspace: the token of one that a target has run is not given back, whatever its caller
// is told.
func TestOperationsThatRanAreNotRefunded(t *testing.T) {
	tests := []struct {
		name       string
		code       statement.Code
		err        error
		statements []string
		want       string
		refunded   int
	}{
		{"first statement of a transaction fails", statement.Failed, nil, []string{"BEGIN", "WRITE a 1"}, "rejected, E", 0},
		{"first statement of a transaction gets no answer", statement.OK, os.ErrDeadlineExceeded, []string{"BEGIN", "WRITE a 1"}, "rejected, E", 0},
		{"first statement of a transaction is refused", statement.ReadOnly, nil, []string{"BEGIN", "WRITE a 1"}, "read-only, E", 1},
	}
	for _, tt := range tests {
		b := newTestBed(t, topology.Strong)
		_, _, refunded := withAccess(b)
		b.targets[0].intercept = func(c *link.Command) (*link.Reply, error) {
			if !strings.HasPrefix(c.Text, "WRITE") {
				return nil, nil
			}
			return &link.Reply{Code: tt.code, State: statement.Aborted}, tt.err
		}
		got := ""
		for _, text := range tt.statements {
			got = b.exec(text)
		}
		if got != tt.want || *refunded != tt.refunded {
			t.Errorf("%s: got %q and %d refunded, want %q and %d", tt.name, got, *refunded, tt.want, tt.refunded)
		}
	}
}

// Guards against an operation that is not run and is counted nevertheless, and against one beyond the limit that runs.
func TestRefusedOperations(t *testing.T) {
	b := newTestBed(t, topology.Strong)
	_, admitted, refunded := withAccess(b)
	b.targets = nil
	if got, want := b.exec("WRITE a 1"), "lagging, I"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if *admitted != 1 || *refunded != 1 {
		t.Errorf("got %d operations admitted and %d refunded, want 1 and 1", *admitted, *refunded)
	}
	b = newTestBed(t, topology.Strong)
	_, _, refunded = withAccess(b)
	b.session.server.deps.Admit = func(context.Context, *workspace.Workspace, clock.Millis) error {
		return &statement.Refusal{Code: statement.Busy, Text: "workspace is over its limit"}
	}
	if got, want := b.exec("READ a"), "busy, I"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	b.exec("BEGIN")
	if got, want := b.exec("READ a"), "busy, E"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if len(b.targets[0].executed)+len(b.targets[1].executed) != 0 || *refunded != 0 {
		t.Errorf("got statements run %v, %v and %d refunded, want none", b.targets[0].executed, b.targets[1].executed, *refunded)
	}
}
