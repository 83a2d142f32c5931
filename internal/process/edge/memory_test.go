package edge

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func newBoundedDaemon(limits LimitSettings, log *zap.Logger) *Daemon {
	return New("", &Settings{Limits: limits, Platform: PlatformSettings{StoreAddress: "127.0.0.1:1", DutyAddress: "127.0.0.1:1"}}, clock.System(), log)
}

// Guards against a log line for each caller of a load, and against rejections that are not counted.
func TestRejectionsAreCountedAndLoggedAtABoundedRate(t *testing.T) {
	var out bytes.Buffer
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&out), zap.InfoLevel))
	d := newBoundedDaemon(LimitSettings{Memory: 136, Descriptors: 3000}, log)
	for range 100 {
		d.reportRejection("sessions", 0)
	}
	d.reportRejection("memory-stalled", 5)
	if got := strings.Count(out.String(), "caller rejected"); got != 2 {
		t.Errorf("got %d log lines, want one of each kind", got)
	}
	if got := metrics.GetOrRegisterCounter("rejected-sessions", d.meter.registry).Count(); got != 100 {
		t.Errorf("got %d rejections counted, want 100", got)
	}
}

// Guards against limits that callers within the descriptors reach, and against connections to home daemons that exceed the descriptors.
func TestSessionsAndHomesStayWithinTheDescriptors(t *testing.T) {
	tests := []struct{ memory, descriptors, sessions, want int }{
		{136, 3000, 0, 2300}, {284, 4300, 0, 3600}, {536, 8200, 0, 7500}, {136, 8200, 0, 2611}, {536, 256, 0, 1}, {536, 8200, 10, 10},
	}
	for _, tt := range tests {
		d := newBoundedDaemon(LimitSettings{Memory: tt.memory, Descriptors: tt.descriptors, Sessions: tt.sessions}, zap.NewNop())
		if got := d.bounds.limits.Sessions; got != tt.want {
			t.Errorf("%d MB and %d descriptors: got %d sessions, want %d", tt.memory, tt.descriptors, got, tt.want)
		}
	}
	d := newBoundedDaemon(LimitSettings{Memory: 136, Descriptors: 3000, Sessions: 2}, zap.NewNop())
	w := link.Wire{Close: func() error { return nil }}
	d.countHome(&w)
	if !d.hasRoomForHome() {
		t.Error("got no room for a second home, want room")
	}
	second := link.Wire{Close: func() error { return nil }}
	d.countHome(&second)
	if d.hasRoomForHome() {
		t.Error("got room for a third connection of two, want none")
	}
	for range 2 {
		_ = w.Close()
	}
	if got := d.bounds.homes.Load(); got != 1 {
		t.Errorf("got %d homes behind two closes of one, want 1", got)
	}
}
