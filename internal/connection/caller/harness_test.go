package caller

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
	"github.com/cactusfork/cactusfork/pkg/token"
)

const testGroup group.ID = "shop-db"

var testService = &service.Service{
	Name:  "shop",
	Group: testGroup,
	Requests: map[service.RequestName]service.Request{
		"item.read":  {Name: "item.read", Kind: service.Read, Weight: 1},
		"item.write": {Name: "item.write", Kind: service.Write, Weight: 1},
	},
}

// harness is a server in front of a fake primary and two fake replicas.
type harness struct {
	tb       testing.TB
	primary  *fakeTarget
	replicas []*fakeTarget
	pools    map[*fakeTarget]*target.Pool
	server   *Server
	address  string
	keys     *token.Keys

	mu sync.Mutex
	// confirm and acquire return the errors of Confirm and Acquire; nil means success.
	confirm func(position.Point) error
	acquire func() error
	// floor is the sample that Floor returns.
	floor position.Point
	// needs, confirmed and outcomes record the calls of Acquire, Confirm and Report.
	needs     []route.Need
	confirmed []position.Point
	outcomes  []Outcome
	cancel    context.CancelFunc
	serveErr  chan error
}

type option func(*Config, *Dependencies)

func newHarness(tb testing.TB, options ...option) *harness {
	keys, err := token.NewKeys([]byte("0123456789abcdef"))
	if err != nil {
		tb.Fatal(err)
	}
	h := &harness{tb: tb, keys: keys, pools: map[*fakeTarget]*target.Pool{}, serveErr: make(chan error, 1), floor: position.Point{Term: 1, Position: 50}}
	h.primary = newFakeTarget(tb, true)
	h.replicas = []*fakeTarget{newFakeTarget(tb, false), newFakeTarget(tb, false)}
	h.primary.followers = h.replicas
	clk := clock.System()
	for _, f := range append([]*fakeTarget{h.primary}, h.replicas...) {
		p := target.NewPool(target.Address{HostPort: f.listener.Addr().String(), User: "proxy", Database: "shop"}, target.PoolConfig{Maximum: 32, Clock: clk})
		h.pools[f] = p
		tb.Cleanup(p.Close)
	}
	cfg := Config{Clock: clk, MaxHeldBytes: 4096}
	deps := h.deps()
	for _, o := range options {
		o(&cfg, &deps)
	}
	h.server = New(cfg, deps)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	h.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { h.serveErr <- h.server.Serve(ctx, listener) }()
	tb.Cleanup(func() {
		cancel()
		if err := <-h.serveErr; err != nil {
			tb.Errorf("got serve error %v, want none", err)
		}
	})
	return h
}

func (h *harness) deps() Dependencies {
	return Dependencies{
		Service: func(n service.Name) (*service.Service, bool) { return testService, n == testService.Name },
		Tokens:  func() *token.Keys { return h.keys },
		Acquire: h.acquireLease,
		Floor: func(context.Context, group.ID) (position.Point, error) {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.floor, nil
		},
		Confirm: func(_ context.Context, _ group.ID, p position.Point) error {
			h.mu.Lock()
			defer h.mu.Unlock()
			if !h.primary.logDisabled {
				h.confirmed = append(h.confirmed, p)
			}
			if h.confirm != nil {
				return h.confirm(p)
			}
			return nil
		},
		Report: func(o Outcome) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if !h.primary.logDisabled {
				h.outcomes = append(h.outcomes, o)
			}
		},
	}
}

// acquireLease leases the primary for writes, and the replicas in turn, by attempt, for reads.
func (h *harness) acquireLease(ctx context.Context, _ *service.Service, n route.Need, o AcquireOptions) (*Lease, error) {
	h.mu.Lock()
	if !h.primary.logDisabled {
		h.needs = append(h.needs, n)
	}
	acquire := h.acquire
	h.mu.Unlock()
	if acquire != nil {
		if err := acquire(); err != nil {
			return nil, err
		}
	}
	f := h.primary
	if n.Request.Kind == service.Read {
		f = h.replicas[o.Attempt%len(h.replicas)]
	}
	p := h.pools[f]
	c, err := p.Get(ctx)
	if err != nil {
		return nil, errors.Join(refusal.NoPrimary("no connection"), err)
	}
	return &Lease{
		Conn: c, Target: group.TargetID(f.listener.Addr().String()), Primary: f == h.primary, Term: 1,
		Release: func(bool, Outcome) { p.Put(c) },
	}, nil
}

func (h *harness) url() string {
	return "postgres://shop@" + h.address + "/shop?sslmode=disable"
}

// dial connects a caller with pgx.
func (h *harness) dial(mode pgx.QueryExecMode) *pgx.Conn {
	h.tb.Helper()
	cfg, err := pgx.ParseConfig(h.url())
	if err != nil {
		h.tb.Fatal(err)
	}
	cfg.DefaultQueryExecMode = mode
	c, err := pgx.ConnectConfig(context.Background(), cfg)
	if err != nil {
		h.tb.Fatal(err)
	}
	h.tb.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// codeOf returns the SQLSTATE of an error, the text of an error without one, or an empty string for nil.
func codeOf(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

func detailOf(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Detail
	}
	return ""
}
