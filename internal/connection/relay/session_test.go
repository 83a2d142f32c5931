package relay

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/topology"
)

// exchange is a statement and the reply that the caller should receive.
type exchange struct{ text, want string }

func TestSessions(t *testing.T) {
	cutAt := func(prefix string) func(*testBed) {
		return func(b *testBed) {
			b.targets[0].intercept = func(c *link.Command) (*link.Reply, error) {
				if len(c.Text) >= len(prefix) && c.Text[:len(prefix)] == prefix {
					return nil, errConnCut
				}
				return nil, nil
			}
		}
	}
	refuseOnce := func(code statement.Code, state statement.State, prefix string) func(*testBed) {
		return func(b *testBed) {
			done := false
			b.targets[0].intercept = func(c *link.Command) (*link.Reply, error) {
				if done || len(c.Text) < len(prefix) || c.Text[:len(prefix)] != prefix {
					return nil, nil
				}
				done = true
				return &link.Reply{Code: code, State: state, Point: b.targets[0].point()}, nil
			}
		}
	}
	tests := []struct {
		name        string
		consistency topology.Consistency
		setup       func(*testBed)
		exchanges   []exchange
		wantCommits int
	}{
		{"reads go to the replica", topology.Bounded, nil, []exchange{{"READ a", "body by r, I"}}, 0},
		{"a write goes to the primary", topology.Strong, nil, []exchange{{"WRITE a 1", "body by p, I"}}, 1},
		{"a read after a write goes to a target that holds the write", topology.ReadYourWrites, nil, []exchange{{"WRITE a 1", "body by p, I"}, {"READ a", "body by p, I"}}, 1},
		{"a transaction stays on one target", topology.Strong, nil, []exchange{
			{"BEGIN", "complete, T"}, {"READ a", "body by p, T"}, {"WRITE a 1", "body by p, T"}, {"COMMIT", "body by p, I"},
		}, 1},
		{"a rolled back transaction commits nothing", topology.Strong, nil, []exchange{
			{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}, {"ROLLBACK", "complete, I"},
		}, 0},
		{"a read-only transaction goes to the replica", topology.Bounded, nil, []exchange{
			{"BEGIN READ", "complete, T"}, {"READ a", "body by r, T"}, {"COMMIT", "body by r, I"},
		}, 0},
		{"a write without a reply is unknown", topology.Strong, cutAt("WRITE"), []exchange{{"WRITE a 1", "unknown, I"}}, 0},
		{"a commit of writes without a reply is unknown", topology.Strong, cutAt("COMMIT"), []exchange{
			{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}, {"COMMIT", "unknown, I"},
		}, 0},
		{"a commit of reads without a reply is rejected", topology.Strong, cutAt("COMMIT"), []exchange{
			{"BEGIN", "complete, T"}, {"READ a", "body by p, T"}, {"COMMIT", "rejected, I"},
		}, 0},
		{"a transaction whose connection is lost before the commit is rolled back", topology.Strong, cutAt("WRITE"), []exchange{
			{"BEGIN", "complete, T"}, {"READ a", "body by p, T"}, {"WRITE a 1", "rejected, E"}, {"READ a", "malformed, E"}, {"ROLLBACK", "complete, I"},
		}, 0},
		{"a commit of a failed transaction rolls back", topology.Strong, cutAt("WRITE"), []exchange{
			{"BEGIN", "complete, T"}, {"WRITE a 1", "rejected, E"}, {"COMMIT", "rejected, I"},
		}, 0},
		{"a busy target is retried", topology.Strong, refuseOnce(statement.Busy, statement.Idle, "WRITE"), []exchange{{"WRITE a 1", "body by p, I"}}, 1},
		{"a busy target is retried inside a transaction", topology.Strong, refuseOnce(statement.Busy, statement.Open, "COMMIT"), []exchange{
			{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}, {"COMMIT", "body by p, I"},
		}, 1},
		{"a write that ran and failed is not repeated", topology.Strong, refuseOnce(statement.Failed, statement.Idle, "WRITE"), []exchange{{"WRITE a 1", "failed, I"}}, 0},
		{"a failed commit of writes is unknown", topology.Strong, refuseOnce(statement.Failed, statement.Idle, "COMMIT"), []exchange{
			{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}, {"COMMIT", "unknown, I"},
		}, 0},
		{"a failed statement rolls back its transaction", topology.Strong, refuseOnce(statement.Failed, statement.Aborted, "READ"), []exchange{
			{"BEGIN", "complete, T"}, {"READ a", "rejected, E"}, {"ROLLBACK", "complete, I"},
		}, 0},
		{"a primary demoted during a transaction commits nothing", topology.Strong, func(b *testBed) {
			b.targets[0].afterRun = func(c *link.Command) {
				if c.Text == "WRITE a 1" {
					b.targets[0].primary = false
				}
			}
		}, []exchange{{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}, {"COMMIT", "read-only, I"}}, 0},
		{"a write that ran while the primary was replaced is not acknowledged", topology.Strong, func(b *testBed) {
			b.targets[0].afterRun = func(c *link.Command) {
				if c.Text == "WRITE a 1" {
					b.targets[0].primary = false
				}
			}
		}, []exchange{{"WRITE a 1", "unknown, I"}}, 1},
		{"a commit that ran while the primary was replaced is not acknowledged", topology.Strong, func(b *testBed) {
			b.targets[0].afterRun = func(c *link.Command) {
				if c.Text == "COMMIT" {
					b.targets[0].primary = false
				}
			}
		}, []exchange{{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}, {"COMMIT", "unknown, I"}}, 1},
		{"a read goes to the primary if the replica is behind the floor", topology.Bounded, func(b *testBed) { b.targets[1].log = 3 }, []exchange{{"READ a", "body by p, I"}}, 0},
		{"prepared statements and values are in force on every connection", topology.Bounded, nil, []exchange{
			{"SET x 1", "complete, I"},
			{"PREPARE s READ q", "complete, I"},
			{"EXECUTE s a", "body by r, I"},
			{"DEALLOC s", "complete, I"},
			{"EXECUTE s a", "no-statement, I"},
		}, 0},
		{"a target that knows no name where none was sent", topology.Strong, refuseOnce(statement.NoStatement, statement.Idle, "WRITE"), []exchange{{"WRITE a 1", "no-statement, I"}, {"WRITE a 2", "body by p, I"}}, 1},
		{"a target that knows no name where none was sent, inside a transaction", topology.Strong, refuseOnce(statement.NoStatement, statement.Open, "WRITE"), []exchange{
			{"BEGIN", "complete, T"}, {"WRITE a 1", "rejected, E"}, {"ROLLBACK", "complete, I"},
		}, 0},
		{"commit outside a transaction", topology.Strong, nil, []exchange{{"COMMIT", "malformed, I"}}, 0},
		{"begin inside a transaction", topology.Strong, nil, []exchange{{"BEGIN", "complete, T"}, {"BEGIN", "malformed, E"}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBed(t, tt.consistency)
			if tt.setup != nil {
				tt.setup(b)
			}
			for _, x := range tt.exchanges {
				if got := b.exec(x.text); got != x.want {
					t.Errorf("%s: got %q, want %q", x.text, got, x.want)
				}
			}
			if got := b.targets[0].commits; got != tt.wantCommits {
				t.Errorf("got %d commits, want %d", got, tt.wantCommits)
			}
		})
	}
}

