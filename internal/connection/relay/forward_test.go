package relay

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
)

// withHome gives the session a home that is another bench's session, until lose is called.
func withHome(b *bench) (lose func()) {
	home := newBench(b.t, b.route.Consistency)
	lost := false
	near, _ := net.Pipe()
	var reply link.Reply
	home.session.wire = replyWire(&reply)
	b.session.home = &Home{ID: "home", TCP: near, Wire: link.Wire{
		Send: func(_ time.Time, c ...link.Command) error {
			reply = link.Reply{}
			if !lost {
				home.ask(c[0].Text)
			}
			return nil
		},
		Receive: func(time.Time) (link.Reply, error) {
			if lost {
				return link.Reply{}, errCut
			}
			return reply, nil
		},
		Close:   func() error { return nil },
		Pending: func() bool { return false },
	}}
	return func() { lost = true }
}

func TestForwardedSessions(t *testing.T) {
	tests := []struct {
		name   string
		before []exchange
		lost   []exchange
	}{
		{
			"a read is rejected and the next one is served here",
			[]exchange{{"SET x 1", "complete, I"}, {"READ a", "body by r, I"}},
			[]exchange{{"READ a", "rejected, I"}, {"READ a", "body by r, I"}},
		},
		{"a write is unknown", []exchange{{"WRITE a 1", "body by p, I"}}, []exchange{{"WRITE a 2", "unknown, I"}, {"WRITE a 3", "body by p, I"}}},
		{"a prepared write is unknown", []exchange{{"PREPARE s WRITE q", "complete, I"}}, []exchange{{"EXECUTE s a 1", "unknown, I"}}},
		{
			"a transaction keeps nothing",
			[]exchange{{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}},
			[]exchange{{"READ a", "rejected, E"}, {"READ a", "malformed, E"}, {"ROLLBACK", "complete, I"}, {"READ a", "body by r, I"}},
		},
		{
			"a commit of writes is unknown",
			[]exchange{{"BEGIN", "complete, T"}, {"WRITE a 1", "body by p, T"}},
			[]exchange{{"COMMIT", "unknown, I"}},
		},
		{
			"a commit of reads keeps nothing",
			[]exchange{{"BEGIN", "complete, T"}, {"READ a", "body by p, T"}},
			[]exchange{{"COMMIT", "rejected, I"}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, topology.Bounded)
			lose := withHome(b)
			for _, x := range tt.before {
				if got := b.ask(x.text); got != x.want {
					t.Errorf("%s: got %q, want %q", x.text, got, x.want)
				}
			}
			if ran := len(b.targets[0].ran) + len(b.targets[1].ran); ran != 0 {
				t.Errorf("got %d statements run here, want them at the home", ran)
			}
			lose()
			for _, x := range tt.lost {
				if got := b.ask(x.text); got != x.want {
					t.Errorf("%s: got %q, want %q", x.text, got, x.want)
				}
			}
			if b.homesLost != 1 {
				t.Errorf("got %d homes lost, want 1", b.homesLost)
			}
		})
	}
}

func TestSessionKeepsItsValuesWithoutItsHome(t *testing.T) {
	b := newBench(t, topology.Bounded)
	lose := withHome(b)
	b.ask("SET x 1")
	b.ask("PREPARE s READ q")
	lose()
	b.ask("READ a")
	if got, want := b.ask("EXECUTE s a"), "body by r, I"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := b.targets[1].ran[0], "READ q a map[x:1]"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestForwardedSessionGoesNoFurther(t *testing.T) {
	b := newBench(t, topology.Bounded)
	asked := 0
	b.session.server.seams.Home = func(context.Context, group.ID, topology.Database) *Home { asked++; return nil }
	b.session.local = true
	b.session.wire.Startup = func(time.Time) (topology.Database, error) { return "db", nil }
	if !b.session.startUp(t.Context()) || asked != 0 {
		t.Errorf("got a home asked for %d times, want never", asked)
	}
}

func TestOnlyAnswersThatNeedATargetTellOfTheGroup(t *testing.T) {
	b := newBench(t, topology.Strong)
	withHome(b)
	for _, text := range []string{"SET x 1", "PREPARE s READ q", "BEGIN", "ROLLBACK", "DEALLOC s"} {
		b.ask(text)
	}
	if len(b.homeSaid) != 0 {
		t.Errorf("got %v told of the group, want nothing by what the home answers itself", b.homeSaid)
	}
	b.ask("READ a")
	if want := []bool{false}; !slices.Equal(b.homeSaid, want) {
		t.Errorf("got %v, want %v", b.homeSaid, want)
	}
}
