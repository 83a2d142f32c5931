package caller

import (
	"context"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/route"
	standin "github.com/cactusfork/cactusfork/internal/standin/target"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// standins is a group of stand-in database servers that replicate for real; a is the primary.
type standins struct {
	all   []*standin.Target
	pools map[group.TargetID]*target.Pool
}

func newStandins(t *testing.T) *standins {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	n := standin.NewNetwork(clock.System())
	s := &standins{pools: map[group.TargetID]*target.Pool{}}
	for _, id := range []group.TargetID{"a", "b", "c"} {
		one, err := n.Start(ctx, standin.Config{ID: id})
		if err != nil {
			t.Fatal(err)
		}
		s.all = append(s.all, one)
		p := target.NewPool(target.Address{HostPort: one.Address(), User: "proxy", Database: "shop"},
			target.PoolConfig{Maximum: 8, Clock: clock.System()})
		t.Cleanup(p.Close)
		s.pools[id] = p
	}
	if err := n.Bootstrap(ctx, "a", 1, "create table item (id integer primary key, v text)"); err != nil {
		t.Fatal(err)
	}
	return s
}

// holding waits until that many targets hold p, and returns the last of them.
func (s *standins) holding(ctx context.Context, n int, holds func(group.Status) bool) (*standin.Target, error) {
	for ctx.Err() == nil {
		found := 0
		for _, one := range s.all {
			if holds(one.Status()) {
				found++
			}
			if found == n {
				return one, nil
			}
		}
	}
	return nil, ctx.Err()
}

func (s *standins) seams(_ *Config, seams *Seams) {
	seams.Confirm = func(ctx context.Context, _ group.ID, p position.Point) error {
		_, err := s.holding(ctx, 2, func(st group.Status) bool { return st.Received.Reaches(p) })
		return err
	}
	seams.Floor = func(context.Context, group.ID) (position.Point, error) { return s.all[0].Status().Applied, nil }
	seams.Acquire = func(ctx context.Context, _ *service.Service, n route.Need, _ AcquireOptions) (*Lease, error) {
		write := n.Request.Kind == service.Write
		one, err := s.holding(ctx, 1, func(st group.Status) bool {
			return st.Primary == write && st.Applied.Reaches(n.Floor)
		})
		if err != nil {
			return nil, err
		}
		p := s.pools[one.ID()]
		c, err := p.Get(ctx)
		if err != nil {
			return nil, err
		}
		return &Lease{Conn: c, Target: one.ID(), Primary: write, Term: 1, Release: func(bool, Outcome) { p.Put(c) }}, nil
	}
}

// TestReadYourWrites writes at the primary and reads back from replicas, on the same connection and over a token.
func TestReadYourWrites(t *testing.T) {
	ctx := context.Background()
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			s := newStandins(t)
			h := newHarness(t, s.seams)
			c, other := h.dial(mode), h.dial(mode)
			for i := range 20 {
				want := fmt.Sprint("v", i)
				if _, err := c.Exec(ctx, "insert into item (id, v) values ($1, $2) /*request='item.write'*/", i, want); err != nil {
					t.Fatal(err)
				}
				text := c.PgConn().ParameterStatus("cactusfork.token")
				if _, err := other.Exec(ctx, "set cactusfork.token = '"+text+"'"); err != nil {
					t.Fatal(err)
				}
				for _, reader := range []*pgx.Conn{c, other} {
					var got string
					err := reader.QueryRow(ctx, "select v from item where id = $1 /*request='item.read'*/", i).Scan(&got)
					if err != nil || got != want {
						t.Fatalf("got %q and %v, want %q", got, err, want)
					}
				}
			}
			if got := s.all[0].Statements().Reads; got != 0 {
				t.Errorf("got %d reads at the primary, want 0", got)
			}
		})
	}
}

// TestReadThatWrites passes the replica's refusal on.
func TestReadThatWrites(t *testing.T) {
	h := newHarness(t, newStandins(t).seams)
	c := h.dial(pgx.QueryExecModeExec)
	_, err := c.Exec(context.Background(), "insert into item (id, v) values (1, 'x') /*request='item.read'*/")
	if got := codeOf(err); got != "25006" {
		t.Errorf("got %q, want 25006", got)
	}
}

func TestRolledBackIsGone(t *testing.T) {
	s := newStandins(t)
	h := newHarness(t, s.seams)
	ctx := context.Background()
	c := h.dial(pgx.QueryExecModeExec)
	for _, sql := range []string{
		"begin", "insert into item (id, v) values (1, 'x')", "rollback",
		"begin", "insert into item (id, v) values (2, 'y')", "commit",
	} {
		if _, err := c.Exec(ctx, sql); err != nil {
			t.Fatalf("got %v on %q, want none", err, sql)
		}
	}
	rows, err := s.all[0].Rows(ctx, "select id from item")
	if err != nil || len(rows) != 1 || rows[0][0] != "2" {
		t.Errorf("got %v and %v, want only item 2", rows, err)
	}
}
