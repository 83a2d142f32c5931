package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
	"github.com/cactusfork/cactusfork/pkg/token"
)

// maxCallers is more than any measurement opens.
const maxCallers = 5000

// proxy is a server of callers in front of a scripted primary and a scripted replica, without routing and admission.
type proxy struct {
	address string
	pools   map[service.Kind]*target.Pool
	stop    context.CancelFunc
	work    sync.WaitGroup
}

func newProxy(ctx context.Context) (*proxy, error) {
	ctx, stop := context.WithCancel(ctx)
	p := &proxy{stop: stop, pools: map[service.Kind]*target.Pool{}}
	if err := p.start(ctx); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *proxy) start(ctx context.Context) error {
	for _, kind := range []service.Kind{service.Read, service.Write} {
		t, err := newScripted(ctx, kind == service.Write)
		if err != nil {
			return err
		}
		p.pools[kind] = target.NewPool(target.Address{HostPort: t.address, User: "cactusfork", Database: "shop"},
			target.PoolConfig{Maximum: sessions, Clock: clock.System()})
	}
	keys, err := token.NewKeys([]byte("0123456789abcdef"))
	if err != nil {
		return fmt.Errorf("make token keys: %w", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.address = l.Addr().String()
	server := caller.New(caller.Config{Clock: clock.System(), MaxConnections: maxCallers, DrainTimeout: 1}, p.seams(keys))
	p.work.Go(func() { _ = server.Serve(ctx, l) })
	return nil
}

func (p *proxy) close() {
	p.stop()
	p.work.Wait()
	for _, pool := range p.pools {
		pool.Close()
	}
}

func (p *proxy) seams(keys *token.Keys) caller.Seams {
	shop := &service.Service{Name: "shop", Group: "shop-db", Requests: map[service.RequestName]service.Request{
		"item.read":  {Name: "item.read", Kind: service.Read, MaxAge: 5000, Weight: 1},
		"item.write": {Name: "item.write", Kind: service.Write, Weight: 1},
	}}
	return caller.Seams{
		Service: func(n service.Name) (*service.Service, bool) { return shop, n == shop.Name },
		Tokens:  func() *token.Keys { return keys },
		Acquire: p.lease,
		Floor: func(context.Context, group.ID) (position.Point, error) {
			return position.Point{Term: 1, Position: 900}, nil
		},
		Confirm: func(context.Context, group.ID, position.Point) error { return nil },
	}
}

func (p *proxy) lease(ctx context.Context, _ *service.Service, n route.Need, _ caller.AcquireOptions) (*caller.Lease, error) {
	pool := p.pools[n.Request.Kind]
	c, err := pool.Get(ctx)
	if err != nil {
		return nil, err
	}
	return &caller.Lease{
		Conn: c, Target: "shop-db-a", Primary: n.Request.Kind == service.Write, Term: 1,
		Release: func(bool, caller.Outcome) { pool.Put(c) },
	}, nil
}

// logIn opens a caller's connection and returns it once it is ready.
func logIn(address string) (net.Conn, *pgproto3.Frontend, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("dial: %w", err)
	}
	front := pgproto3.NewFrontend(conn, conn)
	front.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "shop", "database": "shop"},
	})
	if err := front.Flush(); err != nil {
		return nil, nil, fmt.Errorf("log in: %w", err)
	}
	if err := untilReady(front); err != nil {
		return nil, nil, err
	}
	return conn, front, nil
}

// errAnswered is wrapped by the errors that a server answers with.
var errAnswered = errors.New("server answers with an error")

func untilReady(front *pgproto3.Frontend) error {
	for {
		msg, err := front.Receive()
		if err != nil {
			return fmt.Errorf("receive: %w", err)
		}
		switch m := msg.(type) {
		case *pgproto3.ErrorResponse:
			return fmt.Errorf("%w: %s %s", errAnswered, m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}
