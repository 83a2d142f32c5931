package edge

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/promotion"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform/standin"
)

// unanswered makes a target leave the first command of a kind unanswered, and carry it out once the returned function is called.
func unanswered(t *standin.Target, verb string) (carryOut func()) {
	begin := make(chan struct{})
	var met atomic.Bool
	t.SetLate(func(v string) <-chan struct{} {
		if v != verb || met.Swap(true) {
			return nil
		}
		return begin
	})
	return func() { close(begin) }
}

// duringPromotion has f called when the first promotion is requested, before it is carried out.
func (e *testEnv) duringPromotion(f func(id string)) {
	var requested atomic.Bool
	promote := e.store.Promote
	e.store.Promote = func(service, id string) int {
		if !requested.Swap(true) {
			f(id)
		}
		return promote(service, id)
	}
}

// Guards against a commit that is acknowledged between the choice of a successor, which lacks it, and the promotion, as a RESUME of an
// earlier attempt got no answer and ends the pause of the other replica.
func TestLateResumeDoesNotUndoAPause(t *testing.T) {
	t.Parallel()
	env := newSynchronousEnv(t)
	primary := env.group.Targets[0]
	d := env.start("front-1")
	env.awaitHolders(d, "g-0 g-1 g-2")
	// The first attempt fails, as one replica does not answer its PAUSE. The other one does not answer the RESUME that follows.
	unanswered(env.group.Targets[1], "PAUSE")
	carryOut := unanswered(env.group.Targets[2], "RESUME")
	address := d.view.Load().findTarget("g", "g-0").meta.Load().Address
	acknowledged := make(chan bool, 1)
	env.duringPromotion(func(string) {
		setUnreachable(primary, false)
		carryOut()
		time.Sleep(100 * time.Millisecond)
		session, _ := standin.Connect(t.Context(), address, "g", 700*time.Millisecond)
		acknowledged <- session != nil && standin.Completed(session.Query("WRITE a 9"))
	})
	d.writeInBackground()
	setUnreachable(primary, true)
	var got bool
	select {
	case got = <-acknowledged:
	case <-time.After(testTimeout):
		t.Fatal("got no promotion requested, want one")
	}
	env.eventually("a replica is promoted", func() bool { p := env.group.Primary(); return p != nil && p != primary })
	if log := env.group.Primary().Log(); got && !slices.Contains(log, "a 9") {
		t.Errorf("got %s promoted with log %q, want the acknowledged \"a 9\" in it", env.group.Primary().ID, log)
	}
}

// Guards against a daemon that relies on pauses which RESUMEs of a daemon that has stopped since may undo.
func TestResumptionsOfAnotherHolderAreWaitedFor(t *testing.T) {
	t.Parallel()
	env := newSynchronousEnv(t)
	d := env.start("front-1")
	env.awaitHolders(d, "g-0 g-1 g-2")
	const left = 4 * time.Second
	env.store.Set("cactusfork-claims", "g", `{"holder":"front-9","resuming":[
		{"id":"g-1","started-at":1700000000000,"left-ms":4000},{"id":"g-2","started-at":1700000000000,"left-ms":4000}]}`)
	wroteAt := time.Now()
	d.writeInBackground()
	setUnreachable(env.group.Targets[0], true)
	env.eventually("a replica is promoted", func() bool { p := env.group.Primary(); return p != nil && p != env.group.Targets[0] })
	if got := time.Since(wroteAt); got < left {
		t.Errorf("got a promotion after %v, want none for %v", got, left)
	}
}

