package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/promotion"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform/standin"
)

// claim returns the stored claim of the group, or the zero claim.
func (e *testEnv) claim() claim {
	var c claim
	if text := e.store.Text("cactusfork-claims", "g"); text != "" {
		if err := json.Unmarshal([]byte(text), &c); err != nil {
			e.t.Errorf("claim %q: %v", text, err)
		}
	}
	return c
}

// secondTermWrites are the writes that beginSecondTerm has acknowledged.
var secondTermWrites = []string{"a 1", "a 2", "a 3"}

// beginSecondTerm has the daemon replace the primary by a replica that holds more than the other one, writes in that term, and returns the
// targets: the first primary, which is unreachable, the second one, and the lagging replica, which has log of the first term only.
func (e *testEnv) beginSecondTerm(d *daemon) (first, second, lagging *standin.Target) {
	e.t.Helper()
	first, second, lagging = e.group.Targets[0], e.group.Targets[1], e.group.Targets[2]
	e.writeUntilAcknowledged(d, "a 1")
	lagging.SetReplicationPaused(true)
	e.writeUntilAcknowledged(d, "a 2")
	setUnreachable(first, true)
	e.writeUntilAcknowledged(d, "a 3")
	if got := e.group.Primary(); got != second {
		e.t.Fatalf("got %v as the second primary, want %s", got, second.ID)
	}
	return first, second, lagging
}

// keepsSecondTerm makes the second primary unreachable and the first one reachable again, and checks that no target of the first term
// is promoted until the second primary is back, and that the writes are kept. If lapsed is true, the second primary has no entry meanwhile.
func (e *testEnv) keepsSecondTerm(first, second *standin.Target, lapsed bool, writes []string, daemons func() []*daemon) {
	e.t.Helper()
	setUnreachable(second, true)
	if lapsed {
		e.store.DeleteTarget(second.ID)
	}
	setUnreachable(first, false)
	running := daemons()
	for _, d := range running {
		d.writeInBackground()
	}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got := e.group.Primary(); got != second {
			e.t.Fatalf("got %s promoted with %q, want none, as %s holds a newer term", got.ID, got.Log(), second.ID)
		}
	}
	setUnreachable(second, false)
	e.group.WriteEntries()
	for _, d := range running {
		e.writeUntilAcknowledged(d, "a 9")
	}
	for _, want := range append(writes, "a 9") {
		if got := e.group.Primary().Log(); !slices.Contains(got, want) {
			e.t.Errorf("got log %q, want %q in it", got, want)
		}
	}
}

// end stops a daemon and waits for its end.
func (d *daemon) end() {
	d.t.Helper()
	d.stop()
	select {
	case err := <-d.done:
		d.done <- err
	case <-time.After(testTimeout):
		d.t.Fatal("daemon did not stop within the test's time-out")
	}
}

// Guards against the promotion of a target of an earlier term by a daemon that has just started and has not seen the newest one.
func TestTermForgottenAtStartup(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	d := env.start("front-1")
	first, second, _ := env.beginSecondTerm(d)
	d.end()
	env.keepsSecondTerm(first, second, true, secondTermWrites, func() []*daemon { return []*daemon{env.start("front-2"), env.start("front-3")} })
}

// cutter forwards connections to an address until it is cut, which closes them and refuses further ones.
type cutter struct {
	to      string
	address string
	mu      sync.Mutex
	cut     bool
	conns   []net.Conn
}

func newCutter(t *testing.T, to string) *cutter {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	c := &cutter{to: to, address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.forward(conn)
		}
	}()
	return c
}

func (c *cutter) forward(in net.Conn) {
	defer func() { _ = in.Close() }()
	out, err := net.Dial("tcp", c.to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	c.mu.Lock()
	c.conns = append(c.conns, in, out)
	cut := c.cut
	c.mu.Unlock()
	if cut {
		return
	}
	go func() {
		_, _ = io.Copy(out, in) // ends with one of the connections
		_ = out.Close()
	}()
	_, _ = io.Copy(in, out) // ends with one of the connections
}

func (c *cutter) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	if cut {
		for _, conn := range c.conns {
			_ = conn.Close()
		}
		c.conns = nil
	}
}

