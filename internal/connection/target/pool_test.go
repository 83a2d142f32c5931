package target_test

import (
	"context"
	"errors"
	"testing"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func newPool(t *testing.T, minimum, maximum int) (*target.Pool, *clock.Manual) {
	t.Helper()
	m := clock.NewManual(1)
	p := target.NewPool(target.Address{HostPort: startNetwork(t)["a"].Address(), User: "proxy", Database: "shop"}, target.PoolConfig{
		Minimum: minimum, Maximum: maximum, IdleTimeout: 10 * clock.Second, Clock: &m.Clock,
	})
	t.Cleanup(p.Close)
	return p, m
}

func get(t *testing.T, p *target.Pool) *target.Conn {
	t.Helper()
	c, err := p.Get(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func wantCounts(t *testing.T, p *target.Pool, open, idle int) {
	t.Helper()
	if got, want := p.Counts(), (target.Counts{Open: open, Idle: idle}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestPoolReusesIdleConn(t *testing.T) {
	p, _ := newPool(t, 0, 2)
	c := get(t, p)
	p.Put(c)
	if got := get(t, p); got != c {
		t.Error("got a new connection, want the idle one")
	}
	wantCounts(t, p, 1, 0)
}

// TestPoolClosesUnusableConns returns connections in every state in which the pool must not reuse them.
func TestPoolClosesUnusableConns(t *testing.T) {
	tests := map[string]func(c *target.Conn) error{
		"broken": func(c *target.Conn) error {
			c.MarkBroken()
			return nil
		},
		"closed": func(c *target.Conn) error {
			c.Close()
			return nil
		},
		"in a transaction": func(c *target.Conn) error { return c.Run(context.Background(), "begin") },
		"unread reply": func(c *target.Conn) error {
			c.SendPosition()
			c.SendPosition()
			if err := c.Flush(); err != nil {
				return err
			}
			_, err := c.ReceivePosition()
			return err
		},
		"cancelled context": func(c *target.Conn) error {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			if _, err := c.Position(ctx); err == nil {
				return errors.New("got no error with a cancelled context")
			}
			return nil
		},
	}
	for name, makeUnusable := range tests {
		t.Run(name, func(t *testing.T) {
			p, _ := newPool(t, 0, 2)
			c := get(t, p)
			if err := makeUnusable(c); err != nil {
				t.Fatal(err)
			}
			p.Put(c)
			if got := get(t, p); got == c {
				t.Error("got the unusable connection, want a new one")
			}
			wantCounts(t, p, 1, 0)
		})
	}
}

func TestPoolWaitsForFreeConn(t *testing.T) {
	p, _ := newPool(t, 0, 1)
	c := get(t, p)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := p.Get(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	got := make(chan *target.Conn)
	go func() {
		next, _ := p.Get(context.Background())
		got <- next
	}()
	p.Put(c)
	if next := <-got; next != c {
		t.Error("got another connection, want the returned one")
	}
}

func TestPoolBounds(t *testing.T) {
	p, m := newPool(t, 2, 3)
	if err := p.Warm(context.Background()); err != nil {
		t.Fatal(err)
	}
	wantCounts(t, p, 2, 2)
	a, b, c := get(t, p), get(t, p), get(t, p)
	p.Put(a)
	p.Put(b)
	p.Put(c)
	wantCounts(t, p, 3, 3)
	m.Advance(10 * clock.Second)
	p.Sweep()
	wantCounts(t, p, 2, 2)
	a, b = get(t, p), get(t, p)
	p.Resize(0, 1)
	p.Put(a)
	wantCounts(t, p, 1, 0)
	p.Put(b)
	wantCounts(t, p, 1, 1)
	p.Close()
	wantCounts(t, p, 0, 0)
	if _, err := p.Get(context.Background()); !errors.Is(err, target.ErrPoolClosed) {
		t.Errorf("got %v, want ErrPoolClosed", err)
	}
}
