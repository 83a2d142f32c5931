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
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// homeOf returns a home that is another bench's session, and that bench.
func homeOf(b *bench, id group.DaemonID) (*Home, *bench) {
	at := newBench(b.t, b.route.Consistency)
	var replies []link.Reply
	near, _ := net.Pipe()
	return &Home{ID: id, TCP: near, Wire: link.Wire{
		Send: func(_ time.Time, c ...link.Command) error {
			for i := range c {
				var r link.Reply
				at.session.wire = replyWire(&r)
				at.floor = c[i].Floor
				at.ask(c[i].Text)
				replies = append(replies, r)
			}
			return nil
		},
		Receive: func(time.Time) (link.Reply, error) {
			r := replies[0]
			replies = replies[1:]
			return r, nil
		},
		Close:   func() error { return nil },
		Pending: func() bool { return false },
	}}, at
}

// servedBy lets the sessions of the bench be served by the daemon with that id, which opens as h.
func (b *bench) servedBy(id group.DaemonID, h *Home) {
	s := &b.session.server.seams
	s.Serves = func(_ group.ID, d group.DaemonID) bool { return d == id }
	s.Home = func(context.Context, group.ID, topology.Database) *Home { return h }
	b.session.seekAt = 0
}

func TestSessionGoesBackToItsHome(t *testing.T) {
	b := newBench(t, topology.ReadYourWrites)
	b.ask("SET x 1")
	b.ask("PREPARE s READ q")
	b.ask("WRITE a 1")
	here := len(b.targets[0].ran)
	h, at := homeOf(b, "home")
	for _, f := range at.targets {
		f.log = 30
	}
	b.servedBy("home", h)
	if got, want := b.ask("EXECUTE s a"), "body by r, I"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := at.targets[1].ran, []string{"READ q a map[x:1]"}; !slices.Equal(got, want) {
		t.Errorf("got %q at the home, want %q", got, want)
	}
	if got := len(b.targets[0].ran); got != here {
		t.Errorf("got %d statements more here, want none", got-here)
	}
	if got, want := at.session.written["g"], b.session.written["g"]; got != want || got == (position.Point{}) {
		t.Errorf("got floor %v at the home, want that of the session's write, %v", got, want)
	}
	// Another daemon is the home by now.
	other, there := homeOf(b, "other")
	for _, f := range there.targets {
		f.log = 30
	}
	b.servedBy("other", other)
	if got, want := b.ask("READ a"), "body by r, I"; got != want || len(there.targets[1].ran) != 1 {
		t.Errorf("got %q and %q at the next home, want %q there", got, there.targets[1].ran, want)
	}
	// And now this one.
	b.servedBy("", nil)
	b.targets[1].log = 30
	if got, want := b.ask("READ a"), "body by r, I"; got != want || b.session.home != nil {
		t.Errorf("got %q, home %v, want %q here", got, b.session.home, want)
	}
}

func TestSessionStaysWhereItIs(t *testing.T) {
	tests := []struct {
		name string
		// before happens while the daemon serves the session itself, and then behind that.
		before, then func(b *bench)
	}{
		{"in a transaction", func(b *bench) { b.ask("BEGIN") }, nil},
		{"it has just looked", nil, func(b *bench) { b.session.seekAt = b.session.now() + clock.Second }},
		{"no home is found", nil, func(b *bench) { b.servedBy("home", nil) }},
		{"it was forwarded", nil, func(b *bench) { b.session.local = true }},
		{"the home takes no more names", func(b *bench) { b.ask("SET x 1") }, func(b *bench) {
			h, at := homeOf(b, "home")
			for i := range maxNames {
				at.session.values.Set(string(rune('a'+i)), "1")
			}
			b.servedBy("home", h)
		}},
	}
	for _, tt := range tests {
		b := newBench(t, topology.Bounded)
		if tt.before != nil {
			tt.before(b)
		}
		h, at := homeOf(b, "home")
		b.servedBy("home", h)
		if tt.then != nil {
			tt.then(b)
		}
		b.ask("READ a")
		if b.session.home != nil || len(at.targets[1].ran) != 0 {
			t.Errorf("%s: got a home, want the session to stay", tt.name)
		}
	}
}

func TestAHomeThatHasLeftIsNotAskedAgain(t *testing.T) {
	b := newBench(t, topology.Bounded)
	withHome(b)
	_ = b.session.home.TCP.Close()
	b.session.home.Wire.Pending = func() bool { return true }
	if got, want := b.ask("READ a"), "body by r, I"; got != want || b.homesLost != 1 || b.session.home != nil {
		t.Errorf("got %q, %d homes lost, home %v, want %q, 1 and none", got, b.homesLost, b.session.home, want)
	}
}
