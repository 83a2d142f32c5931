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
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// fakeTarget is a target in memory. It has a role, a log and the state of each connection.
type fakeTarget struct {
	id      group.TargetID
	primary bool
	term    position.Term
	log     position.Position
	// executed holds the statements of callers that were run, each with the values in force.
	executed []string
	// departed is true once the target may get no new work.
	departed bool
	// commits counts the writes and transactions that were committed.
	commits int
	// intercept is called before a command runs. It may reply in its place, or return an error in place of the reply.
	intercept func(c *link.Command) (*link.Reply, error)
	// afterRun is called after a command has run and before its reply is sent.
	afterRun func(c *link.Command)
}

func (f *fakeTarget) point() position.Point { return position.Point{Term: f.term, Position: f.log} }

// fakeConn is one connection to a fakeTarget.
type fakeConn struct {
	t     *fakeTarget
	state statement.State
	// readWrite is true for a transaction that BEGIN has opened, and false for BEGIN READ.
	readWrite bool
	wrote     bool
	values    map[string]string
	prepared  map[string]string
	replies   []queuedReply
}

type queuedReply struct {
	r   link.Reply
	err error
}

func (f *fakeTarget) wire() link.Wire {
	c := &fakeConn{t: f, values: map[string]string{}, prepared: map[string]string{}}
	return link.Wire{
		Startup: func(link.Login, time.Time) (link.Reply, error) { return link.Reply{}, nil },
		Send: func(_ time.Time, commands ...link.Command) error {
			for i := range commands {
				c.handle(&commands[i])
			}
			return nil
		},
		Receive:  c.receive,
		Close:    func() error { c.replies = nil; return nil },
		Buffered: func() bool { return false },
	}
}

func (c *fakeConn) receive(time.Time) (link.Reply, error) {
	if len(c.replies) == 0 {
		return link.Reply{}, os.ErrDeadlineExceeded
	}
	a := c.replies[0]
	c.replies = c.replies[1:]
	return a.r, a.err
}

func (c *fakeConn) handle(cmd *link.Command) {
	if c.t.intercept != nil {
		if r, err := c.t.intercept(cmd); r != nil || err != nil {
			if r == nil {
				r = &link.Reply{}
			}
			c.replies = append(c.replies, queuedReply{*r, err})
			return
		}
	}
	r := c.run(cmd)
	if c.t.afterRun != nil {
		c.t.afterRun(cmd)
	}
	if r.Point == (position.Point{}) {
		r.Point = c.t.point()
	}
	r.State = c.state
	c.replies = append(c.replies, queuedReply{r: r})
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
		clear(c.prepared)
		return ok("")
	case link.Set:
		c.values[cmd.Name] = cmd.Text
		return ok("")
	case link.Prepare:
		c.prepared[cmd.Name] = cmd.Text
		return ok("")
	case link.Execute:
		shape, known := c.prepared[cmd.Name]
		if !known {
			return refuse(statement.NoStatement)
		}
		text = shape + " " + cmd.Text
	}
	return c.runText(text)
}

func (c *fakeConn) runText(text string) link.Reply {
	verb, _, _ := strings.Cut(text, " ")
	switch {
	case text == "BEGIN" && !c.t.primary, verb == "WRITE" && !c.t.primary, c.readWrite && c.state == statement.Open && !c.t.primary:
		return refuse(statement.ReadOnly)
	case verb == "BEGIN":
		c.state, c.readWrite, c.wrote = statement.Open, text == "BEGIN", false
		return ok("")
	case verb == "ROLLBACK":
		c.state = statement.Idle
		return ok("")
	}
	c.t.executed = append(c.t.executed, fmt.Sprintf("%s %v", text, c.values))
	if verb == "COMMIT" && c.wrote || verb == "WRITE" && c.state == statement.Idle {
		c.t.log++
		c.t.commits++
	}
	c.wrote = verb == "WRITE" || c.wrote
	if verb == "COMMIT" {
		c.state = statement.Idle
	}
	return ok("by " + string(c.t.id))
}

// testBed is a session with fake targets. The session takes the first target for the primary.
type testBed struct {
	t       *testing.T
	targets []*fakeTarget
	pools   map[group.TargetID]*link.Pool
	session *session
	route   *topology.Route
	// replies is what the caller received for the last statement.
	replies  []string
	outcomes []Outcome
	// sampleTimes are the earliest request times of the samples that the session asked for.
	sampleTimes []clock.Millis
	// lost holds the errors of the calls of ConnLost.
	lost []error
	// floor is the floor of the next statement.
	floor position.Point
	// homeRefusals holds the argument refused of each call of HomeReplied.
	homeRefusals []bool
	// homesLost counts the home daemons that did not answer.
	homesLost int
}

