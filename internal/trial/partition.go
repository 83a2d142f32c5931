package trial

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
)

// partition cuts one data centre off from the others and from the platform: what is sent across stays unanswered until it heals.
type partition struct {
	mu       sync.Mutex
	places   map[string]group.DataCentre
	isolated group.DataCentre
	changed  chan struct{}
}

func newPartition() *partition {
	return &partition{places: make(map[string]group.DataCentre), changed: make(chan struct{})}
}

// place says in which data centre an address is.
func (p *partition) place(address string, at group.DataCentre) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.places[address] = at
}

// isolate cuts a data centre off; the empty name heals.
func (p *partition) isolate(at group.DataCentre) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated = at
	close(p.changed)
	p.changed = make(chan struct{})
}

// cut reports whether nothing passes between from and the address, and what closes at the next change.
func (p *partition) cut(from group.DataCentre, address string) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := p.places[address]
	return p.isolated != "" && (from == p.isolated) != (to == p.isolated), p.changed
}

// pass waits until the way is open, or done is closed.
func (p *partition) pass(from group.DataCentre, address string, done <-chan struct{}) bool {
	for {
		cut, changed := p.cut(from, address)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// dialer opens connections from a data centre that the partition can cut.
func (p *partition) dialer(from group.DataCentre) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if !p.pass(from, address, ctx.Done()) {
			return nil, ctx.Err()
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &cuttableConn{Conn: c, p: p, from: from, address: address, done: make(chan struct{})}, nil
	}
}

// transport carries calls to peers that the partition can cut.
func (p *partition) transport(from group.DataCentre) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return roundTripper(func(r *http.Request) (*http.Response, error) {
			if !p.pass(from, r.URL.Host, r.Context().Done()) {
				return nil, r.Context().Err()
			}
			return next.RoundTrip(r)
		})
	}
}

// roundTripper is a function as a transport.
type roundTripper func(r *http.Request) (*http.Response, error)

// RoundTrip makes one call.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// store is the platform as a data centre reaches it; the platform itself is never isolated.
func (p *partition) store(from group.DataCentre, s *platform.Store) *platform.Store {
	reach := func(ctx context.Context) error {
		if !p.pass(from, "", ctx.Done()) {
			return platform.ErrUnavailable
		}
		return nil
	}
	return &platform.Store{
		Get: func(ctx context.Context, key platform.Key) (platform.Object, error) {
			if err := reach(ctx); err != nil {
				return platform.Object{}, err
			}
			return s.Get(ctx, key)
		},
		Put: func(ctx context.Context, key platform.Key, value []byte, v platform.Version) (platform.Version, error) {
			if err := reach(ctx); err != nil {
				return 0, err
			}
			return s.Put(ctx, key, value, v)
		},
		List: func(ctx context.Context, prefix platform.Key) ([]platform.Object, platform.Version, error) {
			if err := reach(ctx); err != nil {
				return nil, 0, err
			}
			return s.List(ctx, prefix)
		},
		Watch: func(ctx context.Context, prefix platform.Key, v platform.Version) ([]platform.Object, platform.Version, error) {
			if err := reach(ctx); err != nil {
				return nil, 0, err
			}
			return s.Watch(ctx, prefix, v)
		},
		VMs: func(ctx context.Context) ([]platform.VM, error) {
			if err := reach(ctx); err != nil {
				return nil, err
			}
			return s.VMs(ctx)
		},
	}
}

// cuttableConn holds back what crosses the partition.
type cuttableConn struct {
	net.Conn
	p       *partition
	from    group.DataCentre
	address string
	once    sync.Once
	mu      sync.Mutex
	expired bool
	done    chan struct{}
}

// Read returns what came, once the way is open.
func (c *cuttableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	return n, c.pass()
}

// Write sends b once the way is open.
func (c *cuttableConn) Write(b []byte) (int, error) {
	if err := c.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *cuttableConn) pass() error {
	c.mu.Lock()
	done := c.done
	c.mu.Unlock()
	if c.p.pass(c.from, c.address, done) {
		return nil
	}
	return os.ErrDeadlineExceeded
}

// SetDeadline ends waits when t has passed already, which is how contexts end an exchange.
func (c *cuttableConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	past := !t.IsZero() && !t.After(time.Now())
	if past && !c.expired {
		close(c.done)
	}
	if !past && c.expired {
		c.done = make(chan struct{})
	}
	c.expired = past
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// Close ends the connection and all waits on it.
func (c *cuttableConn) Close() error {
	c.once.Do(func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	return c.Conn.Close()
}