// Guards against a daemon that is suspended while it lets replicas receive again, and goes on when another daemon holds the claim.
func TestSuspendedDaemonResumesNothing(t *testing.T) {
	t.Parallel()
	env := newSynchronousEnv(t)
	var suspended atomic.Int64
	d := env.startWith("front-1", zap.NewNop(), func(*Settings) {}, func(d *Daemon) {
		now := d.clk.Now
		d.clk.Now = func() clock.Millis { return now() + clock.Millis(suspended.Load()) }
	})
	env.awaitHolders(d, "g-0 g-1 g-2")
	woke := make(chan time.Time, 1)
	env.group.Targets[1].SetLate(func(verb string) <-chan struct{} {
		if verb != "RESUME" || !suspended.CompareAndSwap(0, int64(claimTTL+clock.Second)) {
			return nil
		}
		env.store.Set("cactusfork-claims", "g", `{"holder":"front-9","open":true}`)
		woke <- time.Now()
		return make(chan struct{})
	})
	resumed := make(chan time.Time, 64)
	env.group.Targets[2].SetLate(func(verb string) <-chan struct{} {
		if verb == "RESUME" {
			resumed <- time.Now()
		}
		return nil
	})
	d.writeInBackground()
	setUnreachable(env.group.Targets[0], true)
	var at time.Time
	select {
	case at = <-woke:
	case <-time.After(testTimeout):
		t.Fatal("got no RESUME, want one")
	}
	// A RESUME that was on its way as the daemon was suspended arrives at once.
	for end := time.After(time.Second); ; {
		select {
		case r := <-resumed:
			if late := r.Sub(at); late > 200*time.Millisecond {
				t.Errorf("got a RESUME %v after the daemon was suspended, want none", late)
			}
		case <-end:
			return
		}
	}
}

// Guards against orders of a daemon whose claim may be another daemon's by now.
func TestExpiredClaimSendsNoOrders(t *testing.T) {
	t.Parallel()
	env := newSynchronousEnv(t)
	d := env.start("front-1")
	env.awaitHolders(d, "g-0 g-1 g-2")
	var orders atomic.Int64
	for _, target := range env.group.Targets {
		target.SetLate(func(string) <-chan struct{} {
			orders.Add(1)
			return nil
		})
	}
	promote := env.store.Promote
	env.store.Promote = func(service, id string) int {
		orders.Add(1)
		return promote(service, id)
	}
	c, err := d.takeClaim(t.Context(), "g")
	if err != nil {
		t.Fatal(err)
	}
	c.takenAt -= claimTTL
	g := d.view.Load().groups["g"]
	members := make([]promotion.Member, len(g.targets))
	d.pauseReplicas(t.Context(), g, members, 2, &c)
	for i, m := range members {
		if !m.Draining {
			t.Errorf("target %d: got it paused, want it to count as one that did not answer", i)
		}
	}
	if _, err := d.handOver(t.Context(), g, g.targets[1], &c); err == nil {
		t.Error("got a hand-over, want an error")
	}
	if _, err := d.promoteAndWait(t.Context(), g, g.targets[1], &c); !errors.Is(err, errClaimExpired) {
		t.Errorf("got %v, want %v", err, errClaimExpired)
	}
	env.store.Set("cactusfork-claims", "g", `{"holder":"front-9","open":true}`)
	d.resumeReplicas(t.Context(), g, &c, g.targets, true)
	if got := orders.Load(); got != 0 {
		t.Errorf("got %d orders, want none", got)
	}
}

// promotedMeanwhile has the promotion of a target, which another daemon had requested, take effect some time after a daemon that settles it
// asks for that of the present primary.
func (e *testEnv) promotedMeanwhile(id string) (promoted <-chan struct{}) {
	done := make(chan struct{})
	var settled atomic.Bool
	promote := e.store.Promote
	e.store.Promote = func(service, requested string) int {
		if requested == e.group.Targets[0].ID {
			if !settled.Swap(true) {
				time.AfterFunc(600*time.Millisecond, func() {
					promote(service, id)
					close(done)
				})
			}
			return http.StatusOK
		}
		return promote(service, requested)
	}
	return done
}

// Guards against replicas that receive again while a promotion that the platform has accepted before is being carried out.
func TestResumeWaitsForAnAcceptedPromotion(t *testing.T) {
	t.Parallel()
	env := newSynchronousEnv(t)
	d := env.start("front-1")
	env.awaitHolders(d, "g-0 g-1 g-2")
	// A daemon that has stopped has paused the replicas and asked for the promotion of g-1, which receives nothing.
	env.group.Targets[1].SetReplicationPaused(true)
	env.store.Set("cactusfork-claims", "g", `{"holder":"front-9","unsettled":true,"pending":[{"id":"g-1","started-at":1700000000000}]}`)
	for _, id := range []group.TargetID{"g-1", "g-2"} {
		if _, err := d.runCommand(t.Context(), d.view.Load().findTarget("g", id), link.Command{Kind: link.Pause, Term: 2}); err != nil {
			t.Fatal(err)
		}
	}
	promoted := env.promotedMeanwhile("g-1")
	address := d.view.Load().findTarget("g", "g-0").meta.Load().Address
	var acknowledged []string
	n := 0
	env.eventually("the promotion is carried out", func() bool {
		n++
		session, _ := standin.Connect(t.Context(), address, "g", 100*time.Millisecond)
		if data := fmt.Sprintf("a %d", n); session != nil && standin.Completed(session.Query("WRITE "+data)) {
			acknowledged = append(acknowledged, data)
		}
		if session != nil {
			session.Close()
		}
		select {
		case <-promoted:
			return true
		default:
			return false
		}
	})
	for _, data := range acknowledged {
		if log := env.group.Targets[1].Log(); !slices.Contains(log, data) {
			t.Fatalf("got g-1 promoted with log %q, want the acknowledged %q in it", log, data)
		}
	}
}

