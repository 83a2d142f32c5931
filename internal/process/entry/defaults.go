package entry

import (
	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/process/probe"
	"github.com/cactusfork/cactusfork/internal/process/settings"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// maxAttempts bounds the attempts of a request that only meets full targets. The retry policy and the deadline end other
// requests sooner.
const maxAttempts = 10_000

// Defaults returns the configuration of a daemon with the default limits and timeouts.
func Defaults(id group.DaemonID, dataCentre group.DataCentre) Config {
	return Config{
		ID:         id,
		DataCentre: dataCentre,
		Policy:     Default,
		Targets: TargetConfig{
			User:        "cactusfork",
			Warm:        1,
			DialTimeout: clock.Second,
			IdleTimeout: 60 * clock.Second,
			Queue:       512,
		},
		Callers:      caller.Config{DataCentre: dataCentre, RequestTimeout: 10 * clock.Second, MaxConnections: 5000, MaxAttempts: maxAttempts},
		Probe:        probe.Settings{Interval: 100, Timeout: 250, Pause: minProbeInterval},
		Machine:      group.DefaultSettings(),
		Period:       250,
		StoreTimeout: clock.Second,
		Watchers:     2,
		ReplicaWait:  50,
	}
}

// FromSettings returns the configuration of a daemon for settings that have been validated.
func FromSettings(s *settings.Settings) Config {
	cfg := Defaults(group.DaemonID(s.Daemon.ID), group.DataCentre(s.Daemon.DataCentre))
	cfg.Seeds = s.Peers.Seeds
	cfg.Period = s.Peers.HeartbeatInterval
	cfg.StoreTimeout = s.Platform.Timeout
	cfg.Watchers = s.Platform.Watchers
	cfg.Targets.User = s.Targets.User
	cfg.Targets.Warm = s.Targets.WarmConnections
	cfg.Targets.DialTimeout = s.Targets.DialTimeout
	cfg.Targets.IdleTimeout = s.Targets.IdleTimeout
	cfg.Targets.Queue = s.Callers.Queue
	cfg.ReplicaWait = s.Targets.ReplicaWait
	cfg.Callers.MaxConnections = s.Callers.MaxConnections
	memoryFromSettings(&cfg, s)
	cfg.Callers.RequestTimeout = s.Callers.RequestTimeout
	cfg.Callers.DrainTimeout = max(s.Callers.Drain, 1)
	cfg.Notice = s.Callers.Notice
	cfg.Probe.Interval = s.Failover.ProbeInterval
	cfg.Probe.Timeout = s.Failover.ProbeTimeout
	cfg.Machine.ProbeInterval = s.Failover.ProbeInterval
	cfg.Machine.ProbeTimeout = s.Failover.ProbeTimeout
	return cfg
}