func TestSessionValuesAreIsolated(t *testing.T) {
	b := newTestBed(t, topology.Bounded)
	other := &session{server: b.session.server, wire: b.session.wire, database: "db"}
	first := b.session
	b.exec("SET x 1")
	b.exec("READ a")
	b.session = other
	b.exec("SET y 2")
	b.exec("READ a")
	b.session = first
	b.exec("SET x 3")
	b.exec("READ a")
	b.session = &session{server: first.server, wire: first.wire, database: "db"}
	b.exec("READ a")
	want := []string{"READ a map[x:1]", "READ a map[y:2]", "READ a map[x:3]", "READ a map[]"}
	got := b.targets[1].executed
	if len(got) != len(want) {
		t.Fatalf("got %q, want %q", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("got %q, want %q", got[i], want[i])
		}
	}
}

func TestNewerSampleOnlyIfPrimaryLags(t *testing.T) {
	tests := []struct {
		name string
		code statement.Code
		want bool
	}{
		{"replica lags and primary is busy", statement.Busy, false},
		{"replica and primary lag", statement.Lagging, true},
		{"replica lags and primary was demoted", statement.ReadOnly, true},
	}
	for _, tt := range tests {
		b := newTestBed(t, topology.Bounded)
		start := b.session.now()
		b.targets[1].intercept = func(c *link.Command) (*link.Reply, error) {
			return &link.Reply{Code: statement.Lagging, Point: b.targets[1].point()}, nil
		}
		refusals := 0
		b.targets[0].intercept = func(c *link.Command) (*link.Reply, error) {
			if refusals++; refusals > 1 {
				return nil, nil
			}
			return &link.Reply{Code: tt.code, Point: b.targets[0].point()}, nil
		}
		if got, want := b.exec("READ a"), "body by p, I"; got != want {
			t.Errorf("%s: got %q, want %q", tt.name, got, want)
		}
		newer := false
		for _, since := range b.sampleTimes {
			newer = newer || since >= start
		}
		if newer != tt.want {
			t.Errorf("%s: got newer sample requested %t, want %t", tt.name, newer, tt.want)
		}
	}
}

