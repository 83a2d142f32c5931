package trial

import (
	"context"
	"testing"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// trialLength is the length of a trial in tests, in milliseconds.
	trialLength clock.Millis = 2700
	// maxProgressLength bounds a trial that lasts until it has shown what it is for. On a machine with many times more work than cores,
	// the first write behind a fault came after trialLength; the bound is 20 times that.
	maxProgressLength = 20 * trialLength
)

func TestNoLossUnderFaults(t *testing.T) {
	for _, f := range Faults() {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			r := runTrial(t, &Config{Length: trialLength, MaxLength: maxProgressLength, Seed: 7, Fault: f})
			if got, want := r.Losses, (Losses{}); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
			if r.WritesAcked == 0 || r.Reads == 0 {
				t.Errorf("got %d writes and %d reads, want some of each", r.WritesAcked, r.Reads)
			}
			if f.primaryFails() && r.FailoverGap == nil {
				t.Error("got no write after the fault, want one")
			}
		})
	}
}

func TestNoLossUnderFaultsTogether(t *testing.T) {
	tests := []struct {
		name  string
		first Fault
		also  []Fault
	}{
		{"crash while the platform is down", PrimaryCrash, []Fault{PlatformDown}},
		{"cut while the platform is down", PrimaryCut, []Fault{PlatformDown}},
		{"crash with far replicas", PrimaryCrash, []Fault{ReplicasLag}},
		{"crash of primary and daemon", PrimaryCrash, []Fault{DaemonCrash}},
		{"pause, platform and daemon", PrimaryPause, []Fault{PlatformDown, DaemonCrash}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := runTrial(t, &Config{Length: trialLength, MaxLength: maxProgressLength, Seed: 11, Fault: tt.first, Also: tt.also})
			if got, want := r.Losses, (Losses{}); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
			if r.FailoverGap == nil {
				t.Error("got no write after the fault, want one")
			}
		})
	}
}

func TestPrimaryOnlyReadsNoReplica(t *testing.T) {
	r := runTrial(t, &Config{Length: trialLength, Policy: entry.PrimaryOnly})
	if got, want := r.ReplicaReads, 0; got != want {
		t.Errorf("got %d replica reads, want %d", got, want)
	}
}

func runTrial(t *testing.T, cfg *Config) *Report {
	t.Helper()
	r, err := Run(context.Background(), cfg, clock.System(), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return r
}
