package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	standin "github.com/cactusfork/cactusfork/internal/standin/target"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// asked is a stand-in target with links to it.
type asked struct {
	stop  context.CancelFunc
	links []*target.Conn
	// relays ends once all bytes are counted.
	relays sync.WaitGroup
}

// newAsked opens n links to a stand-in primary, through a counting relay when bytes is given.
func newAsked(ctx context.Context, n int, bytes *atomic.Int64) (*asked, error) {
	ctx, stop := context.WithCancel(ctx)
	a := &asked{stop: stop}
	net := standin.NewNetwork(clock.System())
	t, err := net.Start(ctx, standin.Config{ID: "a", Slots: 100, Connections: 1000})
	if err != nil {
		stop()
		return nil, fmt.Errorf("start target: %w", err)
	}
	if err := net.Bootstrap(ctx, "a", 1, "create table item (id integer primary key)"); err != nil {
		stop()
		return nil, fmt.Errorf("bootstrap target: %w", err)
	}
	address := t.Address()
	if bytes != nil {
		if address, err = a.relay(ctx, address, bytes); err != nil {
			stop()
			return nil, err
		}
	}
	for range n {
		c, err := target.Dial(ctx, target.Address{HostPort: address, User: "cactusfork", Database: "postgres"})
		if err != nil {
			a.close()
			return nil, err
		}
		a.links = append(a.links, c)
	}
	return a, nil
}

func (a *asked) close() {
	for _, c := range a.links {
		c.Close()
	}
	a.stop()
	a.relays.Wait()
}

// ask asks for the status on each link, one after the other.
func (a *asked) ask(ctx context.Context) error {
	for _, c := range a.links {
		if _, err := c.Status(ctx); err != nil {
			return err
		}
	}
	return nil
}

// relay forwards one connection to address and counts its bytes in both directions.
func (a *asked) relay(ctx context.Context, address string, bytes *atomic.Int64) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	a.relays.Go(func() {
		in, err := counted{Listener: l, bytes: bytes}.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", address)
		if err != nil {
			_ = in.Close()
			return
		}
		join(in, out)
	})
	return l.Addr().String(), nil
}

// join copies both ways until one of the connections ends.
func join(a, b net.Conn) {
	var work sync.WaitGroup
	pass := func(from, to net.Conn) {
		_, _ = io.Copy(to, from)
		_ = from.Close()
		_ = to.Close()
	}
	work.Go(func() { pass(a, b) })
	work.Go(func() { pass(b, a) })
	work.Wait()
}

func questions() measure {
	const rounds = 100
	return measure{
		slopes: []Slope{
			{ID: QuestionCPU, What: "status question to a stand-in target, both ends", Size: "question", Unit: "µs"},
			{ID: LinkBytes, What: "memory of a control connection, both ends", Size: "connection", Unit: "B"},
		},
		sizes: []int{3, 30, 90},
		run: func(ctx context.Context, n int) ([]float64, error) {
			none, err := newAsked(ctx, 0, nil)
			if err != nil {
				return nil, err
			}
			before := held()
			a, err := newAsked(ctx, n, nil)
			if err != nil {
				return nil, err
			}
			defer a.close()
			memory := held() - before
			none.close()
			u, err := during(func() error {
				for range rounds {
					if err := a.ask(ctx); err != nil {
						return err
					}
				}
				return nil
			})
			return []float64{u.cpu / rounds, memory}, err
		},
	}
}

func questionBytes() measure {
	return measure{
		slopes: []Slope{{ID: QuestionBytes, What: "status question and answer, payload of TCP", Size: "question", Unit: "B"}},
		sizes:  []int{100, 200, 400},
		run: func(ctx context.Context, n int) ([]float64, error) {
			var bytes atomic.Int64
			a, err := newAsked(ctx, 1, &bytes)
			if err != nil {
				return nil, err
			}
			for range n {
				if err = a.ask(ctx); err != nil {
					break
				}
			}
			a.close()
			return []float64{float64(bytes.Load())}, err
		},
	}
}
