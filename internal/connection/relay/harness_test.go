package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// fakeTarget is a target in memory: it has a role, a log and the state of each connection.
type fakeTarget struct {
	id    group.TargetID
	leads bool
	term  position.Term
	log   position.Position
	// ran are the caller's statements that were run, with the values and shapes in force.
	ran []string
	// commits counts what was kept.
	commits int
	// on is called before a command runs and may answer in its place, or lose the answer.
	on func(c *link.Command) (*link.Reply, error)
	// after is called once a command has run and before its answer goes out.
	after func(c *link.Command)
}

func (f *fakeTarget) point() position.Point { return position.Point{Term: f.term, Position: f.log} }

// fakeConn is one connection to a fakeTarget.
type fakeConn struct {
	t       *fakeTarget
	state   statement.State
	plain   bool
	wrote   bool
	values  map[string]string
	shapes  map[string]string
	answers []answer
}

type answer struct {
	r   link.Reply
	err error
}

func (f *fakeTarget) wire() link.Wire {
	c := &fakeConn{t: f, values: map[string]string{}, shapes: map[string]string{}}
	return link.Wire{
		Startup: func(group.ID, group.TargetID, time.Time) (link.Reply, error) { return link.Reply{}, nil },
		Send: func(_ time.Time, commands ...link.Command) error {
			for i := range commands {
				c.take(&commands[i])
			}
			return nil
		},
		Receive: c.receive,
		Close:   func() error { c.answers = nil; return nil },
		Pending: func() bool { return false },
	}
}

func (c *fakeConn) receive(time.Time) (link.Reply, error) {
	if len(c.answers) == 0 {
		return link.Reply{}, os.ErrDeadlineExceeded
	}
	a := c.answers[0]
	c.answers = c.answers[1:]
	return a.r, a.err
}

func (c *fakeConn) take(cmd *link.Command) {
	if c.t.on != nil {
		if r, err := c.t.on(cmd); r != nil || err != nil {
			if r == nil {
				r = &link.Reply{}
			}
			c.answers = append(c.answers, answer{*r, err})
			return
		}
	}
	r := c.run(cmd)
	if c.t.after != nil {
		c.t.after(cmd)
	}
	if r.Point == (position.Point{}) {
		r.Point = c.t.point()
	}
	r.State = c.state
	c.answers = append(c.answers, answer{r: r})
}

func refuse(code statement.Code) link.Reply { return link.Reply{Code: code, Text: "fake"} }

func ok(body string) link.Reply { return link.Reply{Completed: true, Body: []byte(body)} }

func (c *fakeConn) run(cmd *link.Command) link.Reply {
	if c.t.point().Before(cmd.Floor) {
		return refuse(statement.Lagging)
	}
	text := cmd.Text
	switch cmd.Kind {
	case link.Begin:
		text = "BEGIN"
	case link.BeginRead:
		text = "BEGIN READ"
	case link.Rollback:
		text = "ROLLBACK"
	case link.Reset:
		clear(c.values)
		clear(c.shapes)
		return ok("")
	case link.Set:
		c.values[cmd.Name] = cmd.Text
		return ok("")
	case link.Prepare:
		c.shapes[cmd.Name] = cmd.Text
		return ok("")
	case link.Execute:
		shape, known := c.shapes[cmd.Name]
		if !known {
			return refuse(statement.NoStatement)
		}
		text = shape + " " + cmd.Text
	}
	return c.runText(text)
}

func (c *fakeConn) runText(text string) link.Reply {
	word, _, _ := strings.Cut(text, " ")
	switch {
	case text == "BEGIN" && !c.t.leads, word == "WRITE" && !c.t.leads, c.plain && c.state == statement.Open && !c.t.leads:
		return refuse(statement.ReadOnly)
	case word == "BEGIN":
		c.state, c.plain, c.wrote = statement.Open, text == "BEGIN", false
		return ok("")
	case word == "ROLLBACK":
		c.state = statement.Idle
		return ok("")
	}
	c.t.ran = append(c.t.ran, fmt.Sprintf("%s %v", text, c.values))
	if word == "COMMIT" && c.wrote || word == "WRITE" && c.state == statement.Idle {
		c.t.log++
		c.t.commits++
	}
	c.wrote = word == "WRITE" || c.wrote
	if word == "COMMIT" {
		c.state = statement.Idle
	}
	return ok("by " + string(c.t.id))
}

// bench is a session before fake targets, whose first is the primary that the daemon believes in.
type bench struct {
	t       *testing.T
	targets []*fakeTarget
	pools   map[group.TargetID]*link.Pool
	session *session
	route   *topology.Route
	// said is what the caller was told last.
	said     []string
	outcomes []Outcome
	// sampled are the times since when samples were asked for.
	sampled []clock.Millis
	lost    []error
	// floor is that of the next statement.
	floor position.Point
	// homeSaid tells for each answer of the home that counts whether it refused.
	homeSaid []bool
	// homesLost counts the homes that did not answer.
	homesLost int
}