// Guards against the same by a daemon that was cut off from the store and from the targets while the newest term began.
func TestTermForgottenDuringAPartition(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	d := env.start("front-1")
	stores := newCutter(t, env.store.Address())
	var cut atomic.Bool
	cutOff := env.startWith("front-2", zap.NewNop(), func(set *Settings) { set.Platform.StoreAddress = stores.address }, func(d *Daemon) {
		control := d.targetDialer.Control
		d.targetDialer.Control = func(network, address string, c syscall.RawConn) error {
			if cut.Load() {
				return errors.New("cut off")
			}
			if control == nil {
				return nil
			}
			return control(network, address, c)
		}
	})
	env.eventually("the first term is known", func() bool {
		_, _ = cutOff.provePrimary(t.Context(), "g", cutOff.view.Load().findTarget("g", "g-0"))
		return cutOff.knownTerm("g").Term == 1
	})
	cut.Store(true)
	for _, target := range cutOff.view.Load().groups["g"].targets {
		target.pool.Purge(cutOff.clk.Now() + 1)
	}
	stores.set(true)
	first, second, _ := env.beginSecondTerm(d)
	if got := cutOff.knownTerm("g").Term; got != 1 {
		t.Fatalf("got term %d known to the daemon that is cut off, want 1", got)
	}
	d.end()
	env.keepsSecondTerm(first, second, false, secondTermWrites, func() []*daemon {
		cut.Store(false)
		stores.set(false)
		return []*daemon{cutOff}
	})
}

// Guards against the same after the store was restored from a copy of before the newest term.
func TestTermForgottenAtARestore(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	copied := env.store.Copy()
	env.advanceRevision()
	d := env.start("front-1")
	witness := env.start("front-2")
	first, second, _ := env.beginSecondTerm(d)
	env.writeUntilAcknowledged(witness, "a 3")
	d.end()
	env.restore(copied, env.group.WriteEntries)
	env.eventually("the newest term is recorded again", func() bool { return env.claim().Term == 2 })
	witness.end()
	env.keepsSecondTerm(first, second, true, secondTermWrites, func() []*daemon { return []*daemon{env.start("front-3")} })
}