// Guards against the first statement of a transaction that reaches a leaving target past its drain limit, as it is repeated while the target
// is busy.
func TestBusyTargetIsLeftAtItsDrainLimit(t *testing.T) {
	b := newTestBed(t, topology.Bounded)
	replica, reads := b.targets[1], 0
	replica.intercept = func(c *link.Command) (*link.Reply, error) {
		if !strings.HasPrefix(c.Text, "READ") {
			return nil, nil
		}
		reads++
		replica.departed = reads == 2
		return &link.Reply{Code: statement.Busy, State: statement.Open, Point: replica.point()}, nil
	}
	b.exec("BEGIN READ")
	if got, want := b.exec("READ a"), "body by p, T"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if reads != 2 {
		t.Errorf("got %d statements at the leaving target, want 2", reads)
	}
	if got, want := b.exec("COMMIT"), "body by p, I"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestIsolatedDaemonEndsRefusedSessions(t *testing.T) {
	tests := []struct {
		name     string
		isolated bool
		refuse   bool
		text     string
		want     bool
	}{
		{"refused by an isolated daemon", true, true, "READ a", false},
		{"refused by another daemon", false, true, "READ a", true},
		{"served by an isolated daemon", true, false, "READ a", true},
		{"transaction begun at an isolated daemon", true, true, "BEGIN", true},
	}
	for _, tt := range tests {
		b := newTestBed(t, topology.Bounded)
		b.session.server.SetIsolated(tt.isolated)
		if tt.refuse {
			for _, f := range b.targets {
				f.intercept = func(*link.Command) (*link.Reply, error) {
					return &link.Reply{Code: statement.Busy, Point: f.point()}, nil
				}
			}
		}
		b.exec(tt.text)
		if got := b.session.setIdle(true); got != tt.want {
			t.Errorf("%s: got session continues %t, want %t", tt.name, got, tt.want)
		}
	}
}

func TestRefusedStartupIsReported(t *testing.T) {
	b := newTestBed(t, topology.Strong)
	b.session.wire.Startup = func(time.Time) (Startup, error) {
		return Startup{}, &statement.MessageError{Code: statement.Malformed, Reason: "control character", Fatal: true}
	}
	if b.session.start(t.Context()) {
		t.Error("got the session continued, want it ended")
	}
	if len(b.outcomes) != 1 || b.outcomes[0].Code != statement.Malformed || b.outcomes[0].Cause != "control character" {
		t.Errorf("got %+v reported, want the refusal", b.outcomes)
	}
}

// Guards against a reply that waits for memory while its statement still holds a slot of the target, which other callers need.
func TestReplyIsBufferedWithoutASlot(t *testing.T) {
	b := newTestBed(t, topology.Bounded)
	held := 0
	b.session.server.deps.Acquire = func(ctx context.Context, req *LeaseRequest) (*Lease, error) {
		l, err := b.acquire(ctx, req)
		if l != nil {
			held = 1
			l.ReleaseSlot = func() { held = 0 }
			l.AcquireSlot = func(context.Context, *LeaseRequest) (func(), error) {
				held = 1
				return func() { held = 0 }, nil
			}
		}
		return l, err
	}
	body := b.session.wire.Body
	b.session.wire.Body = func(p []byte) {
		if held != 0 {
			t.Errorf("got a slot held while the reply %q is buffered, want none", p)
		}
		body(p)
	}
	for _, text := range []string{"READ a", "BEGIN", "READ a", "WRITE a 1", "COMMIT"} {
		b.exec(text)
	}
}

// Guards against a strong read that misses a commit acknowledged before it, by a sample that was requested earlier within the millisecond
// of the read's arrival.
func TestStrongReadNeedsASampleOfALaterMillisecond(t *testing.T) {
	b := newTestBed(t, topology.Strong)
	b.exec("READ a")
	if got, arrived := b.sampleTimes, b.outcomes[0].Arrived; len(got) != 1 || got[0] <= arrived {
		t.Errorf("got samples from %v ms on accepted, want one that is later than the arrival, %d ms", got, arrived)
	}
	b.exec("BEGIN READ")
	arrived := b.session.tx.arrived
	b.sampleTimes = nil
	b.exec("READ a")
	if got := b.sampleTimes; len(got) != 1 || got[0] <= arrived {
		t.Errorf("in a transaction: got samples from %v ms on accepted, want one that is later than the BEGIN, %d ms", got, arrived)
	}
}