func newBench(t *testing.T, consistency topology.Consistency) *bench {
	b := &bench{
		t:       t,
		targets: []*fakeTarget{{id: "p", leads: true, term: 1, log: 10}, {id: "r", term: 1, log: 10}},
		pools:   map[group.TargetID]*link.Pool{},
		route: &topology.Route{
			Name: "route", Database: "db", Group: "g", Consistency: consistency,
			Staleness: 1000, Timeout: 200, Objective: 100,
		},
	}
	clk := clock.System()
	for _, f := range b.targets {
		b.pools[f.id] = link.NewPool(link.PoolConfig{
			Target: f.id, Maximum: 4, Clock: clk, StartupTimeout: clock.Second,
			Dial: func(context.Context, string) (net.Conn, error) {
				near, _ := net.Pipe()
				return near, nil
			},
			Protocol: func(net.Conn) link.Wire { return f.wire() },
		})
	}
	s := New(Config{WriteTimeout: clock.Second}, Seams{
		Clock:           clk,
		Route:           func(topology.Database) (*topology.Route, bool) { return b.route, true },
		TransactionIdle: func() clock.Millis { return 0 },
		Acquire:         b.acquire,
		Sample:          b.sample,
		Proven:          func(group.ID, group.TargetID, placement.Sample) {},
		Answered:        func(group.ID, group.TargetID, *link.Reply, clock.Millis) {},
		Lost:            func(_ group.ID, _ group.TargetID, _ clock.Millis, err error) { b.lost = append(b.lost, err) },
		Home:            func(context.Context, group.ID, topology.Database) *Home { return nil },
		Serves:          func(group.ID, group.DaemonID) bool { return true },
		HomeAnswered:    func(_ group.ID, _ clock.Millis, refused bool) { b.homeSaid = append(b.homeSaid, refused) },
		HomeLost:        func(group.DaemonID) { b.homesLost++ },
		Report:          func(o *Outcome) { b.outcomes = append(b.outcomes, *o) },
	}, nil, nil)
	b.session = &session{server: s, wire: b.caller(), database: "db"}
	return b
}

func (b *bench) caller() Wire {
	return Wire{
		Body: func(body []byte) {
			if string(body) == completedHere {
				b.said = append(b.said, completedHere)
				return
			}
			b.said = append(b.said, "body "+string(body))
		},
		Complete: func() { b.said = append(b.said, "complete") },
		Error:    func(code statement.Code, _ string) { b.said = append(b.said, code.String()) },
		Ready:    func(s statement.State, _ position.Point) { b.said = append(b.said, "ITE"[s:s+1]) },
		Flush:    func(time.Time) error { return nil },
		Close:    func() error { return nil },
	}
}

// acquire takes the believed primary for its work, and the replica first for reads.
func (b *bench) acquire(ctx context.Context, w *Work) (*Lease, error) {
	order := []int{1, 0}
	if w.Need.Leader {
		order = []int{0}
	}
	for _, i := range order {
		f := b.targets[i]
		tried := false
		for _, id := range w.Need.Tried {
			tried = tried || id == f.id
		}
		if tried {
			continue
		}
		conn, err := b.pools[f.id].Get(ctx, w.Values, w.Until)
		if err != nil {
			return nil, err
		}
		pool := b.pools[f.id]
		return &Lease{
			Conn: conn, Target: f.id, Leader: i == 0, Leave: func() {},
			Enter:  func(context.Context, *Work) (func(), error) { return func() {}, nil },
			Return: func() { pool.Put(conn) },
			Drain:  func() { pool.Drain(conn) },
		}, nil
	}
	return nil, &statement.Refusal{Code: statement.Lagging, Text: "all tried"}
}

func (b *bench) sample(_ context.Context, _ group.ID, since, _ clock.Millis) (placement.Sample, error) {
	b.sampled = append(b.sampled, since)
	for _, f := range b.targets {
		if f.leads {
			return placement.Sample{Point: f.point(), AskedAt: since}, nil
		}
	}
	return placement.Sample{}, &statement.Refusal{Code: statement.Busy, Text: "no primary"}
}

var verbs = map[string]statement.Verb{
	"BEGIN": statement.Begin, "COMMIT": statement.Commit, "ROLLBACK": statement.Rollback,
	"READ": statement.Read, "WRITE": statement.Write,
}

// ask gives one statement to the session and returns what the caller is told.
func (b *bench) ask(text string) string {
	b.t.Helper()
	f := strings.Fields(text)
	st := statement.Statement{ID: statement.ID(fmt.Sprint(len(b.outcomes) + 1)), Text: text, Verb: verbs[f[0]], Writes: f[0] == "WRITE", Floor: b.floor}
	switch f[0] {
	case "SET":
		st.Verb, st.Name, st.Value = statement.Set, f[1], f[2]
	case "PREPARE":
		st.Verb, st.Name, st.Writes, st.Shape = statement.Prepare, f[1], f[2] == "WRITE", statement.Shape(strings.Join(f[2:], " "))
	case "EXECUTE":
		st.Verb, st.Name, st.Arguments = statement.Execute, f[1], strings.Join(f[2:], " ")
	case "DEALLOC":
		st.Verb, st.Name = statement.Deallocate, f[1]
	case "BEGIN":
		if len(f) > 1 {
			st.Verb = statement.BeginRead
		}
	}
	b.said = nil
	b.session.handle(b.t.Context(), st)
	return strings.Join(b.said, ", ")
}

var errCut = errors.New("connection was cut")

// replyWire writes a session's answers into r, as the protocol between daemons does.
func replyWire(r *link.Reply) Wire {
	return Wire{
		Body:     func(body []byte) { r.Completed, r.Body = true, append([]byte(nil), body...) },
		Complete: func() { r.Completed, r.Body = true, []byte(completedHere) },
		Error:    func(code statement.Code, text string) { r.Code, r.Text = code, text },
		Ready:    func(s statement.State, p position.Point) { r.State, r.Point = s, p },
		Flush:    func(time.Time) error { return nil },
		Close:    func() error { return nil },
	}
}

// completedHere is the body of an answer that no target gave.
const completedHere = "complete"
