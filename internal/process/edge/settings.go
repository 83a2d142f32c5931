package edge

import (
	"cmp"
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
	Admission AdmissionSettings
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

// LimitSettings are the VM's memory, in MiB, its number of file descriptors, and what callers may make the daemon retain. A limit of 0
// has the default of its key.
type LimitSettings struct {
	Memory      int `ini:"memory-mb" default:"256" min:"32" max:"1000000"`
	Descriptors int `ini:"descriptors" default:"4096" min:"256" max:"10000000"`
	// Sessions is the most sessions at once; 0 derives it from Memory and Descriptors.
	Sessions int `ini:"sessions" default:"0" min:"0" max:"10000000"`
	// Message, Startup and SessionState bound a message, a startup message, and the text of a session's values and prepared statements, in KiB.
	Message      int `ini:"message-kb" default:"1024" min:"16" max:"1024"`
	Startup      int `ini:"startup-kb" default:"16" min:"1" max:"1024"`
	SessionState int `ini:"session-state-kb" default:"1024" min:"16" max:"65536"`
	// Stall is how long a caller may make no progress while memory is short.
	Stall clock.Millis `ini:"stall" default:"1s" min:"50ms" max:"1m"`
	// MemoryWait is how long a message waits for memory before it is refused.
	MemoryWait clock.Millis `ini:"memory-wait" default:"1s" min:"10ms" max:"1m"`
	// WriteTimeout bounds how long a caller may leave its reply unread.
	WriteTimeout clock.Millis `ini:"write-timeout" default:"10s" min:"100ms" max:"10m"`
	// HTTPConnections bounds the connections of each of the health and metrics addresses, MirrorConnections those of the mirror address (0
	// derives it from Descriptors), and HTTPHeader the headers of a request, in KiB.
	HTTPConnections   int `ini:"http-connections" default:"64" min:"8" max:"100000"`
	MirrorConnections int `ini:"mirror-connections" default:"0" min:"0" max:"100000"`
	HTTPHeader        int `ini:"http-header-kb" default:"8" min:"1" max:"1024"`
	// StoreObject bounds an object of the store besides the configuration, in KiB, and StoreList all objects of one kind, in MiB.
	StoreObject int `ini:"store-object-kb" default:"64" min:"1" max:"1024"`
	StoreList   int `ini:"store-list-mb" default:"8" min:"1" max:"1024"`
}

// withDefaults returns the limits with the defaults of the keys in place of 0.
func (l LimitSettings) withDefaults() LimitSettings {
	set := func(v *int, byDefault int) { *v = cmp.Or(*v, byDefault) }
	wait := func(v *clock.Millis, byDefault clock.Millis) { *v = cmp.Or(*v, byDefault) }
	set(&l.Message, 1024)
	set(&l.Startup, 16)
	set(&l.SessionState, 1024)
	wait(&l.Stall, clock.Second)
	wait(&l.MemoryWait, clock.Second)
	wait(&l.WriteTimeout, 10*clock.Second)
	set(&l.HTTPConnections, 64)
	set(&l.HTTPHeader, 8)
	set(&l.StoreObject, 64)
	set(&l.StoreList, 8)
	return l
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

// AdmissionSettings select which statements are refused at a full target.
type AdmissionSettings struct {
	// Overload is "graded" if transactions begin behind single statements, statements with more work are refused earlier, and statements
	// wait again for a primary once the store is back; "plain" orders all by their due time.
	Overload string `ini:"overload" default:"plain" oneof:"plain graded"`
}

// overloadGraded is the value of the setting overload that takes the stage and the cost of statements into account.
const overloadGraded = "graded"

// graded reports whether statements are refused by their stage and cost at a full target.
func (s *Settings) graded() bool { return s.Admission.Overload == overloadGraded }

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

// entriesWatchTimeout returns how long a watch on the targets' entries waits. A target counts as leaving from the request of the watch before
// on, so that the length of a watch is lost from the time in which it may get work.
func (s *Settings) entriesWatchTimeout() clock.Millis { return s.Daemon.Drain / 5 }
