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

// partition isolates one data centre from the others and from the platform. Traffic across the boundary blocks until the partition
// heals.
type partition struct {
	mu          sync.Mutex
	dataCentres map[string]group.DataCentre
	isolated    group.DataCentre
	changed     chan struct{}
}

func newPartition() *partition {
	return &partition{dataCentres: make(map[string]group.DataCentre), changed: make(chan struct{})}
}

// assign records the data centre of an address.
func (p *partition) assign(address string, dc group.DataCentre) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dataCentres[address] = dc
}

// isolate isolates a data centre from the others; an empty name heals the partition.
func (p *partition) isolate(dc group.DataCentre) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated = dc
	close(p.changed)
	p.changed = make(chan struct{})
}

// blocked reports whether traffic between the data centre from and the address is blocked. The channel is closed at the next change
// of the partition.
func (p *partition) blocked(from group.DataCentre, address string) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	toDC := p.dataCentres[address]
	return p.isolated != "" && (from == p.isolated) != (toDC == p.isolated), p.changed
}

// awaitOpen waits until traffic between from and the address is possible. It returns false if done is closed first.
func (p *partition) awaitOpen(from group.DataCentre, address string, done <-chan struct{}) bool {
	for {
		blocked, changed := p.blocked(from, address)
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// dialer returns a dial function for a daemon in the data centre from, whose connections are subject to the partition.
func (p *partition) dialer(from group.DataCentre) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if !p.awaitOpen(from, address, ctx.Done()) {
			return nil, ctx.Err()
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: c, p: p, from: from, address: address, done: make(chan struct{})}, nil
	}
}

// transport returns a wrapper that makes the HTTP calls of a daemon in the data centre from subject to the partition.
func (p *partition) transport(from group.DataCentre) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return roundTripper(func(r *http.Request) (*http.Response, error) {
			if !p.awaitOpen(from, r.URL.Host, r.Context().Done()) {
				return nil, r.Context().Err()
			}
			return next.RoundTrip(r)
		})
	}
}

// roundTripper adapts a function to http.RoundTripper.
type roundTripper func(r *http.Request) (*http.Response, error)

// RoundTrip calls f.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// store wraps the platform's store as a daemon in the data centre from reaches it. The platform has no data centre, so that only
// the isolation of from blocks it.
func (p *partition) store(from group.DataCentre, s *platform.Store) *platform.Store {
	await := func(ctx context.Context) error {
		if !p.awaitOpen(from, "", ctx.Done()) {
			return platform.ErrUnavailable
		}
		return nil
	}
	return &platform.Store{
		Get: func(ctx context.Context, key platform.Key) (platform.Object, error) {
			if err := await(ctx); err != nil {
				return platform.Object{}, err
			}
			return s.Get(ctx, key)
		},
		Put: func(ctx context.Context, key platform.Key, value []byte, v platform.Version) (platform.Version, error) {
			if err := await(ctx); err != nil {
				return 0, err
			}
			return s.Put(ctx, key, value, v)
		},
		List: func(ctx context.Context, prefix platform.Key) ([]platform.Object, platform.Version, error) {
			if err := await(ctx); err != nil {
				return nil, 0, err
			}
			return s.List(ctx, prefix)
		},
		Watch: func(ctx context.Context, prefix platform.Key, v platform.Version) ([]platform.Object, platform.Version, error) {
			if err := await(ctx); err != nil {
				return nil, 0, err
			}
			return s.Watch(ctx, prefix, v)
		},
		VMs: func(ctx context.Context) ([]platform.VM, error) {
			if err := await(ctx); err != nil {
				return nil, err
			}
			return s.VMs(ctx)
		},
	}
}

// partitionedConn is a connection whose reads and writes block while the partition separates its ends.
type partitionedConn struct {
	net.Conn
	p       *partition
	from    group.DataCentre
	address string
	once    sync.Once
	mu      sync.Mutex
	expired bool
	done    chan struct{} // closed while the deadline is in the past
}

// Read reads from the connection and returns the data once the partition allows it.
func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	return n, c.awaitOpen()
}

// Write sends b once the partition allows it.
func (c *partitionedConn) Write(b []byte) (int, error) {
	if err := c.awaitOpen(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *partitionedConn) awaitOpen() error {
	c.mu.Lock()
	done := c.done
	c.mu.Unlock()
	if c.p.awaitOpen(c.from, c.address, done) {
		return nil
	}
	return os.ErrDeadlineExceeded
}

// SetDeadline ends blocked reads and writes if t is in the past, which is how the end of a context interrupts an exchange.
func (c *partitionedConn) SetDeadline(t time.Time) error {
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

// Close closes the connection and ends blocked reads and writes.
func (c *partitionedConn) Close() error {
	c.once.Do(func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	return c.Conn.Close()
}
