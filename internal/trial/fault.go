package trial

import (
	"context"
	"fmt"
	"net"
	"sync"

	targetstand "github.com/cactusfork/cactusfork/internal/standin/target"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// laggedBy is the lag of replicas while they are made to lag, in milliseconds.
const laggedBy clock.Millis = 1500

// outage is when a fault was brought about: it had begun by began and was complete by complete.
type outage struct {
	began    clock.Millis
	complete clock.Millis
}

// inject brings the fault about after a third of the length and heals it after two thirds.
func (s *Environment) inject(ctx context.Context, length clock.Millis) (outage, error) {
	var o outage
	if s.cfg.Fault == NoFault {
		return o, nil
	}
	if err := s.clk.Sleep(ctx, length/3); err != nil {
		return o, err
	}
	o.began = s.clk.Now()
	heal, err := s.begin()
	o.complete = s.clk.Now()
	if err != nil {
		return o, err
	}
	err = s.clk.Sleep(ctx, length/3)
	if h := heal(ctx); h != nil {
		return o, fmt.Errorf("heal %s: %w", s.cfg.Fault, h)
	}
	return o, err
}

// begin brings the faults about and returns what heals them.
func (s *Environment) begin() (func(context.Context) error, error) {
	var heals []func(context.Context) error
	for _, f := range append([]Fault{s.cfg.Fault}, s.cfg.Also...) {
		h, err := s.bring(f)
		if err != nil {
			return nil, err
		}
		heals = append(heals, h)
	}
	return func(ctx context.Context) error {
		for _, h := range heals {
			if err := h(ctx); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

// bring brings one fault about and returns what heals it.
func (s *Environment) bring(f Fault) (func(context.Context) error, error) {
	primary := s.Primary()
	switch f {
	case PrimaryCrash:
		primary.Crash()
		return func(ctx context.Context) error { return primary.Restart(ctx) }, nil
	case PrimaryCut:
		s.Network.CutOff(primary.ID())
		return healed(s.Network.Heal), nil
	case PrimaryPause:
		primary.Pause()
		return healed(primary.Resume), nil
	case ReplicasLag:
		s.lagReplicas(laggedBy)
		return healed(func() { s.lagReplicas(s.cfg.Lag) }), nil
	case PlatformDown:
		s.Platform.Down(true)
		return healed(func() { s.Platform.Down(false) }), nil
	case PrimarySideCut:
		return s.isolate(primary), nil
	case ReplicaSideCut:
		return s.isolate(s.replica()), nil
	case DaemonCrash:
		s.instances[0].kill()
		return healed(func() {}), nil
	}
	return nil, fmt.Errorf("unknown fault %q", f)
}

// isolate cuts a target's data centre off and returns what heals that.
func (s *Environment) isolate(t *targetstand.Target) func(context.Context) error {
	s.partition.isolate(t.DataCentre())
	s.Network.CutOff(t.ID())
	return healed(func() {
		s.Network.Heal()
		s.partition.isolate("")
	})
}

// replica is a target that is not primary.
func (s *Environment) replica() *targetstand.Target {
	for _, t := range s.Targets {
		if !t.Status().Primary {
			return t
		}
	}
	return s.Targets[0]
}

func healed(f func()) func(context.Context) error {
	return func(context.Context) error {
		f()
		return nil
	}
}

func (s *Environment) lagReplicas(lag clock.Millis) {
	for _, t := range s.Targets {
		if !t.Status().Primary {
			t.SetLag(lag)
		}
	}
}

// cuttable is a listener whose connections can all be cut at once, as the death of the process does.
type cuttable struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept returns the next connection and remembers it.
func (l *cuttable) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// kill ends a daemon without a word to anyone.
func (a *instance) kill() {
	_ = a.callers.Close()
	a.callers.mu.Lock()
	for _, c := range a.callers.conns {
		_ = c.Close()
	}
	a.callers.mu.Unlock()
	a.crash()
}
