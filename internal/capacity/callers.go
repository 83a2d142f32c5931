package capacity

import (
	"context"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// sessions is the number of callers at work at once.
const sessions = 16

func callers() measure {
	return measure{
		slopes: []Slope{
			{ID: CallerBytes, What: "memory of an idle caller connection: heap and stacks, with the caller's end of the socket", Size: "connection", Unit: "B"},
			{ID: CallerCPU, What: "second of idle caller connections", Size: "connection", Unit: "µs/s"},
		},
		sizes: []int{100, 400, 1600},
		run:   idleCost,
	}
}

func idleCost(ctx context.Context, n int) ([]float64, error) {
	p, err := newProxy(ctx)
	if err != nil {
		return nil, err
	}
	defer p.close()
	before := held()
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for range n {
		c, _, err := logIn(p.address)
		if err != nil {
			return nil, err
		}
		open = append(open, c)
	}
	memory := held() - before
	u, err := during(func() error {
		time.Sleep(window)
		return nil
	})
	runtime.KeepAlive(open)
	return []float64{memory, u.cpu / window.Seconds()}, err
}

// path is a way that statements take.
type path struct {
	cpu, allocs SlopeID
	what        string
	sql         string
	straight    bool
}

var (
	straight = path{StraightCPU, StraightAllocs, "statement straight to the scripted target, caller and target included", "select 1", true}
	reads    = path{ReadCPU, ReadAllocs, "read through the proxy, caller and target included", "select id, v from item where id = 1 /*request='item.read'*/", false}
	writes   = path{WriteCPU, WriteAllocs, "write through the proxy, caller and target included", "update item set v = 'x' where id = 1 /*request='item.write'*/", false}
)

func statements(way path) measure {
	return measure{
		slopes: []Slope{
			{ID: way.cpu, What: way.what, Size: "statement", Unit: "µs"},
			{ID: way.allocs, What: way.what, Size: "statement", Unit: "allocations"},
		},
		sizes: []int{16_000, 32_000, 64_000},
		run:   func(ctx context.Context, n int) ([]float64, error) { return statementCost(ctx, way, n) },
	}
}

func statementCost(ctx context.Context, way path, n int) ([]float64, error) {
	p, err := newProxy(ctx)
	if err != nil {
		return nil, err
	}
	defer p.close()
	address := p.address
	if way.straight {
		t, err := newScripted(ctx, false)
		if err != nil {
			return nil, err
		}
		address = t.address
	}
	var all []*pgproto3.Frontend
	for range sessions {
		c, front, err := logIn(address)
		if err != nil {
			return nil, err
		}
		defer func() { _ = c.Close() }()
		all = append(all, front)
	}
	if err := ask(all, way.sql, sessions); err != nil {
		return nil, err
	}
	u, err := during(func() error { return ask(all, way.sql, n) })
	return []float64{u.cpu, u.allocs}, err
}

// ask runs n statements over all sessions at once.
func ask(all []*pgproto3.Frontend, sql string, n int) error {
	var work sync.WaitGroup
	failed := make(chan error, len(all))
	for _, front := range all {
		work.Go(func() {
			for range n / len(all) {
				front.Send(&pgproto3.Query{String: sql})
				if err := front.Flush(); err != nil {
					failed <- err
					return
				}
				if err := untilReady(front); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	work.Wait()
	close(failed)
	return <-failed
}
