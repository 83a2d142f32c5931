package relay

import (
	"strings"
	"testing"

	"github.com/cactusfork/cactusfork/internal/connection/memory"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Guards against values and prepared statements whose size has no bound, and against bytes that stay drawn for those that are dropped
// or replaced.
func TestSessionStateIsBounded(t *testing.T) {
	b := newTestBed(t, topology.Strong)
	a := memory.NewAccount(memory.Limits{Bytes: 1 << 20, Stall: clock.Second, Wait: 50}, clock.System(), nil)
	b.session.wire.Memory = a.Open(0, func() {})
	b.session.server.cfg.MaxSetupBytes = 100_000
	large := strings.Repeat("v", 40_000)
	for _, tt := range []struct{ text, want string }{
		{"SET a " + large, "complete, I"},
		{"SET a " + large, "complete, I"},
		{"PREPARE s READ " + large, "complete, I"},
		{"SET b " + large, "too-large, I"},
		{"DEALLOC s", "complete, I"},
		{"SET b " + large, "complete, I"},
		{"SET c 1", "complete, I"},
	} {
		if got := b.exec(tt.text); got != tt.want {
			t.Errorf("%.12s: got %q, want %q", tt.text, got, tt.want)
		}
	}
	want := int64(2*(len("SET a ")+len(large)+setupEntryBytes) + len("SET c 1") + setupEntryBytes)
	if got := a.Used(); got != want {
		t.Errorf("got %d bytes in use, want %d", got, want)
	}
	b.session.server.cfg.MaxSetupBytes = 0
	if got := b.exec("SET d " + strings.Repeat("v", 2<<20)); got != "busy, I" {
		t.Errorf("got %q for more than the account, want it refused as busy", got)
	}
}
