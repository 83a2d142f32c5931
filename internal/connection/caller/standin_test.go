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

// standinGroup is a group of stand-in database servers with real replication, of which a is the primary.
type standinGroup struct {
	members []*standin.Target
	pools   map[group.TargetID]*target.Pool
}

func newStandinGroup(t *testing.T) *standinGroup {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n := standin.NewNetwork(clock.System())
	s := &standinGroup{pools: map[group.TargetID]*target.Pool{}}
	for _, id := range []group.TargetID{"a", "b", "c"} {
		member, err := n.Start(ctx, standin.Config{ID: id})
		if err != nil {
			t.Fatal(err)
		}
		s.members = append(s.members, member)
		p := target.NewPool(target.Address{HostPort: member.Address(), User: "proxy", Database: "shop"},
			target.PoolConfig{Maximum: 8, Clock: clock.System()})
		t.Cleanup(p.Close)
		s.pools[id] = p
	}
	if err := n.Bootstrap(ctx, "a", 1, "create table item (id integer primary key, v text)"); err != nil {
		t.Fatal(err)
	}
	return s
}

// waitFor waits until n members meet the condition and returns the last of them.
func (s *standinGroup) waitFor(ctx context.Context, n int, condition func(group.Status) bool) (*standin.Target, error) {
	for ctx.Err() == nil {
		found := 0
		for _, member := range s.members {
			if condition(member.Status()) {
				found++
			}
			if found == n {
				return member, nil
			}
		}
	}
	return nil, ctx.Err()
}

func (s *standinGroup) configure(_ *Config, deps *Dependencies) {
	deps.Confirm = func(ctx context.Context, _ group.ID, p position.Point) error {
		_, err := s.waitFor(ctx, 2, func(st group.Status) bool { return st.Received.Reaches(p) })
		return err
	}
	deps.Floor = func(context.Context, group.ID) (position.Point, error) { return s.members[0].Status().Applied, nil }
	deps.Acquire = func(ctx context.Context, _ *service.Service, n route.Need, _ AcquireOptions) (*Lease, error) {
		write := n.Request.Kind == service.Write
		member, err := s.waitFor(ctx, 1, func(st group.Status) bool {
			return st.Primary == write && st.Applied.Reaches(n.Floor)
		})
		if err != nil {
			return nil, err
		}
		p := s.pools[member.ID()]
		c, err := p.Get(ctx)
		if err != nil {
			return nil, err
		}
		return &Lease{Conn: c, Target: member.ID(), Primary: write, Term: 1, Release: func(bool, Outcome) { p.Put(c) }}, nil
	}
}

// TestReadYourWrites writes at the primary and reads the row from replicas, on the same connection and on another one with the token.
func TestReadYourWrites(t *testing.T) {
	ctx := context.Background()
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			s := newStandinGroup(t)
			h := newHarness(t, s.configure)
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
			if got := s.members[0].Statements().Reads; got != 0 {
				t.Errorf("got %d reads at the primary, want 0", got)
			}
		})
	}
}

// TestReadThatWrites checks that a write that is declared as a read fails with the replica's error.
func TestReadThatWrites(t *testing.T) {
	h := newHarness(t, newStandinGroup(t).configure)
	c := h.dial(pgx.QueryExecModeExec)
	_, err := c.Exec(context.Background(), "insert into item (id, v) values (1, 'x') /*request='item.read'*/")
	if got := codeOf(err); got != "25006" {
		t.Errorf("got %q, want 25006", got)
	}
}

func TestRolledBackRowsAreAbsent(t *testing.T) {
	s := newStandinGroup(t)
	h := newHarness(t, s.configure)
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
	rows, err := s.members[0].Rows(ctx, "select id from item")
	if err != nil || len(rows) != 1 || rows[0][0] != "2" {
		t.Errorf("got %v and %v, want only item 2", rows, err)
	}
}
