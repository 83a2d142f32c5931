package settings

import (
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Settings are the checked settings of a daemon.
type Settings struct {
	Daemon   Daemon
	Callers  Callers
	Targets  Targets
	Platform Platform
	Peers    Peers
	Failover Failover
	Log      Log
}

// Daemon says who the daemon is.
type Daemon struct {
	ID            string `ini:"id" need:"yes"`
	DataCentre    string `ini:"data-centre" need:"yes"`
	CallerAddress string `ini:"caller-address" need:"yes" kind:"address"`
	PeerAddress   string `ini:"peer-address" need:"yes" kind:"address"`
	AdminAddress  string `ini:"admin-address" need:"yes" kind:"address"`
}

// Callers says how callers connect.
type Callers struct {
	Connections   int          `ini:"connections" default:"5000" min:"1" max:"100000"`
	Deadline      clock.Millis `ini:"deadline" default:"10s" min:"10ms" max:"10m"`
	Notice        clock.Millis `ini:"notice" default:"2s" min:"0s" max:"1m"`
	Drain         clock.Millis `ini:"drain" default:"20s" min:"0s" max:"10m"`
	Queue         int          `ini:"queue" default:"512" min:"1" max:"100000"`
	TokenKey      string       `ini:"token-key-file" kind:"file"`
	PreviousKey   string       `ini:"previous-token-key-file" kind:"file"`
	Certificate   string       `ini:"certificate-file" kind:"file"`
	PrivateKey    string       `ini:"private-key-file" kind:"file"`
	Passwords     string       `ini:"passwords-file" kind:"file"`
	RequireTLS    bool         `ini:"require-tls" default:"false"`
	Authenticated bool         `ini:"authenticate" default:"true"`
}

// Targets says how the daemon reaches database servers.
type Targets struct {
	User        string       `ini:"user" default:"cactusfork"`
	Password    string       `ini:"password-file" kind:"file"`
	Warm        int          `ini:"warm-connections" default:"1" min:"0" max:"100"`
	DialTimeout clock.Millis `ini:"dial-timeout" default:"1s" min:"10ms" max:"1m"`
	ReplicaWait clock.Millis `ini:"replica-wait" default:"50ms" min:"0s" max:"10s"`
	IdleTimeout clock.Millis `ini:"idle-timeout" default:"1m" min:"1s" max:"1h"`
}

// Platform says where the object API is.
type Platform struct {
	URL      string       `ini:"url" need:"yes" kind:"url"`
	Timeout  clock.Millis `ini:"timeout" default:"1s" min:"10ms" max:"1m"`
	Watchers int          `ini:"watchers" default:"2" min:"1" max:"16"`
}

// Peers says how daemons find and trust each other.
type Peers struct {
	Seeds       []string     `ini:"seeds" kind:"addresses"`
	Period      clock.Millis `ini:"period" default:"250ms" min:"50ms" max:"10s"`
	Certificate string       `ini:"certificate-file" kind:"file"`
	PrivateKey  string       `ini:"private-key-file" kind:"file"`
	Authority   string       `ini:"authority-file" kind:"file"`
}

// Failover says how fast a failed primary is found.
type Failover struct {
	ProbeInterval clock.Millis `ini:"probe-interval" default:"100ms" min:"10ms" max:"5s"`
	ProbeTimeout  clock.Millis `ini:"probe-timeout" default:"250ms" min:"10ms" max:"10s"`
}

// Log says what is written.
type Log struct {
	Level    string `ini:"level" default:"info" oneof:"debug info warn error"`
	Timeline string `ini:"timeline-file"`
}
