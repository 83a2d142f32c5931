package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// fakeProtocol is a protocol whose startups end with code and err. It counts opened and closed connections.
type fakeProtocol struct {
	code   statement.Code
	err    error
	opened int
	closed int
}

func (f *fakeProtocol) pool(clk *clock.Clock, maximum int) *Pool {
	return NewPool(PoolConfig{
		Target: "t", Maximum: maximum, Clock: clk, StartupTimeout: clock.Second,
		Dial: func(context.Context, string) (net.Conn, error) {
			conn, _ := net.Pipe()
			return conn, nil
		},
		Protocol: func(net.Conn) Wire {
			f.opened++
			return Wire{
				Startup:  func(Login, time.Time) (Reply, error) { return Reply{Code: f.code}, f.err },
				Send:     func(time.Time, ...Command) error { return nil },
				Receive:  func(time.Time) (Reply, error) { return Reply{Completed: true}, nil },
				Close:    func() error { f.closed++; return nil },
				Buffered: func() bool { return false },
			}
		},
	})
}

func get(t *testing.T, p *Pool, v *Values) *Conn {
	t.Helper()
	c, err := p.Get(t.Context(), "", v, 1000)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestGetPrefersConnWithSameValues(t *testing.T) {
	f := &fakeProtocol{}
	p := f.pool(&clock.NewManual(1).Clock, 4)
	var a, b Values
	a.Set("x", "1")
	b.Set("x", "2")
	first, second := get(t, p, &a), get(t, p, &b)
	first.setupCommands(&a, nil)
	second.setupCommands(&b, nil)
	p.Put(first)
	p.Put(second)
	if got := get(t, p, &a); got != first {
		t.Error("got another connection, want the one where the values are in force")
	}
	if f.opened != 2 {
		t.Errorf("got %d connections opened, want 2", f.opened)
	}
}

func TestPurgeClosesConnsWithoutRecentReply(t *testing.T) {
	f := &fakeProtocol{}
	m := clock.NewManual(1)
	p := f.pool(&m.Clock, 4)
	idle, replied := get(t, p, &Values{}), get(t, p, &Values{})
	m.Advance(100)
	if _, err := replied.Receive(200); err != nil {
		t.Fatal(err)
	}
	replied.pending = 0
	p.Put(idle)
	p.Put(replied)
	p.Purge(50)
	if got := get(t, p, &Values{}); got != replied {
		t.Error("got another connection, want the one with a reply since then")
	}
	if f.closed != 1 {
		t.Errorf("got %d connections closed, want 1", f.closed)
	}
}

func TestFullTargetIsNotUnreachable(t *testing.T) {
	f := &fakeProtocol{code: statement.TooManyConnections}
	p := f.pool(clock.System(), 4)
	_, err := p.Get(t.Context(), "", &Values{}, clock.System().Now()+20)
	if !errors.Is(err, ErrFull) {
		t.Errorf("got %v, want %v", err, ErrFull)
	}
	f.code = statement.WrongTarget
	_, err = f.pool(clock.System(), 4).Get(t.Context(), "", &Values{}, clock.System().Now()+20)
	if !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want %v", err, ErrUnreachable)
	}
}

func TestConnectionResetAtStartupMeansFull(t *testing.T) {
	for _, err := range []error{syscall.ECONNRESET, io.EOF} {
		f := &fakeProtocol{err: fmt.Errorf("read from target: %w", err)}
		_, got := f.pool(clock.System(), 4).Get(t.Context(), "", &Values{}, clock.System().Now()+20)
		if !errors.Is(got, ErrFull) {
			t.Errorf("%v: got %v, want %v", err, got, ErrFull)
		}
	}
}

func TestStartupTimeoutHasItsOwnError(t *testing.T) {
	f := &fakeProtocol{err: os.ErrDeadlineExceeded}
	_, got := f.pool(clock.System(), 4).Get(t.Context(), "", &Values{}, clock.System().Now()+20)
	if !errors.Is(got, ErrStartupTimeout) || !errors.Is(got, ErrUnreachable) {
		t.Errorf("got %v, want %v and %v", got, ErrStartupTimeout, ErrUnreachable)
	}
}

func TestSweepKeepsRecentPeak(t *testing.T) {
	f := &fakeProtocol{}
	m := clock.NewManual(1)
	p := f.pool(&m.Clock, 8)
	var conns []*Conn
	for range 4 {
		conns = append(conns, get(t, p, &Values{}))
	}
	for _, c := range conns {
		p.Put(c)
	}
	p.Sweep()
	if f.closed != 0 {
		t.Errorf("got %d connections closed within the peak's window, want 0", f.closed)
	}
	for range 3 {
		m.Advance(peakWindow)
		p.Sweep()
	}
	if want := 3; f.closed != want {
		t.Errorf("got %d connections closed after the peak's window, want %d", f.closed, want)
	}
}

func TestSetup(t *testing.T) {
	read := NewPrepared("q1", false)
	var one, two Values
	one.Set("a", "1")
	two.Set("a", "2")
	two.Set("b", "2")
	tests := []struct {
		name   string
		values *Values
		stmt   *Prepared
		want   []Kind
	}{
		{"no values", &Values{}, nil, nil},
		{"a value", &one, nil, []Kind{Set}},
		{"the same value", &one, nil, nil},
		{"a prepared statement", &one, read, []Kind{Prepare}},
		{"the same statement", &one, read, nil},
		{"a changed and a new value", &two, read, []Kind{Set, Set}},
		{"a removed value resets all", &one, read, []Kind{Reset, Set, Prepare}},
	}
	c := newConn("t", "", Wire{}, nil, clock.System())
	for _, tt := range tests {
		got := c.setupCommands(tt.values, tt.stmt)
		if len(got) != len(tt.want) {
			t.Errorf("%s: got %v, want kinds %v", tt.name, got, tt.want)
			continue
		}
		for i := range got {
			if got[i].Kind != tt.want[i] {
				t.Errorf("%s: got %v, want kinds %v", tt.name, got, tt.want)
			}
		}
	}
}

