package relay

import (
	"context"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
)

// attachHome makes a session of another test bed the home of the session. After disconnect is called, the home does not
// answer.
func attachHome(b *testBed) (disconnect func()) {
	home := newTestBed(b.t, b.route.Consistency)
	lost := false
	conn, _ := net.Pipe()
	var reply link.Reply
	home.session.wire = replyWire(&reply)
	b.session.home = &Home{ID: "home", TCP: conn, Wire: link.Wire{
		Send: func(_ time.Time, c ...link.Command) error {
			reply = link.Reply{}
			if !lost {
				home.exec(c[0].Text)
			}
			return nil
		},
		Receive: func(time.Time) (link.Reply, error) {
			if lost {
				return link.Reply{}, errConnCut
			}
			return reply, nil
		},
		Close:    func() error { return nil },
		Buffered: func() bool { return false },
	}}
	return func() { lost = true }
}

func TestForwardedSessions(t *testing.T) {
	tests := []struct {
		name      string
		before    []exchange
		afterLoss []exchange
	}{
		{
			"a read is rejected and the next one is served locally",
			[]exchange{{"SET x 1", "complete, I"}, {"READ a", "body by r, I"}},
			[]exchange{{"READ a", "rejected, I"}, {"READ a", "body by r, I"}},
		},
		{"a write is unknown", []exchange{{"WRITE a 1", "body by p, I"}}, []exchange{{"WRITE a 2", "unknown, I"}, {"WRITE a 3", "body by p, I"}}},
		{"a prepared write is unknown", []exchange{{"PREPARE s WRITE q", "complete, I"}}, []exchange{{"EXECUTE s a 1", "unknown, I"}}},
		{
			"a transaction is rolled back",
			[]exchange{{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}},
			[]exchange{{"READ a", "rejected, E"}, {"READ a", "malformed, E"}, {"ROLLBACK", "complete, I"}, {"READ a", "body by r, I"}},
		},
		{
			"a commit of writes is unknown",
			[]exchange{{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}},
			[]exchange{{"COMMIT", "unknown, I"}},
		},
		{
			"a commit of reads is rejected",
			[]exchange{{"BEGIN", "complete, T"}, {"READ a", "body by p, T"}},
			[]exchange{{"COMMIT", "rejected, I"}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBed(t, topology.Bounded)
			disconnect := attachHome(b)
			for _, x := range tt.before {
				if got := b.exec(x.text); got != x.want {
					t.Errorf("%s: got %q, want %q", x.text, got, x.want)
				}
			}
			if executed := len(b.targets[0].executed) + len(b.targets[1].executed); executed != 0 {
				t.Errorf("got %d statements run locally, want all at the home daemon", executed)
			}
			disconnect()
			for _, x := range tt.afterLoss {
				if got := b.exec(x.text); got != x.want {
					t.Errorf("%s: got %q, want %q", x.text, got, x.want)
				}
			}
			if b.homesLost != 1 {
				t.Errorf("got %d homes lost, want 1", b.homesLost)
			}
		})
	}
}

