package group

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that every run has the same result, unless the flag rapid.seed names another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// faultMoves holds the moves of a random walk; n selects what a move affects.
var faultMoves = map[string]func(s *sim, n int){
	"crash-target":   func(s *sim, n int) { s.targets[s.targetIDs[n%len(s.targetIDs)]].up = false },
	"start-target":   func(s *sim, n int) { s.targets[s.targetIDs[n%len(s.targetIDs)]].up = true },
	"pause-target":   func(s *sim, n int) { s.pauseTarget(s.targetIDs[n%len(s.targetIDs)]) },
	"unpause-target": func(s *sim, n int) { s.resumeTarget(s.targetIDs[n%len(s.targetIDs)]) },
	"lag-target":     func(s *sim, n int) { s.targets[s.targetIDs[n%len(s.targetIDs)]].lag = 5 * (n % 7) },
	"slow-promotion": func(s *sim, n int) {
		s.targets[s.targetIDs[n%len(s.targetIDs)]].promotionTime = clock.Millis(100 * (n % 12))
	},
	"isolate-target": func(s *sim, n int) { s.isolate(s.targetIDs[n%len(s.targetIDs)]) },
	"cut-link":       func(s *sim, n int) { s.cutLinks[[2]string{s.endpoint(n), s.endpoint(n / 8)}] = true },
	"open-links":     func(s *sim, _ int) { s.cutLinks = map[[2]string]bool{} },
	"kill-daemon":    func(s *sim, n int) { s.daemons[n%len(s.daemons)].up = false },
	"restart-daemon": func(s *sim, n int) { s.startDaemon(s.daemons[n%len(s.daemons)]) },
	"suspend-daemon": func(s *sim, n int) { s.daemons[n%len(s.daemons)].paused = true },
	"end-suspension": func(s *sim, n int) { s.resumeDaemon(s.daemons[n%len(s.daemons)]) },
	"cut-platform":   func(s *sim, n int) { s.platformCut[s.daemons[n%len(s.daemons)].id] = n%3 > 0 },
	"leave": func(s *sim, n int) {
		for _, d := range s.daemons {
			s.step(d, LeavingUpdate{Target: s.targetIDs[n%len(s.targetIDs)], Leaving: n%2 == 0})
		}
	},
	"lose-calls": func(s *sim, n int) {
		s.loseCall = func(int, Action) (bool, bool) { return s.rnd.IntN(100) < n%40, s.rnd.IntN(100) < n%30 }
	},
	"duplicate-events": func(s *sim, n int) { s.duplicateRate = float64(n%5) / 10 },
}

// faultNames lists the moves in alphabetical order; a rename that changes the order changes the walk of a seed.
var faultNames = slices.Sorted(maps.Keys(faultMoves))

// endpoint returns the ID of a target if n is even, or of a daemon otherwise.
func (s *sim) endpoint(n int) string {
	if n%2 == 0 {
		return string(s.targetIDs[n/2%len(s.targetIDs)])
	}
	return string(s.daemons[n/2%len(s.daemons)].id)
}

func TestWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.SampledFrom([]int{3, 3, 2, 5}).Draw(t, "targets")
		daemons := rapid.IntRange(1, 4).Draw(t, "daemons")
		s := newSim(rapid.Uint64().Draw(t, "seed"), targets, daemons)
		s.run(warmUpTime / 2)
		for range rapid.IntRange(1, 12).Draw(t, "moves") {
			name := rapid.SampledFrom(faultNames).Draw(t, "move")
			faultMoves[name](s, rapid.IntRange(0, 63).Draw(t, "n"))
			s.run(clock.Millis(rapid.IntRange(1, 120).Draw(t, "ticks")) * tickLength)
		}
		if got := s.endFaultsAndCheck(); got != "" {
			t.Fatal(got)
		}
	})
}
