package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/internal/request/placement"
)

// mirrored starts so many daemons that a few read the store for all, and returns those few and the others.
func (w *world) mirrored(n int) (reading, others []*daemon) {
	var all []*daemon
	for i := range n {
		all = append(all, w.start(fmt.Sprint("front-", i)))
	}
	for _, d := range all {
		w.eventually("daemons know each other", func() bool { return len(*d.peers.list.Load()) == n })
		if _, role := d.mirror(); role == placement.ForOthers {
			reading = append(reading, d)
		} else {
			others = append(others, d)
		}
	}
	return reading, others
}

func (w *world) inForce(version uint64, daemons []*daemon) {
	w.t.Helper()
	for _, d := range daemons {
		w.eventually(fmt.Sprintf("version %d is in force on %s", version, d.id), func() bool {
			return uint64(d.view.Load().config.Version) == version
		})
	}
}

func TestAFewDaemonsReadTheStoreForAll(t *testing.T) {
	w := newWorld(t)
	reading, others := w.mirrored(7)
	if len(reading) != 2 {
		t.Fatalf("got %d daemons that read for others, want 2", len(reading))
	}
	time.Sleep(2500 * time.Millisecond) // watches that began before the daemons knew each other end
	before := make(map[*daemon]uint64)
	for _, d := range others {
		before[d] = d.calls.Watches.Load() + d.calls.Lists.Load()
	}
	w.store.Set("config", "main", config(9, false))
	w.inForce(9, append(reading, others...))
	w.store.Delete("servers", "g-1")
	for _, d := range others {
		w.eventually("a lapsed entry is dropped", func() bool { return d.view.Load().findTarget("g", "g-1") == nil })
		// The list of daemons is read by each, at a tenth of the price.
		if got := d.calls.Watches.Load() + d.calls.Lists.Load() - before[d]; got > 2 {
			t.Errorf("%s: got %d calls to the store, want 2 at most", d.id, got)
		}
	}
}

func TestDaemonsGoOnWithoutTheirMirrors(t *testing.T) {
	w := newWorld(t)
	reading, others := w.mirrored(7)
	for _, d := range reading {
		d.stop()
	}
	w.store.Set("config", "main", config(9, false))
	w.inForce(9, others)
	w.store.Set("config", "main", config(12, true))
	w.inForce(12, others)
}