func TestPoolOpensOneConnectionAtATime(t *testing.T) {
	f := &fakeProtocol{}
	p := f.pool(clock.System(), 8)
	started, release := make(chan struct{}, 8), make(chan struct{})
	protocol := p.cfg.Protocol
	p.cfg.Protocol = func(c net.Conn) Wire {
		w := protocol(c)
		w.Startup = func(Login, time.Time) (Reply, error) {
			started <- struct{}{}
			<-release
			return Reply{}, nil
		}
		return w
	}
	deadline := clock.System().Now() + 5*clock.Second
	served := make(chan *Conn, 5)
	for range cap(served) {
		go func() {
			c, err := p.Get(t.Context(), "", &Values{}, deadline)
			if err != nil {
				t.Errorf("got %v, want a connection", err)
			}
			served <- c
		}()
	}
	<-started
	select {
	case <-started:
		t.Error("got a second startup before the first one ended, want one at a time")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	for range cap(served) {
		p.Put(<-served)
	}
	if got := p.OpenConns(); got > cap(served) {
		t.Errorf("got %d connections, want at most %d", got, cap(served))
	}
}

func TestFailedOpenAllowsNextOpen(t *testing.T) {
	f := &fakeProtocol{err: errors.New("cut")}
	p := f.pool(clock.System(), 8)
	for range 3 {
		if _, err := p.Get(t.Context(), "", &Values{}, clock.System().Now()+clock.Second); !errors.Is(err, ErrUnreachable) {
			t.Errorf("got %v, want %v", err, ErrUnreachable)
		}
	}
	if f.opened != 3 {
		t.Errorf("got %d startups, want 3", f.opened)
	}
}

func TestEarlyLimit(t *testing.T) {
	m := clock.NewManual(1000)
	f := &fakeProtocol{}
	p := f.pool(&m.Clock, 8)
	p.cfg.EarlyLimitUntil = 4000
	p.SetEarlyLimit(3)
	for range 3 {
		if _, err := p.Get(t.Context(), "", &Values{}, 1000); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := p.Get(t.Context(), "", &Values{}, 1000); !errors.Is(err, ErrFull) {
		t.Errorf("got %v under the early limit, want %v", err, ErrFull)
	}
	m.Advance(3000)
	if _, err := p.Get(t.Context(), "", &Values{}, 5000); err != nil {
		t.Errorf("got %v after the early limit, want a connection", err)
	}
}

// A new connection takes longer than the wait for an idle one. Its startup must therefore be bounded by the deadline of GetOrOpen,
// not by idleConnWait.
func TestGetOrOpenKeepsDeadlineForNewConn(t *testing.T) {
	f := &fakeProtocol{}
	m := clock.NewManual(1000)
	p := f.pool(&m.Clock, 2)
	var startupDeadline time.Time
	protocol := p.cfg.Protocol
	p.cfg.Protocol = func(c net.Conn) Wire {
		w := protocol(c)
		w.Startup = func(_ Login, deadline time.Time) (Reply, error) {
			startupDeadline = deadline
			return Reply{}, nil
		}
		return w
	}
	if _, err := p.GetOrOpen(t.Context(), 1300); err != nil {
		t.Fatal(err)
	}
	if remaining := time.Until(startupDeadline); remaining <= 2*idleConnWait.Duration() {
		t.Errorf("got a startup deadline in %v, want about 300 ms", remaining)
	}
}

func TestGetOrOpenExceedsMaximum(t *testing.T) {
	f := &fakeProtocol{}
	p := f.pool(clock.System(), 1)
	held := get(t, p, &Values{})
	c, err := p.GetOrOpen(t.Context(), clock.System().Now()+1000)
	if err != nil {
		t.Fatalf("got %v, want a further connection", err)
	}
	p.Put(c)
	if got := p.OpenConns(); got != 1 {
		t.Errorf("got %d connections open after Put, want 1", got)
	}
	p.Put(held)
	if c, err = p.GetOrOpen(t.Context(), clock.System().Now()+1000); err != nil || c != held {
		t.Errorf("got %v, %v, want the idle connection", c, err)
	}
}

// After a network partition of a data centre ends, each of its daemons has probed every target. Daemons that do not serve the
// group must not keep those connections.
func TestSweepClosesIdleConnsOfGroupServedElsewhere(t *testing.T) {
	for _, tt := range []struct {
		servedElsewhere bool
		want            int
	}{{true, 0}, {false, 1}} {
		m := clock.NewManual(1000)
		f := &fakeProtocol{}
		p := f.pool(&m.Clock, 8)
		p.SetServedElsewhere(tt.servedElsewhere)
		c, err := p.Get(t.Context(), "", &Values{}, 2000)
		if err != nil {
			t.Fatal(err)
		}
		p.Put(c)
		p.Sweep()
		if got := p.OpenConns(); got != 1 {
			t.Errorf("served elsewhere %t: got %d open right after Put, want 1", tt.servedElsewhere, got)
		}
		m.Advance(maxIdleServedElsewhere)
		p.Sweep()
		if got := p.OpenConns(); got != tt.want {
			t.Errorf("served elsewhere %t: got %d open later, want %d", tt.servedElsewhere, got, tt.want)
		}
	}
}
