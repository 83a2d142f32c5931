package relay

import (
	"testing"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/topology"
)

// exchange is a statement and what the caller is to be told.
type exchange struct{ text, want string }

func TestSessions(t *testing.T) {
	cutOn := func(word string) func(*bench) {
		return func(b *bench) {
			b.targets[0].on = func(c *link.Command) (*link.Reply, error) {
				if len(c.Text) >= len(word) && c.Text[:len(word)] == word {
					return nil, errCut
				}
				return nil, nil
			}
		}
	}
	once := func(code statement.Code, state statement.State, word string) func(*bench) {
		return func(b *bench) {
			done := false
			b.targets[0].on = func(c *link.Command) (*link.Reply, error) {
				if done || len(c.Text) < len(word) || c.Text[:len(word)] != word {
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
		fault       func(*bench)
		talk        []exchange
		wantCommits int
	}{
		{"reads go to the replica", topology.Bounded, nil, []exchange{{"READ a", "body by r, I"}}, 0},
		{"a write goes to the primary", topology.Strong, nil, []exchange{{"WRITE a 1", "body by p, I"}}, 1},
		{"a session reads its writes where they are", topology.ReadYourWrites, nil, []exchange{{"WRITE a 1", "body by p, I"}, {"READ a", "body by p, I"}}, 1},
		{"a transaction stays with one target", topology.Strong, nil, []exchange{
			{"BEGIN", "complete, T"}, {"READ a", "body by p, T"}, {"WRITE a 1", "body by p, T"}, {"COMMIT", "body by p, I"},
		}, 1},
		{"a rolled back transaction keeps nothing", topology.Strong, nil, []exchange{
			{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}, {"ROLLBACK", "complete, I"},
		}, 0},
		{"a reading transaction goes to the replica", topology.Bounded, nil, []exchange{
			{"BEGIN READ", "complete, T"}, {"READ a", "body by r, T"}, {"COMMIT", "body by r, I"},
		}, 0},
		{"a write without an answer is unknown", topology.Strong, cutOn("WRITE"), []exchange{{"WRITE a 1", "unknown, I"}}, 0},
		{"a commit of writes without an answer is unknown", topology.Strong, cutOn("COMMIT"), []exchange{
			{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}, {"COMMIT", "unknown, I"},
		}, 0},
		{"a commit of reads without an answer keeps nothing", topology.Strong, cutOn("COMMIT"), []exchange{
			{"BEGIN", "complete, T"}, {"READ a", "body by p, T"}, {"COMMIT", "rejected, I"},
		}, 0},
		{"a transaction that is lost before its commit keeps nothing", topology.Strong, cutOn("WRITE"), []exchange{
			{"BEGIN", "complete, T"}, {"READ a", "body by p, T"}, {"WRITE a 1", "rejected, E"}, {"READ a", "malformed, E"}, {"ROLLBACK", "complete, I"},
		}, 0},
		{"a commit of a failed transaction rolls back", topology.Strong, cutOn("WRITE"), []exchange{
			{"BEGIN", "complete, T"}, {"WRITE a 1", "rejected, E"}, {"COMMIT", "rejected, I"},
		}, 0},
		{"a busy target is asked again", topology.Strong, once(statement.Busy, statement.Idle, "WRITE"), []exchange{{"WRITE a 1", "body by p, I"}}, 1},
		{"a busy target is asked again inside a transaction", topology.Strong, once(statement.Busy, statement.Open, "COMMIT"), []exchange{
			{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}, {"COMMIT", "body by p, I"},
		}, 1},
		{"a write that ran and failed is not repeated", topology.Strong, once(statement.Failed, statement.Idle, "WRITE"), []exchange{{"WRITE a 1", "failed, I"}}, 0},
		{"a failed commit of writes is unknown", topology.Strong, once(statement.Failed, statement.Idle, "COMMIT"), []exchange{
			{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}, {"COMMIT", "unknown, I"},
		}, 0},
		{"a failed statement inside a transaction keeps nothing", topology.Strong, once(statement.Failed, statement.Aborted, "READ"), []exchange{
			{"BEGIN", "complete, T"}, {"READ a", "rejected, E"}, {"ROLLBACK", "complete, I"},
		}, 0},
		{"a lead lost during a transaction keeps nothing", topology.Strong, func(b *bench) {
			b.targets[0].after = func(c *link.Command) {
				if c.Text == "WRITE a 1" {
					b.targets[0].leads = false
				}
			}
		}, []exchange{{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}, {"COMMIT", "read-only, I"}}, 0},
		{"a write that a primary ran as it was replaced is not acknowledged", topology.Strong, func(b *bench) {
			b.targets[0].after = func(c *link.Command) {
				if c.Text == "WRITE a 1" {
					b.targets[0].leads = false
				}
			}
		}, []exchange{{"WRITE a 1", "unknown, I"}}, 1},
		{"a commit that a primary ran as it was replaced is not acknowledged", topology.Strong, func(b *bench) {
			b.targets[0].after = func(c *link.Command) {
				if c.Text == "COMMIT" {
					b.targets[0].leads = false
				}
			}
		}, []exchange{{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}, {"COMMIT", "unknown, I"}}, 1},
		{"a replica behind the floor is left for the primary", topology.Bounded, func(b *bench) { b.targets[1].log = 3 }, []exchange{{"READ a", "body by p, I"}}, 0},
		{"prepared statements and values are in force wherever they run", topology.Bounded, nil, []exchange{
			{"SET x 1", "complete, I"},
			{"PREPARE s READ q", "complete, I"},
			{"EXECUTE s a", "body by r, I"},
			{"DEALLOC s", "complete, I"},
			{"EXECUTE s a", "no-statement, I"},
		}, 0},
		{"commit outside a transaction", topology.Strong, nil, []exchange{{"COMMIT", "malformed, I"}}, 0},
		{"begin inside a transaction", topology.Strong, nil, []exchange{{"BEGIN", "complete, T"}, {"BEGIN", "malformed, E"}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, tt.consistency)
			if tt.fault != nil {
				tt.fault(b)
			}
			for _, x := range tt.talk {
				if got := b.ask(x.text); got != x.want {
					t.Errorf("%s: got %q, want %q", x.text, got, x.want)
				}
			}
			if got := b.targets[0].commits; got != tt.wantCommits {
				t.Errorf("got %d commits, want %d", got, tt.wantCommits)
			}
		})
	}
}

func TestValuesOfSessionsNeverMix(t *testing.T) {
	b := newBench(t, topology.Bounded)
	other := &session{server: b.session.server, wire: b.session.wire, database: "db"}
	first := b.session
	b.ask("SET x 1")
	b.ask("READ a")
	b.session = other
	b.ask("SET y 2")
	b.ask("READ a")
	b.session = first
	b.ask("SET x 3")
	b.ask("READ a")
	b.session = &session{server: first.server, wire: first.wire, database: "db"}
	b.ask("READ a")
	want := []string{"READ a map[x:1]", "READ a map[y:2]", "READ a map[x:3]", "READ a map[]"}
	got := b.targets[1].ran
	if len(got) != len(want) {
		t.Fatalf("got %q, want %q", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("got %q, want %q", got[i], want[i])
		}
	}
}

func TestOnlyAPrimaryThatLagsNeedsANewerSample(t *testing.T) {
	tests := []struct {
		name string
		code statement.Code
		want bool
	}{
		{"replica lags and primary is busy", statement.Busy, false},
		{"replica lags and so does the primary", statement.Lagging, true},
		{"replica lags and what led leads no more", statement.ReadOnly, true},
	}
	for _, tt := range tests {
		b := newBench(t, topology.Bounded)
		began := b.session.now()
		b.targets[1].on = func(c *link.Command) (*link.Reply, error) {
			return &link.Reply{Code: statement.Lagging, Point: b.targets[1].point()}, nil
		}
		refusals := 0
		b.targets[0].on = func(c *link.Command) (*link.Reply, error) {
			if refusals++; refusals > 1 {
				return nil, nil
			}
			return &link.Reply{Code: tt.code, Point: b.targets[0].point()}, nil
		}
		if got, want := b.ask("READ a"), "body by p, I"; got != want {
			t.Errorf("%s: got %q, want %q", tt.name, got, want)
		}
		newer := false
		for _, since := range b.sampled {
			newer = newer || since >= began
		}
		if newer != tt.want {
			t.Errorf("%s: got a newer sample %t, want %t", tt.name, newer, tt.want)
		}
	}
}

func TestDaemonThatIsAwayKeepsNoSessionThatItRefuses(t *testing.T) {
	tests := []struct {
		name   string
		away   bool
		refuse bool
		talk   string
		want   bool
	}{
		{"refused by a daemon that is away", true, true, "READ a", false},
		{"refused by another", false, true, "READ a", true},
		{"served by a daemon that is away", true, false, "READ a", true},
		{"transaction begun at a daemon that is away", true, true, "BEGIN", true},
	}
	for _, tt := range tests {
		b := newBench(t, topology.Bounded)
		b.session.server.SetAway(tt.away)
		if tt.refuse {
			for _, f := range b.targets {
				f.on = func(*link.Command) (*link.Reply, error) {
					return &link.Reply{Code: statement.Busy, Point: f.point()}, nil
				}
			}
		}
		b.ask(tt.talk)
		if got := b.session.rest(true); got != tt.want {
			t.Errorf("%s: got the session go on %t, want %t", tt.name, got, tt.want)
		}
	}
}
