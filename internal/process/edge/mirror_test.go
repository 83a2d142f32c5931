package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/request/placement"
)

// startMirrored starts n daemons and returns those that read the store for others, and the others.
func (e *testEnv) startMirrored(n int) (mirrors, others []*daemon) {
	var all []*daemon
	for i := range n {
		all = append(all, e.start(fmt.Sprint("front-", i)))
	}
	for _, d := range all {
		e.eventually("daemons list each other", func() bool { return len(*d.peers.list.Load()) == n })
		if _, role := d.mirrorRole(); role == placement.RootMirror {
			mirrors = append(mirrors, d)
		} else {
			others = append(others, d)
		}
	}
	return mirrors, others
}

func (e *testEnv) awaitConfig(version uint64, daemons []*daemon) {
	e.t.Helper()
	for _, d := range daemons {
		e.eventually(fmt.Sprintf("version %d is applied on %s", version, d.id), func() bool {
			return uint64(d.view.Load().config.Version) == version
		})
	}
}

func TestOtherDaemonsReadFromMirrors(t *testing.T) {
	env := newTestEnv(t)
	mirrors, others := env.startMirrored(7)
	if len(mirrors) != 2 {
		t.Fatalf("got %d daemons that read the store for others, want 2", len(mirrors))
	}
	time.Sleep(2500 * time.Millisecond) // lets watches end that began before the daemons listed each other
	before := make(map[*daemon]uint64)
	for _, d := range others {
		before[d] = d.calls.Watches.Load() + d.calls.Lists.Load()
	}
	env.store.Set("config", "main", testConfig(9, false))
	env.awaitConfig(9, append(mirrors, others...))
	env.store.Delete("servers", "g-1")
	for _, d := range others {
		env.eventually("a target without an entry is removed", func() bool { return d.view.Load().findTarget("g", "g-1") == nil })
		// Each daemon lists the daemons itself, which costs a tenth of another call.
		if got := d.calls.Watches.Load() + d.calls.Lists.Load() - before[d]; got > 2 {
			t.Errorf("%s: got %d watches and lists of the store, want at most 2", d.id, got)
		}
	}
}

func TestDaemonsReadTheStoreWhenMirrorsStop(t *testing.T) {
	env := newTestEnv(t)
	mirrors, others := env.startMirrored(7)
	for _, d := range mirrors {
		d.stop()
	}
	env.store.Set("config", "main", testConfig(9, false))
	env.awaitConfig(9, others)
	env.store.Set("config", "main", testConfig(12, true))
	env.awaitConfig(12, others)
}