// Guards against a hand-over that replaces the target of an earlier promotion, which takes effect as the hand-over runs.
func TestHandOverWaitsForAnAcceptedPromotion(t *testing.T) {
	t.Parallel()
	env := newSynchronousEnv(t)
	d := env.start("front-1")
	env.awaitHolders(d, "g-0 g-1 g-2")
	env.store.Set("cactusfork-claims", "g", `{"holder":"front-9","unsettled":true,"pending":[{"id":"g-2","started-at":1700000000000}]}`)
	g := d.view.Load().groups["g"]
	promoted := env.promotedMeanwhile("g-2")
	c, err := d.takeClaim(t.Context(), "g")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.selectSuccessor(t.Context(), g, promotion.HandOver, &c); err == nil {
		t.Error("got a hand-over of a target that is not the primary any more, want an error")
	}
	select {
	case <-promoted:
	default:
		t.Error("got the hand-over ended before the earlier promotion, want it to wait")
	}
	if !c.record.Unsettled {
		t.Error("got the promotion settled, want it unsettled")
	}
}

// Guards against a daemon that relies on pauses though a malformed claim may have named resume commands.
func TestMalformedClaimCountsAllTargetsAsResuming(t *testing.T) {
	t.Parallel()
	env := newSynchronousEnv(t)
	d := env.start("front-1")
	env.store.Set("cactusfork-claims", "g", `{"resuming":7}`)
	c, err := d.takeClaim(t.Context(), "g")
	if err != nil {
		t.Fatal(err)
	}
	for _, target := range d.view.Load().groups["g"].targets {
		if h := target.holder(); !c.resumptions.Pending(h, d.clk.Now()+promotion.MaxCommandDelay-clock.Second) {
			t.Errorf("got no resume command of %s pending, want one", h.ID)
		}
	}
}

// Guards against a change of primary that waits for a resume command of long ago, as the next holder cannot tell how old the record is.
func TestExpiredResumptionsLeaveTheClaim(t *testing.T) {
	t.Parallel()
	env := newSynchronousEnv(t)
	d := env.start("front-1")
	env.awaitHolders(d, "g-0 g-1 g-2")
	c, err := d.takeClaim(t.Context(), "g")
	if err != nil {
		t.Fatal(err)
	}
	const left clock.Millis = 500
	c.resumptions.Add(d.view.Load().findTarget("g", "g-1").holder(), 1, d.clk.Now()-promotion.MaxCommandDelay+left)
	d.closeClaim(t.Context(), "g", &c)
	if got := env.claim().Resuming; len(got) != 1 {
		t.Fatalf("got resume commands %+v recorded, want 1", got)
	}
	env.eventually("the record is cleared", func() bool { got := env.claim(); return !got.Open && len(got.Resuming) == 0 })
}

// Guards against a replica that counts as one that may resume, though no resume command was sent to it or it has refused the command.
func TestOnlyUnansweredResumptionsArePending(t *testing.T) {
	t.Parallel()
	env := newSynchronousEnv(t)
	d := env.start("front-1")
	env.awaitHolders(d, "g-0 g-1 g-2")
	c, err := d.takeClaim(t.Context(), "g")
	if err != nil {
		t.Fatal(err)
	}
	g := d.view.Load().groups["g"]
	unanswered(env.group.Targets[1], "RESUME")
	env.group.Targets[2].Crash()
	d.resumeReplicas(t.Context(), g, &c, g.replicas(), true)
	for id, want := range map[group.TargetID]bool{"g-1": true, "g-2": false} {
		if got := c.resumptions.Pending(g.target(id).holder(), d.clk.Now()); got != want {
			t.Errorf("%s: got a resume command pending %t, want %t", id, got, want)
		}
	}
}
