package target_test

import (
	"context"
	"errors"
	"testing"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	standin "github.com/cactusfork/cactusfork/internal/standin/target"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// startNetwork starts three stand-in targets, of which a is primary at term 1.
func startNetwork(t *testing.T) map[group.TargetID]*standin.Target {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	n := standin.NewNetwork(clock.System())
	all := map[group.TargetID]*standin.Target{}
	for _, id := range []group.TargetID{"a", "b", "c"} {
		s, err := n.Start(ctx, standin.Config{ID: id})
		if err != nil {
			t.Fatal(err)
		}
		all[id] = s
	}
	if err := n.Bootstrap(ctx, "a", 1, "create table item (id integer primary key, v text)"); err != nil {
		t.Fatal(err)
	}
	return all
}

func dial(t *testing.T, s *standin.Target) *target.Conn {
	t.Helper()
	c, err := target.Dial(context.Background(), target.Address{HostPort: s.Address(), User: "proxy", Database: "shop"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func TestOrders(t *testing.T) {
	all := startNetwork(t)
	primary := group.Target{ID: "b", Address: all["b"].Address()}
	tests := []struct {
		name     string
		targetID group.TargetID
		order    group.Order
		promise  position.Term
		refused  bool
	}{
		{"fence", "b", group.Order{Kind: group.Fence, Term: 5, Holder: "one"}, 5, false},
		{"fence again", "b", group.Order{Kind: group.Fence, Term: 5, Holder: "one"}, 5, false},
		{"same term from another", "b", group.Order{Kind: group.Fence, Term: 5, Holder: "two"}, 5, true},
		{"lower term", "b", group.Order{Kind: group.Fence, Term: 4, Holder: "one"}, 5, true},
		{"promote", "b", group.Order{Kind: group.Promote, Term: 5, Holder: "one"}, 5, false},
		{"follow", "c", group.Order{Kind: group.Follow, Term: 5, Holder: "one", Primary: primary}, 5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := dial(t, all[tt.targetID])
			got, err := c.Order(context.Background(), tt.order)
			var outranked *target.OutrankedError
			if refused := errors.As(err, &outranked); refused != tt.refused || err != nil && !refused {
				t.Fatalf("got error %v, want refused %v", err, tt.refused)
			}
			if tt.refused && (outranked.Promise != 5 || outranked.Holder != "one") {
				t.Errorf("got %v, want term 5 of one", outranked)
			}
			if got.Promise != tt.promise {
				t.Errorf("got promise %d, want %d", got.Promise, tt.promise)
			}
			if !c.Broken() {
				t.Error("got an open connection after an order, want it closed")
			}
		})
	}
	if t.Failed() {
		return
	}
	waitFor(t, all["b"], func(s group.Status) bool { return s.Primary })
	waitFor(t, all["c"], func(s group.Status) bool { return s.Following == "b" })
}

// waitFor requests the status until it meets the condition; only the test's time limit ends it.
func waitFor(t *testing.T, s *standin.Target, condition func(group.Status) bool) {
	t.Helper()
	c := dial(t, s)
	for {
		got, err := c.Status(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if condition(got) {
			return
		}
	}
}

// TestOrderWhileLocked checks that an order fails and changes nothing while another session holds the order lock.
func TestOrderWhileLocked(t *testing.T) {
	all := startNetwork(t)
	other := dial(t, all["b"])
	if err := other.Run(context.Background(), target.LockQuery); err != nil {
		t.Fatal(err)
	}
	_, err := dial(t, all["b"]).Order(context.Background(), group.Order{Kind: group.Fence, Term: 9, Holder: "one"})
	if !errors.Is(err, target.ErrLocked) {
		t.Errorf("got %v, want ErrLocked", err)
	}
	if got := all["b"].Status().Promise; got == 9 {
		t.Errorf("got promise %d, want it unchanged", got)
	}
}

func TestPosition(t *testing.T) {
	all := startNetwork(t)
	c := dial(t, all["a"])
	before, err := c.Position(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Run(context.Background(), "insert into item values (1, 'x')"); err != nil {
		t.Fatal(err)
	}
	after, err := c.Position(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if !before.Primary || !before.Applied.Before(after.Applied) {
		t.Errorf("got %v and then %v, want a primary whose position advances", before, after)
	}
}

// TestPromotePrimaryToNewTerm checks that a target that is still primary of an earlier term steps down first, since it would ignore the promotion otherwise.
func TestPromotePrimaryToNewTerm(t *testing.T) {
	all := startNetwork(t)
	a := all["a"]
	before := a.Status().Received
	self := group.Target{ID: "a", Address: a.Address()}
	fence := group.Order{Kind: group.Fence, Term: 2, Holder: "d"}
	if _, err := dial(t, a).Order(context.Background(), fence); err != nil {
		t.Fatal(err)
	}
	promote := group.Order{Kind: group.Promote, Term: 2, Holder: "d", Primary: self}
	if _, err := dial(t, a).Order(context.Background(), promote); err != nil {
		t.Fatal(err)
	}
	waitFor(t, a, func(s group.Status) bool { return s.Primary && s.Received.Term == 2 })
	if got, want := a.Status().Received.Position, before.Position; got <= want {
		t.Errorf("got position %d, want past %d", got, want)
	}
	rows, err := a.Rows(context.Background(), "select count(*) from item")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := rows[0][0], "0"; got != want {
		t.Errorf("got %s rows, want %s: the table has to survive the promotion", got, want)
	}
}

// TestNoFenceDuringPromotion checks that a fence takes effect before a promotion or after its completion, never in between.
func TestNoFenceDuringPromotion(t *testing.T) {
	all := startNetwork(t)
	b := all["b"]
	b.SetLag(clock.Second)
	ctx := context.Background()
	if _, err := dial(t, b).Order(ctx, group.Order{Kind: group.Fence, Term: 2, Holder: "d"}); err != nil {
		t.Fatal(err)
	}
	promote := group.Order{Kind: group.Promote, Term: 2, Holder: "d", Primary: group.Target{ID: "b", Address: b.Address()}}
	done := make(chan error, 1)
	go func() {
		_, err := dial(t, b).Order(ctx, promote)
		done <- err
	}()
	for {
		s, err := dial(t, b).Order(ctx, group.Order{Kind: group.Fence, Term: 3, Holder: "e"})
		if errors.Is(err, target.ErrLocked) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		promoted := <-done
		if wroteTerm := s.Received.Term == 2; wroteTerm != s.Primary {
			t.Errorf("got primary %v with log term %d in the reply to a fence, want the promotion complete or not begun", s.Primary, s.Received.Term)
		}
		if !s.Primary && promoted == nil {
			t.Error("got a promotion that succeeded after a fence of a higher term, want it outranked")
		}
		return
	}
}
