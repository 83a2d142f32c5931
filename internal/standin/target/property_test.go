package target

import (
	"context"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	dialect "github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// applySettings stages and reloads the settings of a target, as a control session does, and starts a promotion on request.
func applySettings(tg *Target, term position.Term, upstream group.TargetID, promote bool) {
	tg.network.mu.Lock()
	defer tg.network.mu.Unlock()
	tg.staged = settings{term: term, holder: "d", upstream: upstream}
	tg.reload(nil)
	if promote {
		promoteRow(tg, nil)
	}
}

// TestTargetsConverge runs writes, faults and changes of primary in random order and expects equal rows on all targets after healing.
func TestTargetsConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		n := NewNetwork(clock.System())
		var tg []*Target
		for _, id := range []group.TargetID{"a", "b", "c"} {
			started, err := n.Start(ctx, Config{ID: id})
			if err != nil {
				r.Fatal(err)
			}
			tg = append(tg, started)
		}
		if err := n.Bootstrap(ctx, "a", 1, schema); err != nil {
			r.Fatal(err)
		}
		term := position.Term(1)
		for step := range rapid.IntRange(1, 20).Draw(r, "steps") {
			one := tg[rapid.IntRange(0, 2).Draw(r, "one")]
			other := tg[rapid.IntRange(0, 2).Draw(r, "other")]
			switch rapid.IntRange(0, 7).Draw(r, "action") {
			case 0, 1, 2:
				write(ctx, r, one, step)
			case 3:
				n.Cut(one.ID(), other.ID())
			case 4:
				n.Heal()
			case 5:
				term++
				applySettings(one, term, "", true)
				waitFor(ctx, r, func() bool { return one.Status().Primary })
			case 6:
				if one != other {
					applySettings(one, term, other.ID(), false)
				}
			case 7:
				one.Crash()
				if err := one.Restart(ctx); err != nil {
					r.Fatal(err)
				}
			}
		}
		n.Heal()
		applySettings(tg[0], term+1, "", true)
		waitFor(ctx, r, func() bool { return tg[0].Status().Primary })
		applySettings(tg[1], term+1, "a", false)
		applySettings(tg[2], term+1, "a", false)
		want, _ := tg[0].Rows(ctx, selectIDs)
		for _, follower := range tg[1:] {
			waitFor(ctx, r, hasCaughtUp(follower, tg[0]))
			got, err := follower.Rows(ctx, selectIDs)
			if err != nil || !reflect.DeepEqual(got, want) {
				r.Fatalf("%s: got %v, %v, want %v", follower.ID(), got, err, want)
			}
		}
	})
}

// write inserts a row, which has to succeed on a primary only, and checks that the reported position covers the write.
func write(ctx context.Context, r *rapid.T, tg *Target, id int) {
	c, err := connect(ctx, tg)
	if err != nil {
		r.Fatal(err)
	}
	defer c.Close(ctx)
	before := tg.Status()
	_, err = c.Exec(ctx, fmt.Sprintf("INSERT INTO item (id) VALUES (%d)", id))
	if (err == nil) != before.Primary {
		r.Fatalf("got %v on primary %v", err, before.Primary)
	}
	res, err := c.PgConn().Exec(ctx, dialect.PositionQuery).ReadAll()
	if err != nil {
		r.Fatal(err)
	}
	if got := fmt.Sprintf("%s/%s", res[0].Rows[0][1], res[0].Rows[0][2]); before.Primary && got != tg.Status().Received.String() {
		r.Fatalf("got position %s, want %s", got, tg.Status().Received)
	}
}

func waitFor(ctx context.Context, r *rapid.T, ok func() bool) {
	if !poll(ctx, ok) {
		r.Fatal(ctx.Err())
	}
}