// Guards against a promotion by a record that a restore has set back, before another daemon has written it back.
func TestRecordOfAnEarlierEraIsNotReliedOnAtOnce(t *testing.T) {
	tests := []struct {
		name       string
		era        store.Era
		now        clock.Millis
		want       bool
		notReached bool
	}{
		{"written in this era", 2, 10_001, true, false},
		{"written before the restore, at once", 1, 10_001, false, false},
		{"written before the restore, later", 1, 12_000, true, false},
		{"never written, at once", 0, 11_999, false, false},
		{"never written, later", 0, 12_000, true, false},
		{"store not reached yet", 1, 20_000, false, true},
	}
	for _, tt := range tests {
		r := newTermRecord()
		if !tt.notReached {
			r.beginEra(5000, false)
			r.beginEra(10_000, true)
			r.beginEra(11_000, false)
		}
		if got := r.reliable(tt.era, 2, tt.now); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}

// Guards against a group that gets no primary again after all targets that held the newest term are lost for good, and against a loss of
// commits that is not reported.
func TestNewestTargetsPermanentlyLost(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	d := env.start("front-1")
	first, second, lagging := env.beginSecondTerm(d)
	d.end()
	core, lines := observer.New(zap.WarnLevel)
	second.Crash()
	env.store.DeleteTarget(second.ID)
	setUnreachable(first, false)
	lostAt := time.Now()
	started := env.startWith("front-2", zap.New(core), func(*Settings) {}, func(*Daemon) {})
	started.writeInBackground()
	for env.group.Primary() != first {
		if got := env.group.Primary(); got == lagging {
			t.Fatalf("got %s promoted with %q, want the one that holds more", got.ID, got.Log())
		}
		if time.Since(lostAt) > 4*testTimeout {
			t.Fatal("got no primary again, want the target that holds most")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if got, want := time.Since(lostAt), started.promotion.Lost.Duration(); got < want {
		t.Errorf("got a target of the earlier term promoted after %v, want at least %v", got, want)
	}
	env.writeUntilAcknowledged(started, "a 5")
	found := lines.FilterMessage("promoting target of an earlier term, commits may be lost").All()
	if len(found) != 1 {
		t.Fatalf("got %d log lines of the loss, want 1", len(found))
	}
	fields := found[0].ContextMap()
	if got, want := fields["lost-holders"], []promotion.Holder{{ID: "g-1", StartedAt: 1700000000000}}; !slices.Equal(got.([]promotion.Holder), want) {
		t.Errorf("got lost holders %v, want %v", got, want)
	}
	if fields["group"] != "g" || fields["target"] != "g-0" || fields["newest-term"] != uint64(2) {
		t.Errorf("got fields %v, want the group, the target and term 2", fields)
	}
	counter, _ := started.meter.registry.Get("promotions-of-earlier-terms").(metrics.Counter)
	if counter == nil || counter.Count() != 1 {
		t.Errorf("got counter %v, want 1", counter)
	}
	env.eventually("the record names the new term", func() bool {
		c := env.claim()
		return !c.Open && c.Term == 3 && len(c.Holders) == 1 && c.Holders[0].ID == "g-0"
	})
}

// Guards against a promotion that got no answer, was executed later, and is followed by a promotion of a target of the term before.
func TestUnansweredPromotionThatIsExecutedLater(t *testing.T) {
	for _, closed := range []bool{true, false} {
		t.Run(fmt.Sprint("claim closed ", closed), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			d := env.start("front-1")
			first, second, lagging := env.group.Targets[0], env.group.Targets[1], env.group.Targets[2]
			env.writeUntilAcknowledged(d, "a 1")
			lagging.SetReplicationPaused(true)
			env.writeUntilAcknowledged(d, "a 2")
			promoted := env.store.Promote
			requested := make(chan string, 16)
			env.store.Promote = func(_, id string) int {
				requested <- id
				return http.StatusOK // it is executed below
			}
			setUnreachable(first, true)
			d.writeInBackground()
			select {
			case id := <-requested:
				if id != second.ID {
					t.Fatalf("got the promotion of %s requested, want that of %s", id, second.ID)
				}
			case <-time.After(testTimeout):
				t.Fatal("got no promotion requested, want one")
			}
			if closed {
				env.eventually("the claim is closed with the promotion pending", func() bool {
					c := env.claim()
					return !c.Open && c.Unsettled && len(c.Pending) == 1 && c.Pending[0].ID == "g-1"
				})
			}
			env.store.SetFault(func(*http.Request) standin.Fault { return standin.Fault{Status: http.StatusServiceUnavailable} })
			d.end()
			env.store.SetFault(nil)
			if c := env.claim(); c.Open == closed {
				t.Fatalf("got claim %+v, want it closed %t", c, closed)
			}
			env.store.Promote = promoted
			if got := promoted("g", second.ID); got != http.StatusOK {
				t.Fatalf("got status %d, want the promotion executed", got)
			}
			env.keepsSecondTerm(first, second, true, nil, func() []*daemon { return []*daemon{env.start("front-2")} })
		})
	}
}

// Guards against calls to the store that the record of the newest term costs while nothing fails, and in a change of primary.
func TestRecordOfTheNewestTermCostsNoCalls(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	var mu sync.Mutex
	var claims []string
	env.store.SetFault(func(r *http.Request) standin.Fault {
		if strings.Contains(r.URL.Path, "cactusfork-claims") {
			mu.Lock()
			claims = append(claims, r.Method)
			mu.Unlock()
		}
		return standin.Fault{}
	})
	d := env.start("front-1")
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := d.connect("entries").query("WRITE a 1"); !standin.Completed(got) {
			t.Fatalf("got %q, want a success", got)
		}
	}
	if gets, puts := d.calls.Gets.Load(), d.calls.Puts.Load(); gets != 0 || puts != 1 {
		t.Errorf("got %d reads and %d writes of single objects, want 0 and 1, that of the daemon's entry", gets, puts)
	}
	env.group.Primary().Crash()
	env.writeUntilAcknowledged(d, "a 2")
	env.eventually("the change has ended", func() bool { c := env.claim(); return c.Holder != "" && !c.Open })
	mu.Lock()
	defer mu.Unlock()
	if want := []string{"GET", "POST", "PUT"}; !slices.Equal(claims, want) {
		t.Errorf("got calls %v for the claim, want %v", claims, want)
	}
}

// Guards against a claim that loses the newest term as daemons take and close it, or that an earlier release cannot read.
func TestClaimsCarryTheNewestTermOver(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.store.Set("cactusfork-claims", "g", `{"holder":"front-9","open":false,"term":7,"term-holders":[{"id":"g-9","started-at":5}]}`)
	d := env.start("front-1")
	for range 2 {
		c, err := d.takeClaim(t.Context(), "g")
		if err != nil {
			t.Fatal(err)
		}
		for _, open := range []bool{true, false} {
			if got := env.claim(); got.Open != open || got.Term != 7 || len(got.Holders) != 1 || got.Holders[0].ID != "g-9" {
				t.Errorf("got claim %+v, want open %t with term 7 and its holder", got, open)
			}
			if open {
				d.closeClaim(t.Context(), "g", &c)
			}
		}
	}
	var earlier struct {
		Holder          string
		Open, Unsettled bool
	}
	if err := json.Unmarshal([]byte(env.store.Text("cactusfork-claims", "g")), &earlier); err != nil || earlier.Holder != "front-1" || earlier.Open || earlier.Unsettled {
		t.Errorf("got %+v, %v as an earlier release reads it, want a closed claim of front-1", earlier, err)
	}
}
