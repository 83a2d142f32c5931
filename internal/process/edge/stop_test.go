package edge

import (
	"strings"
	"testing"
	"time"

	"github.com/cactusfork/cactusfork/platform/standin"
)

// Guards against a stop that cuts off a statement of an open transaction while a target works on it.
func TestStopAnswersEveryStatement(t *testing.T) {
	tests := []struct {
		name string
		// sentAt is when the last statement is sent, counted from the stop, and silent whether its target works on it beyond the stop.
		sentAt     time.Duration
		silent     bool
		statements []string
		want       []string
		wantLog    int
	}{
		{"commit in the first half of the grace period", 1500 * time.Millisecond, false, []string{"WRITE a 1", "COMMIT"}, []string{"COMPLETE by-g-0", "COMPLETE by-g-0"}, 1},
		{"statement at work as the daemon stops", 1500 * time.Millisecond, true, []string{"READ a"}, []string{"ERROR ABORTED"}, 0},
		{"commit of writes at work as the daemon stops", 1500 * time.Millisecond, true, []string{"WRITE a 1", "COMMIT"}, []string{"COMPLETE by-g-0", "ERROR INDOUBT"}, 0},
		{"statement too late for its time-out", 2500 * time.Millisecond, false, []string{"READ a"}, []string{"ERROR ABORTED"}, 0},
		{"commit too late for its time-out", 2500 * time.Millisecond, false, []string{"WRITE a 1", "COMMIT"}, []string{"COMPLETE by-g-0", "ERROR ABORTED"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			d := env.start("front-1")
			c := d.connect("entries")
			if got := c.query("BEGIN"); !standin.Completed(got) {
				t.Fatalf("got %q, want a success", got)
			}
			if got := c.query("READ b"); !standin.HasRow(got, "") {
				t.Fatalf("got %q, want a row", got)
			}
			stopped := time.Now()
			d.stop()
			for i, text := range tt.statements {
				if i == len(tt.statements)-1 {
					time.Sleep(time.Until(stopped.Add(tt.sentAt)))
					env.group.Targets[0].SetSilent(tt.silent)
				}
				if got := c.query(text); !strings.HasPrefix(got, tt.want[i]) {
					t.Errorf("%s: got %q, want %q", text, got, tt.want[i])
				}
			}
			env.group.Targets[0].SetSilent(false)
			// A target that gets a silent commit late may still run it.
			if got := len(env.group.Targets[0].Log()); !tt.silent && got != tt.wantLog {
				t.Errorf("got %d commits, want %d", got, tt.wantLog)
			}
			select {
			case err := <-d.done:
				d.done <- err
				if took := time.Since(stopped); err != nil || took > d.set.Daemon.Grace.Duration() {
					t.Errorf("got stopped after %v with %v, want within %d ms", took, err, d.set.Daemon.Grace)
				}
			case <-time.After(testTimeout):
				t.Error("daemon did not stop within the test's time-out")
			}
		})
	}
}