func TestSessionKeepsSetupAfterHomeIsLost(t *testing.T) {
	b := newTestBed(t, topology.Bounded)
	disconnect := attachHome(b)
	b.exec("SET x 1")
	b.exec("PREPARE s READ q")
	disconnect()
	b.exec("READ a")
	if got, want := b.exec("EXECUTE s a"), "body by r, I"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := b.targets[1].executed[0], "READ q a map[x:1]"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestForwardedSessionIsNotForwardedAgain(t *testing.T) {
	b := newTestBed(t, topology.Bounded)
	homeCalls := 0
	b.session.server.deps.Home = func(context.Context, *topology.Route, *workspace.Workspace) *Home {
		homeCalls++
		return nil
	}
	b.session.forwarded = true
	b.session.wire.Startup = func(time.Time) (Startup, error) { return Startup{Database: "db"}, nil }
	if !b.session.start(t.Context()) || homeCalls != 0 {
		t.Errorf("got %d calls of Home, want none", homeCalls)
	}
}

func TestHomeRepliedOnlyForTargetReplies(t *testing.T) {
	b := newTestBed(t, topology.Strong)
	attachHome(b)
	for _, text := range []string{"SET x 1", "PREPARE s READ q", "BEGIN", "ROLLBACK", "DEALLOC s"} {
		b.exec(text)
	}
	if len(b.homeRefusals) != 0 {
		t.Errorf("got recorded home replies %v, want none for statements that need no target", b.homeRefusals)
	}
	b.exec("READ a")
	if want := []bool{false}; !slices.Equal(b.homeRefusals, want) {
		t.Errorf("got recorded home replies %v, want %v", b.homeRefusals, want)
	}
}

// Guards against a transaction that a home daemon commits although its caller was told that it has failed.
func TestMalformedMessageEndsTheTransactionOfTheHome(t *testing.T) {
	tests := []struct {
		name      string
		exchanges []exchange
	}{
		{"commit", []exchange{{"COMMIT", "rejected, I"}}},
		{"rollback", []exchange{{"ROLLBACK", "complete, I"}}},
		{"another statement, then commit", []exchange{{"WRITE a 2", "malformed, E"}, {"COMMIT", "rejected, I"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBed(t, topology.Strong)
			attachHome(b)
			closed := 0
			b.session.home.Wire.Close = func() error { closed++; return nil }
			b.exec("BEGIN")
			b.exec("WRITE a 1")
			b.replies = nil
			if !b.session.handleMessageError(&statement.MessageError{ID: "m", Code: statement.Malformed}) {
				t.Fatal("got the session ended, want it to continue")
			}
			if got, want := strings.Join(b.replies, ", "), "malformed, E"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if closed != 1 {
				t.Errorf("got %d connections to the home closed, want 1, which rolls back there", closed)
			}
			for _, x := range tt.exchanges {
				if got := b.exec(x.text); got != x.want {
					t.Errorf("%s: got %q, want %q", x.text, got, x.want)
				}
			}
			if got, want := b.outcomes[2].Code, statement.Malformed; got != want || b.outcomes[2].ID != "m" {
				t.Errorf("got %+v reported, want %v for m", b.outcomes[2], want)
			}
		})
	}
}

// Guards against a statement that begins at the home daemon although this daemon stops before its reply can arrive.
func TestLateStatementsAreRefused(t *testing.T) {
	tests := []struct {
		name      string
		forwarded bool
		before    []exchange
		late      []exchange
	}{
		{"transaction at the home daemon", true, []exchange{{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}}, []exchange{{"READ a", "rejected, E"}, {"ROLLBACK", "complete, I"}}},
		{"commit at the home daemon", true, []exchange{{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}}, []exchange{{"COMMIT", "rejected, I"}}},
		{"transaction", false, []exchange{{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}}, []exchange{{"WRITE a 2", "rejected, E"}, {"COMMIT", "rejected, I"}}},
		{"transaction without a statement", false, []exchange{{"BEGIN", "complete, T"}}, []exchange{{"READ a", "rejected, E"}, {"ROLLBACK", "complete, I"}}},
		{"rollback", false, []exchange{{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}}, []exchange{{"ROLLBACK", "complete, I"}}},
		{"statement outside a transaction", false, nil, []exchange{{"READ a", "body by p, I"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBed(t, topology.Strong)
			b.targets = b.targets[:1]
			homeClosed := false
			if tt.forwarded {
				attachHome(b)
				b.session.home.Wire.Close = func() error { homeClosed = true; return nil }
			}
			for _, x := range tt.before {
				if got := b.exec(x.text); got != x.want {
					t.Errorf("%s: got %q, want %q", x.text, got, x.want)
				}
			}
			now := b.session.now()
			b.session.server.SetStop(Stop{TransactionsUntil: now, AnswerBy: now + b.route.Timeout - 1})
			for _, x := range tt.late {
				if got := b.exec(x.text); got != x.want {
					t.Errorf("%s: got %q, want %q", x.text, got, x.want)
				}
			}
			if homeClosed != tt.forwarded {
				t.Errorf("got connection to the home closed %t, want %t", homeClosed, tt.forwarded)
			}
			if got := b.targets[0].commits; got != 0 {
				t.Errorf("got %d commits, want 0", got)
			}
		})
	}
}
