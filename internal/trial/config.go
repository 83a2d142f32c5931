package trial

import (
	"fmt"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Fault is a failure that a trial injects.
type Fault string

// Faults that a trial can inject.
const (
	NoFault Fault = "none"
	// PrimaryCrash stops the primary and restarts it when the fault is healed.
	PrimaryCrash Fault = "primary-crash"
	// PrimaryCut stops replication from and to the primary; daemons still reach it.
	PrimaryCut Fault = "primary-cut"
	// PrimaryPause freezes the primary: it accepts connections and input but sends nothing.
	PrimaryPause Fault = "primary-pause"
	// ReplicasLag raises the replicas' delay between receiving and applying a log record.
	ReplicasLag Fault = "replicas-lag"
	// PlatformDown makes the platform unavailable.
	PlatformDown Fault = "platform-down"
	// DaemonCrash stops the first daemon without a drain and does not restart it.
	DaemonCrash Fault = "daemon-crash"
	// PrimarySideCut isolates the primary's data centre, including its daemon, from the other data centres and from the platform.
	PrimarySideCut Fault = "primary-side-cut"
	// ReplicaSideCut isolates a replica's data centre in the same way.
	ReplicaSideCut Fault = "replica-side-cut"
)

// Faults returns all faults, NoFault first.
func Faults() []Fault {
	return []Fault{NoFault, PrimaryCrash, PrimaryCut, PrimaryPause, ReplicasLag, PlatformDown, DaemonCrash, PrimarySideCut, ReplicaSideCut}
}

// ParseFault returns the fault of that name, or an error that lists the valid names.
func ParseFault(text string) (Fault, error) {
	for _, f := range Faults() {
		if string(f) == text {
			return f, nil
		}
	}
	return "", fmt.Errorf("unknown fault %q, want one of %v", text, Faults())
}

// Config configures a trial. Zero values of Listen, Fault, Policy, Sessions, Daemons, Slots, Connections, ConnectDelay, ThinkTime
// and Lag select a default.
type Config struct {
	// Listen is the caller address of the first daemon; the others use the following ports. Port 0 gives each daemon a free port.
	Listen string
	// Length is the duration of the load in milliseconds; 0 runs the daemons without load until the context ends.
	Length clock.Millis
	// MaxLength bounds the duration of a load that has to go on until the trial has shown what it is for, see History.complete; 0 ends
	// the load after Length in any case. The duration of a trial then follows what the machine gets done.
	MaxLength clock.Millis
	// Seed seeds the random choices of the sessions.
	Seed  uint64
	Fault Fault
	// Also lists faults that are injected together with Fault.
	Also   []Fault
	Policy entry.Policy
	// Sessions is the number of concurrent sessions.
	Sessions int
	// Daemons is the number of daemons.
	Daemons int
	// Slots and Connections are the limits of each target on concurrent statements and on sessions.
	Slots       int
	Connections int
	// StatementTime is how long a statement holds its slot before it runs, and ConnectDelay is how long a target takes to accept a
	// session, both in milliseconds.
	StatementTime clock.Millis
	ConnectDelay  clock.Millis
	// ThinkTime is the exclusive upper bound of the random pause between two requests of a session, in milliseconds.
	ThinkTime clock.Millis
	// Lag is the delay between receiving and applying a log record on replicas, in milliseconds.
	Lag clock.Millis
	// Alter lets a test replace functions of a daemon, to break one of its guarantees.
	Alter func(s *caller.Dependencies)
	// Driver lets a test replace the way in which sessions run statements.
	Driver func(d *Driver)
	// Started is called with the environment once all daemons serve the group.
	Started func(s *Environment)
}

// Defaults of a Config; times are in milliseconds.
const (
	defaultDaemons                   = 3
	defaultSlots                     = 5
	defaultConnections               = 30
	defaultConnectDelay clock.Millis = 10
	defaultThinkTime    clock.Millis = 8
	defaultSessions                  = 8
	defaultLag          clock.Millis = 20
)

func (c Config) withDefaults() Config {
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	orDefault(&c.Sessions, defaultSessions)
	orDefault(&c.Daemons, defaultDaemons)
	orDefault(&c.Slots, defaultSlots)
	orDefault(&c.Connections, defaultConnections)
	orDefault(&c.ConnectDelay, defaultConnectDelay)
	orDefault(&c.ThinkTime, defaultThinkTime)
	orDefault(&c.Lag, defaultLag)
	if c.Policy == "" {
		c.Policy = entry.Default
	}
	if c.Fault == "" {
		c.Fault = NoFault
	}
	return c
}

func orDefault[T int | clock.Millis](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
