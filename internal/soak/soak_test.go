package soak

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// TestCallersUnderRepeatedFaults runs the seeds 1 to SOAK_SEEDS, by default 3, with SOAK_DAEMONS daemons, by default 7, each with
// asynchronous and with synchronous commits.
func TestCallersUnderRepeatedFaults(t *testing.T) {
	daemons := number(t, "SOAK_DAEMONS", 7)
	// With asynchronous commits, the store is left calm once for up to 20 s.
	lengths := []clock.Millis{45 * clock.Second, 25 * clock.Second}
	for seed := range number(t, "SOAK_SEEDS", 3) {
		for synchronous, name := range []string{"asynchronous", "synchronous"} {
			t.Run(fmt.Sprint("seed ", seed+1, " ", name), func(t *testing.T) {
				t.Parallel()
				r, err := Run(t.Context(), Config{Seed: uint64(seed + 1), Daemons: daemons, SyncReplicas: synchronous, Length: lengths[synchronous], Log: zap.NewNop()})
				if err != nil {
					t.Fatal(err)
				}
				t.Logf("%+v", *r)
				for _, line := range r.Broken {
					t.Error(line)
				}
				if r.Restores == 0 || r.Restarts == 0 || r.PrimaryFaults == 0 || r.Writes == 0 || r.Probes == 0 || synchronous > 0 && r.ReplicaFaults == 0 || synchronous == 0 && r.ForgottenTerms == 0 {
					t.Errorf("got %+v, want some of each", *r)
				}
			})
		}
	}
}

// number returns the number in an environment variable, or the default.
func number(t *testing.T, name string, byDefault int) int {
	t.Helper()
	value := os.Getenv(name)
	if value == "" {
		return byDefault
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}
