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
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// newHome returns a home that is a session of another test bed, and that test bed.
func newHome(b *testBed, id group.DaemonID) (*Home, *testBed) {
	home := newTestBed(b.t, b.route.Consistency)
	var replies []link.Reply
	conn, _ := net.Pipe()
	return &Home{ID: id, TCP: conn, Wire: link.Wire{
		Send: func(_ time.Time, c ...link.Command) error {
			for i := range c {
				var r link.Reply
				home.session.wire = replyWire(&r)
				home.floor = c[i].Floor
				home.exec(c[i].Text)
				replies = append(replies, r)
			}
			return nil
		},
		Receive: func(time.Time) (link.Reply, error) {
			r := replies[0]
			replies = replies[1:]
			return r, nil
		},
		Close:    func() error { return nil },
		Buffered: func() bool { return false },
	}}, home
}

// setHome makes the daemon with that id serve the sessions of the test bed. The sessions find it as h.
func (b *testBed) setHome(id group.DaemonID, h *Home) {
	s := &b.session.server.deps
	s.Serves = func(_ *topology.Route, _ *workspace.Workspace, d group.DaemonID) bool { return d == id }
	s.Home = func(context.Context, *topology.Route, *workspace.Workspace) *Home { return h }
	b.session.nextHomeCheck = 0
}

func TestSessionMovesToCurrentHome(t *testing.T) {
	b := newTestBed(t, topology.ReadYourWrites)
	b.exec("SET x 1")
	b.exec("PREPARE s READ q")
	b.exec("WRITE a 1")
	localBefore := len(b.targets[0].executed)
	h, homeBed := newHome(b, "home")
	for _, f := range homeBed.targets {
		f.log = 30
	}
	b.setHome("home", h)
	if got, want := b.exec("EXECUTE s a"), "body by r, I"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := homeBed.targets[1].executed, []string{"READ q a map[x:1]"}; !slices.Equal(got, want) {
		t.Errorf("got %q at the home daemon, want %q", got, want)
	}
	if got := len(b.targets[0].executed); got != localBefore {
		t.Errorf("got %d more statements run locally, want none", got-localBefore)
	}
	if got, want := homeBed.session.lastCommit["g"], b.session.lastCommit["g"]; got != want || got == (position.Point{}) {
		t.Errorf("got floor %v at the home daemon, want the point of the session's write, %v", got, want)
	}
	// Another daemon becomes the home.
	secondHome, secondBed := newHome(b, "other")
	for _, f := range secondBed.targets {
		f.log = 30
	}
	b.setHome("other", secondHome)
	if got, want := b.exec("READ a"), "body by r, I"; got != want || len(secondBed.targets[1].executed) != 1 {
		t.Errorf("got %q and %q at the next home daemon, want %q there", got, secondBed.targets[1].executed, want)
	}
	// This daemon becomes the home.
	b.setHome("", nil)
	b.targets[1].log = 30
	if got, want := b.exec("READ a"), "body by r, I"; got != want || b.session.home != nil {
		t.Errorf("got %q with home %v, want %q locally", got, b.session.home, want)
	}
}

func TestSessionDoesNotMove(t *testing.T) {
	tests := []struct {
		name string
		// before runs while this daemon serves the session, and afterHome runs once another daemon should serve it.
		before, afterHome func(b *testBed)
	}{
		{"in a transaction", func(b *testBed) { b.exec("BEGIN") }, nil},
		{"the last check was just now", nil, func(b *testBed) { b.session.nextHomeCheck = b.session.now() + clock.Second }},
		{"no home daemon is available", nil, func(b *testBed) { b.setHome("home", nil) }},
		{"the session was forwarded", nil, func(b *testBed) { b.session.forwarded = true }},
		{"the home daemon refuses the setup", func(b *testBed) { b.exec("SET x 1") }, func(b *testBed) {
			h, homeBed := newHome(b, "home")
			for i := range maxSetupEntries {
				homeBed.session.values.Set(string(rune('a'+i)), "1")
			}
			b.setHome("home", h)
		}},
	}
	for _, tt := range tests {
		b := newTestBed(t, topology.Bounded)
		if tt.before != nil {
			tt.before(b)
		}
		h, homeBed := newHome(b, "home")
		b.setHome("home", h)
		if tt.afterHome != nil {
			tt.afterHome(b)
		}
		b.exec("READ a")
		if b.session.home != nil || len(homeBed.targets[1].executed) != 0 {
			t.Errorf("%s: got a move to the home daemon, want the session to stay", tt.name)
		}
	}
}

func TestClosedHomeIsNotUsed(t *testing.T) {
	b := newTestBed(t, topology.Bounded)
	attachHome(b)
	_ = b.session.home.TCP.Close()
	b.session.home.Wire.Buffered = func() bool { return true }
	if got, want := b.exec("READ a"), "body by r, I"; got != want || b.homesLost != 1 || b.session.home != nil {
		t.Errorf("got %q, %d homes lost, home %v, want %q, 1 and none", got, b.homesLost, b.session.home, want)
	}
}
