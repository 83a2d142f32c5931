package trial

import (
	"fmt"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Fault names what goes wrong during a trial.
type Fault string

// The faults.
const (
	NoFault      Fault = "none"
	PrimaryCrash Fault = "primary-crash"
	PrimaryCut   Fault = "primary-cut"
	PrimaryPause Fault = "primary-pause"
	ReplicasLag  Fault = "replicas-lag"
	PlatformDown Fault = "platform-down"
	DaemonCrash  Fault = "daemon-crash"
	// PrimarySideCut cuts the primary's data centre, with its daemon, off from the others and from the platform.
	PrimarySideCut Fault = "primary-side-cut"
	// ReplicaSideCut does the same to a replica's data centre.
	ReplicaSideCut Fault = "replica-side-cut"
)

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{NoFault, PrimaryCrash, PrimaryCut, PrimaryPause, ReplicasLag, PlatformDown, DaemonCrash, PrimarySideCut, ReplicaSideCut}
}

// ParseFault checks the name of a fault.
func ParseFault(text string) (Fault, error) {
	for _, f := range Faults() {
		if string(f) == text {
			return f, nil
		}
	}
	return "", fmt.Errorf("got fault %q, want one of %v", text, Faults())
}

// Config says what a trial does.
type Config struct {
	// Listen is the address of the first daemon; the others take the next ports. Port 0 gives each a free one.
	Listen string
	// Length is how long the load runs; 0 means no load, until the context ends.
	Length clock.Millis
	Seed   uint64
	Fault  Fault
	// Also are faults that come together with Fault.
	Also   []Fault
	Policy entry.Policy
	// Sessions is the number of sessions at work at a time.
	Sessions int
	// Daemons is the number of daemons.
	Daemons int
	// Slots and Connections are what each target has of them.
	Slots       int
	Connections int
	// StatementTime is how long a statement holds a slot; ConnectDelay is what a new connection costs.
	StatementTime clock.Millis
	ConnectDelay  clock.Millis
	// ThinkTime bounds the pause between two requests of a session.
	ThinkTime clock.Millis
	// Lag is the time between receiving and applying on replicas.
	Lag clock.Millis
	// Alter lets a test break what a daemon promises.
	Alter func(s *caller.Seams)
	// Driver lets a test break how sessions run statements.
	Driver func(d *Driver)
	// Started is called once all daemons serve, with their addresses.
	Started func(s *Environment)
}

const (
	// defaultDaemons is the number of daemons unless configured.
	defaultDaemons = 3
	// defaultSlots and defaultConnections are those of a target unless configured.
	defaultSlots       = 5
	defaultConnections = 30
	// defaultConnectDelay and defaultThinkTime are in milliseconds.
	defaultConnectDelay clock.Millis = 10
	defaultThinkTime    clock.Millis = 8
	// defaultSessions is the number of sessions unless configured.
	defaultSessions = 8
	// defaultLag is the lag of replicas unless configured, in milliseconds.
	defaultLag clock.Millis = 20
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
