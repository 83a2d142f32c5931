package relay

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/topology"
)

// refuseKind makes the primary answer the first n commands of a kind with a code, or leave them without a reply if the code is OK.
func (b *testBed) refuseKind(kind link.Kind, n int, code statement.Code) {
	for _, f := range b.targets {
		left := n
		f.intercept = func(c *link.Command) (*link.Reply, error) {
			if c.Kind != kind || left == 0 {
				return nil, nil
			}
			left--
			if code == statement.OK {
				return nil, os.ErrDeadlineExceeded
			}
			return &link.Reply{Code: code, Point: f.point()}, nil
		}
	}
}

// notRun replaces the codes that promise that nothing has run. Which of them a caller receives depends on when the deadline passes.
var notRun = strings.NewReplacer("busy", "not run", "lagging", "not run")

// Guards against a statement that runs although the target refused the session's values or its prepared statement: a write would run
// again when it is retried, and any statement would run with the values of another session.
func TestNothingRunsBehindRefusedSetup(t *testing.T) {
	const always = 1 << 20
	single := []exchange{{"SET x 1", "complete, I"}, {"PREPARE s WRITE", "complete, I"}}
	inTransaction := []exchange{{"BEGIN", "complete, T"}, {"WRITE a 0", "body by p, T"}, {"SET x 1", "complete, T"}, {"PREPARE s WRITE", "complete, T"}}
	tests := []struct {
		name        string
		kind        link.Kind
		refusals    int
		code        statement.Code
		exchanges   []exchange
		want        []string
		wantCommits int
	}{
		{"write behind a failed SET", link.Set, 1, statement.Failed, append(single, exchange{"WRITE a 1", "body by p, I"}), []string{"WRITE a 1 map[x:1]"}, 1},
		{"write behind several failed SETs", link.Set, 5, statement.Failed, append(single, exchange{"WRITE a 1", "body by p, I"}), []string{"WRITE a 1 map[x:1]"}, 1},
		{"write behind a SET without a reply", link.Set, 1, statement.OK, append(single, exchange{"WRITE a 1", "body by p, I"}), []string{"WRITE a 1 map[x:1]"}, 1},
		{"write behind SETs that all fail", link.Set, always, statement.Failed, append(single, exchange{"WRITE a 1", "not run, I"}), nil, 0},
		{"write behind SETs without a reply", link.Set, always, statement.OK, append(single, exchange{"WRITE a 1", "not run, I"}), nil, 0},
		{"read behind a failed SET", link.Set, 1, statement.Failed, append(single, exchange{"READ a", "body by p, I"}), []string{"READ a map[x:1]"}, 0},
		{"execute behind a failed PREPARE", link.Prepare, 1, statement.Failed, append(single, exchange{"EXECUTE s a 1", "body by p, I"}), []string{"WRITE a 1 map[x:1]"}, 1},
		{"execute behind PREPAREs that all fail", link.Prepare, always, statement.Failed, append(single, exchange{"EXECUTE s a 1", "not run, I"}), nil, 0},
		{"begin behind a failed SET", link.Set, 1, statement.Failed, append(single,
			exchange{"BEGIN", "complete, T"}, exchange{"WRITE a 1", "body by p, T"}, exchange{"COMMIT", "body by p, I"},
		), []string{"WRITE a 1 map[x:1]", "COMMIT map[x:1]"}, 1},
		{"begin behind SETs that all fail", link.Set, always, statement.Failed, append(single,
			exchange{"BEGIN", "complete, T"}, exchange{"WRITE a 1", "not run, E"}, exchange{"ROLLBACK", "complete, I"},
		), nil, 0},
		{"write of a transaction behind a failed SET", link.Set, 1, statement.Failed, append(inTransaction,
			exchange{"WRITE a 1", "rejected, E"}, exchange{"ROLLBACK", "complete, I"},
		), []string{"WRITE a 0 map[]"}, 0},
		{"execute of a transaction behind a failed PREPARE", link.Prepare, 1, statement.Failed, append(inTransaction,
			exchange{"EXECUTE s a 1", "rejected, E"}, exchange{"ROLLBACK", "complete, I"},
		), []string{"WRITE a 0 map[]"}, 0},
		{"commit behind a failed SET", link.Set, 1, statement.Failed, append(inTransaction, exchange{"COMMIT", "rejected, I"}), []string{"WRITE a 0 map[]"}, 0},
		{"commit behind a SET without a reply", link.Set, 1, statement.OK, append(inTransaction, exchange{"COMMIT", "rejected, I"}), []string{"WRITE a 0 map[]"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBed(t, topology.Strong)
			b.targets = b.targets[:1]
			b.refuseKind(tt.kind, tt.refusals, tt.code)
			for _, x := range tt.exchanges {
				if got := notRun.Replace(b.exec(x.text)); got != x.want {
					t.Errorf("%s: got %q, want %q", x.text, got, x.want)
				}
			}
			if got := b.targets[0].executed; !slices.Equal(got, tt.want) {
				t.Errorf("got %q executed, want %q", got, tt.want)
			}
			if got := b.targets[0].commits; got != tt.wantCommits {
				t.Errorf("got %d commits, want %d", got, tt.wantCommits)
			}
		})
	}
}

// Guards against values of one session that stay in force for the next one after the target has refused a part of a setup.
func TestRefusedSetupLeavesNoValuesBehind(t *testing.T) {
	b := newTestBed(t, topology.Strong)
	b.targets = b.targets[:1]
	f := b.targets[0]
	f.intercept = func(c *link.Command) (*link.Reply, error) {
		if c.Kind == link.Set && c.Name == "y" {
			return &link.Reply{Code: statement.Failed, Point: f.point()}, nil
		}
		return nil, nil
	}
	other := &session{server: b.session.server, wire: b.session.wire, database: "db"}
	b.exec("SET x 1")
	b.exec("SET y 2")
	if got, want := notRun.Replace(b.exec("WRITE a 1")), "not run, I"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	b.session = other
	if got, want := b.exec("WRITE a 2"), "body by p, I"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := f.executed, []string{"WRITE a 2 map[]"}; !slices.Equal(got, want) {
		t.Errorf("got %q executed, want %q", got, want)
	}
}
