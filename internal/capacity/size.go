package capacity

import (
	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Size is how large a fleet is and what happens to it.
type Size struct {
	Daemons     float64
	DataCentres float64
	Regions     float64
	Groups      float64
	Targets     float64 // of a group
	Callers     float64
	Statements  float64 // a second
	Changes     float64 // of primary, a day
	Published   float64 // changes of configuration, a day
	Replaced    float64 // VMs, a day
	Objects     float64 // at the platform
	Rack        float64 // VMs of a rack
	Homes       float64 // daemons that watch a group
}

// InTwoYears is the fleet that the page is about; one service for each group, racks of 40 VMs and six homes are assumed.
func InTwoYears() Size {
	return Size{
		Daemons:     2600,
		DataCentres: 44,
		Regions:     11,
		Groups:      30_000,
		Targets:     3,
		Callers:     13e6,
		Statements:  6.2e6,
		Changes:     61,
		Published:   39_000,
		Replaced:    2300,
		Objects:     60_000,
		Rack:        40,
		Homes:       6,
	}
}

const day = 86_400 // seconds

// The limits of a daemon's control and of the platform.
const (
	coreLimit    = 2.6  // percent of a core
	memoryLimit  = 256  // MB
	networkLimit = 20   // KB/s
	writeLimit   = 300  // calls/s, of "several hundred"
	readLimit    = 2000 // calls/s
)

// pace is how often today's daemons do what they do.
type pace struct {
	heartbeats  float64 // begun a second
	questions   float64 // to a target a second
	shares      float64 // adjustments a second
	rumours     float64 // members in a heartbeat
	tellings    float64 // of one change, times the bits of the number of members
	recordRetry float64 // seconds, mean
	lostAfter   float64 // seconds
	warm        float64 // connections of a service to a target
}

// shareEvery and tellRounds are those of the daemon and of the members' table, which keep them to themselves.
const (
	shareEvery = 100 * clock.Millis(1)
	tellRounds = 3
)

func paceOfToday() pace {
	cfg := entry.Defaults("", "")
	machine := group.DefaultSettings()
	table := peer.Defaults(cfg.Period)
	return pace{
		heartbeats:  1 / seconds(cfg.Period),
		questions:   1 / seconds(cfg.Probe.Interval),
		shares:      1 / seconds(shareEvery),
		rumours:     float64(table.Rumours),
		tellings:    tellRounds,
		recordRetry: 1.5 * seconds(machine.RecordRetry),
		lostAfter:   float64(table.LostAfter) * seconds(cfg.Period),
		warm:        float64(cfg.Targets.Warm),
	}
}

func seconds(d clock.Millis) float64 { return d.Duration().Seconds() }
