package soak

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// TestCallersUnderRepeatedFaults runs the seeds 1 to SOAK_SEEDS, by default 3.
func TestCallersUnderRepeatedFaults(t *testing.T) {
	seeds := 3
	if v, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		seeds = v
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			r, err := Run(t.Context(), Config{Seed: uint64(seed + 1), Daemons: 7, Length: 25 * clock.Second, Log: zap.NewNop()})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%+v", *r)
			for _, line := range r.Broken {
				t.Error(line)
			}
			if r.Restores == 0 || r.Restarts == 0 || r.PrimaryFaults == 0 || r.Writes == 0 || r.Probes == 0 {
				t.Errorf("got %+v, want some of each", *r)
			}
		})
	}
}
