package edge

import (
	"fmt"
	"os"

	"github.com/cactusfork/cactusfork/internal/process/settings"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Settings are the checked settings of a daemon on the operator's platform.
type Settings struct {
	Daemon   DaemonSettings
	Platform PlatformSettings
	Limits   LimitSettings
	Failover FailoverSettings
	Log      LogSettings
}

// DaemonSettings say who the daemon is.
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
	// Notice is how long a stopping daemon still takes callers while its health check fails.
	Notice clock.Millis `ini:"notice" default:"2200ms" min:"0s" max:"1m"`
	// Drain is how long after it has said that it leaves a target may be given work.
	Drain clock.Millis `ini:"drain" default:"7s" min:"3s" max:"10m"`
	// Grace is how long a daemon may go on after it was told to stop.
	Grace clock.Millis `ini:"grace" default:"6s" min:"1s" max:"10m"`
}

// PlatformSettings say where the platform's store and its duties are.
type PlatformSettings struct {
	StoreAddress string       `ini:"store-address" need:"yes" kind:"address"`
	DutyAddress  string       `ini:"duty-address" need:"yes" kind:"address"`
	Timeout      clock.Millis `ini:"timeout" default:"1500ms" min:"10ms" max:"1m"`
	// ConfigApply is within what time a configuration has to be in force.
	ConfigApply clock.Millis `ini:"config-apply" default:"3s" min:"100ms" max:"1m"`
}

// LimitSettings say what the VM gives.
type LimitSettings struct {
	Memory      int `ini:"memory-mb" default:"256" min:"32" max:"1000000"`
	Descriptors int `ini:"descriptors" default:"4096" min:"256" max:"10000000"`
}

// FailoverSettings say how fast a failed primary is replaced.
type FailoverSettings struct {
	Refusing clock.Millis `ini:"refusing" default:"300ms" min:"50ms" max:"1m"`
	Silent   clock.Millis `ini:"silent" default:"700ms" min:"50ms" max:"1m"`
	Missing  clock.Millis `ini:"missing" default:"800ms" min:"50ms" max:"1m"`
}

// LogSettings say what is written.
type LogSettings struct {
	Level string `ini:"level" default:"info" oneof:"debug info warn error"`
}

// LoadSettings reads and checks the file.
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

// configWatchTimeout is how long a watch on the configuration waits: a watch can stay silent over changes that the store has dropped from its history, and a third of the time is left for the list behind it.
func (s *Settings) configWatchTimeout() clock.Millis { return s.Platform.ConfigApply * 2 / 3 }

// entriesWatchTimeout is how long a watch on the targets' entries waits, which must leave time to keep work from one that drains.
func (s *Settings) entriesWatchTimeout() clock.Millis { return s.Daemon.Drain * 3 / 5 }
