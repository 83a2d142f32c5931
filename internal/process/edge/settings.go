package edge

import (
	"fmt"
	"os"

	"github.com/cactusfork/cactusfork/internal/process/settings"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Settings are the checked settings of a daemon on the operator's platform.
type Settings struct {
	Daemon    DaemonSettings
	Platform  PlatformSettings
	Limits    LimitSettings
	Failover  FailoverSettings
	Quota     QuotaSettings
	Placement PlacementSettings
	Log       LogSettings
}

// DaemonSettings are the identity, the addresses and the shutdown times of a daemon.
type DaemonSettings struct {
	ID             string `ini:"id" need:"yes"`
	DataCentre     string `ini:"data-centre" need:"yes"`
	CallerAddress  string `ini:"caller-address" need:"yes" kind:"address"`
	HealthAddress  string `ini:"health-address" need:"yes" kind:"address"`
	PeerAddress    string `ini:"peer-address" kind:"address"`
	MirrorAddress  string `ini:"mirror-address" kind:"address"`
	MetricsAddress string `ini:"metrics-address" kind:"address"`
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool `ini:"first-start" default:"false"`
	// Notice is how long a stopping daemon still accepts callers while its health check fails.
	Notice clock.Millis `ini:"notice" default:"2200ms" min:"0s" max:"1m"`
	// Drain is how long a target may get work after it has announced that it leaves.
	Drain clock.Millis `ini:"drain" default:"7s" min:"3s" max:"10m"`
	// Grace is how long a daemon may run after it was told to stop.
	Grace clock.Millis `ini:"grace" default:"6s" min:"1s" max:"10m"`
}

// PlatformSettings are the addresses of the platform's store and of its promotion service, and the time-out of calls to them.
type PlatformSettings struct {
	StoreAddress string       `ini:"store-address" need:"yes" kind:"address"`
	DutyAddress  string       `ini:"duty-address" need:"yes" kind:"address"`
	Timeout      clock.Millis `ini:"timeout" default:"1500ms" min:"10ms" max:"1m"`
	// ConfigApply is the time within which a new configuration has to be applied.
	ConfigApply clock.Millis `ini:"config-apply" default:"3s" min:"100ms" max:"1m"`
}

// LimitSettings are the VM's memory, in MiB, and its number of file descriptors.
type LimitSettings struct {
	Memory      int `ini:"memory-mb" default:"256" min:"32" max:"1000000"`
	Descriptors int `ini:"descriptors" default:"4096" min:"256" max:"10000000"`
}

// FailoverSettings are the times after which a primary counts as failed: by refused connections, by silence, or because no target is known as the primary.
type FailoverSettings struct {
	Refusing clock.Millis `ini:"refusing" default:"300ms" min:"50ms" max:"1m"`
	Silent   clock.Millis `ini:"silent" default:"700ms" min:"50ms" max:"1m"`
	Missing  clock.Millis `ini:"missing" default:"800ms" min:"50ms" max:"1m"`
}

// QuotaSettings are about the limits of workspaces.
type QuotaSettings struct {
	// Window is the time over which a limit has to hold. An issuer that was not asked for as long starts anew.
	Window clock.Millis `ini:"window" default:"5s" min:"1s" max:"1m"`
	// OveragePercent and Slack are the tolerance of the limits: a window may have so many operations more, in percent and in number.
	// Issuers grant half of it.
	OveragePercent int `ini:"overage-percent" default:"0" min:"0" max:"50"`
	Slack          int `ini:"slack" default:"0" min:"0" max:"1000"`
}

// PlacementSettings select how targets are chosen.
type PlacementSettings struct {
	// Balance is "even" for targets chosen by their expected load (placement.ChooseEven) and "off" for the cheapest one (placement.Choose).
	Balance string `ini:"balance" default:"off" oneof:"off even"`
}

// LogSettings select the level of the log.
type LogSettings struct {
	Level string `ini:"level" default:"info" oneof:"debug info warn error"`
}

// LoadSettings reads and checks the settings file.
func LoadSettings(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	set := &Settings{}
	if err := settings.ParseInto(file, text, set); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return set, nil
}

// configWatchTimeout returns how long a watch on the configuration waits. A watch does not report changes that the store has dropped from its history, so a third of ConfigApply is left for the list that follows.
func (s *Settings) configWatchTimeout() clock.Millis { return s.Platform.ConfigApply * 2 / 3 }

// entriesWatchTimeout returns how long a watch on the targets' entries waits. The rest of the drain time is left to stop work at a target that drains.
func (s *Settings) entriesWatchTimeout() clock.Millis { return s.Daemon.Drain * 3 / 5 }