func newTestBed(t *testing.T, consistency topology.Consistency) *testBed {
	b := &testBed{
		t:       t,
		targets: []*fakeTarget{{id: "p", primary: true, term: 1, log: 10}, {id: "r", term: 1, log: 10}},
		pools:   map[group.TargetID]*link.Pool{},
		route: &topology.Route{
			Name: "route", Database: "db", Group: "g", Consistency: consistency,
			MaxStaleness: 1000, Timeout: 200, LatencyObjective: 100,
		},
	}
	clk := clock.System()
	for _, f := range b.targets {
		b.pools[f.id] = link.NewPool(link.PoolConfig{
			Target: f.id, Maximum: 4, Clock: clk, StartupTimeout: clock.Second,
			Dial: func(context.Context, string) (net.Conn, error) {
				conn, _ := net.Pipe()
				return conn, nil
			},
			Protocol: func(net.Conn) link.Wire { return f.wire() },
		})
	}
	s := New(Config{WriteTimeout: clock.Second}, Dependencies{
		Clock:           clk,
		Route:           func(topology.Database) (*topology.Route, bool) { return b.route, true },
		TransactionIdle: func() clock.Millis { return 0 },
		Acquire:         b.acquire,
		Sample:          b.sample,
		PrimaryProven:   func(group.ID, group.TargetID, placement.Sample) {},
		TargetReplied:   func(group.ID, group.TargetID, *link.Reply, clock.Millis) {},
		ConnFailed:      func(_ group.ID, _ group.TargetID, _ clock.Millis, err error) { b.lost = append(b.lost, err) },
		Identify:        func(*Startup, bool, *topology.Route) (*workspace.Workspace, *statement.Refusal) { return nil, nil },
		Admit:           func(context.Context, *workspace.Workspace, clock.Millis) error { return nil },
		Refund:          func(*workspace.Workspace, clock.Millis) {},
		Home:            func(context.Context, *topology.Route, *workspace.Workspace) *Home { return nil },
		Serves:          func(*topology.Route, *workspace.Workspace, group.DaemonID) bool { return true },
		HomeReplied:     func(_ group.ID, _ clock.Millis, refused bool) { b.homeRefusals = append(b.homeRefusals, refused) },
		HomeFailed:      func(group.DaemonID) { b.homesLost++ },
		Report:          func(o *Outcome) { b.outcomes = append(b.outcomes, *o) },
	}, nil, nil)
	b.session = &session{server: s, wire: b.callerWire(), database: "db"}
	return b
}

func (b *testBed) callerWire() Wire {
	return Wire{
		Body: func(body []byte) {
			if string(body) == completeBody {
				b.replies = append(b.replies, completeBody)
				return
			}
			b.replies = append(b.replies, "body "+string(body))
		},
		Complete: func() { b.replies = append(b.replies, "complete") },
		Error:    func(code statement.Code, _ string) { b.replies = append(b.replies, code.String()) },
		Ready:    func(s statement.State, _ position.Point) { b.replies = append(b.replies, "ITE"[s:s+1]) },
		Flush:    func(time.Time) error { return nil },
		Close:    func() error { return nil },
	}
}

// acquire prefers the replica for reads, and takes only the first target for a statement that needs the primary.
func (b *testBed) acquire(ctx context.Context, req *LeaseRequest) (*Lease, error) {
	order := []int{1, 0}
	if req.Need.PrimaryOnly {
		order = []int{0}
	}
	for _, i := range order {
		if i >= len(b.targets) {
			continue
		}
		f := b.targets[i]
		tried := false
		for _, id := range req.Need.Tried {
			tried = tried || id == f.id
		}
		if tried {
			continue
		}
		conn, err := b.pools[f.id].Get(ctx, req.Workspace, req.Values, req.Deadline)
		if err != nil {
			return nil, err
		}
		pool := b.pools[f.id]
		return &Lease{
			Conn: conn, Target: f.id, Primary: i == 0, ReleaseSlot: func() {}, Departed: func() bool { return f.departed },
			AcquireSlot: func(context.Context, *LeaseRequest) (func(), error) { return func() {}, nil },
			ReleaseConn: func() { pool.Put(conn) },
			Drain:       func() { pool.Drain(conn) },
		}, nil
	}
	return nil, &statement.Refusal{Code: statement.Lagging, Text: "all tried"}
}

func (b *testBed) sample(_ context.Context, _ group.ID, since, _ clock.Millis) (placement.Sample, error) {
	b.sampleTimes = append(b.sampleTimes, since)
	for _, f := range b.targets {
		if f.primary {
			return placement.Sample{Point: f.point(), RequestedAt: since}, nil
		}
	}
	return placement.Sample{}, &statement.Refusal{Code: statement.Busy, Text: "no primary"}
}

var verbs = map[string]statement.Verb{
	"BEGIN": statement.Begin, "COMMIT": statement.Commit, "ROLLBACK": statement.Rollback,
	"READ": statement.Read, "WRITE": statement.Write,
}

// exec runs one statement in the session and returns what the caller receives.
func (b *testBed) exec(text string) string {
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
	b.replies = nil
	b.session.handle(b.t.Context(), st)
	return strings.Join(b.replies, ", ")
}

var errConnCut = errors.New("connection was cut")

// replyWire stores the replies of a session in r, as the protocol between daemons does.
func replyWire(r *link.Reply) Wire {
	return Wire{
		Body:     func(body []byte) { r.Completed, r.Body = true, append([]byte(nil), body...) },
		Complete: func() { r.Completed, r.Body = true, []byte(completeBody) },
		Error:    func(code statement.Code, text string) { r.Code, r.Text = code, text },
		Ready:    func(s statement.State, p position.Point) { r.State, r.Point = s, p },
		Flush:    func(time.Time) error { return nil },
		Close:    func() error { return nil },
	}
}

// completeBody is the body of a reply that no target gave.
const completeBody = "complete"
