package trial

import (
	"context"
	"fmt"
	"net"
	"sync"

	targetstand "github.com/cactusfork/cactusfork/internal/standin/target"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// faultLag is the lag of replicas during ReplicasLag, in milliseconds.
const faultLag clock.Millis = 1500

// faultTimes holds the times of an injection: began is just before its first step, complete is just after its last step.
type faultTimes struct {
	began    clock.Millis
	complete clock.Millis
}

// inject injects the configured faults after a third of the length, once awaitLoad has returned, and heals them a third later.
func (env *Environment) inject(ctx context.Context, awaitLoad func()) (faultTimes, error) {
	var times faultTimes
	if env.cfg.Fault == NoFault {
		return times, nil
	}
	if err := env.clk.Sleep(ctx, env.cfg.Length/3); err != nil {
		return times, err
	}
	awaitLoad()
	times.began = env.clk.Now()
	heal, err := env.injectAll()
	times.complete = env.clk.Now()
	if err != nil {
		return times, err
	}
	err = env.clk.Sleep(ctx, env.cfg.Length/3)
	if h := heal(ctx); h != nil {
		return times, fmt.Errorf("heal fault %s: %w", env.cfg.Fault, h)
	}
	return times, err
}

// injectAll injects all configured faults and returns a function that heals them.
func (env *Environment) injectAll() (func(context.Context) error, error) {
	var heals []func(context.Context) error
	for _, f := range append([]Fault{env.cfg.Fault}, env.cfg.Also...) {
		h, err := env.injectOne(f)
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

// injectOne injects one fault and returns a function that heals it.
func (env *Environment) injectOne(f Fault) (func(context.Context) error, error) {
	primary := env.Primary()
	switch f {
	case PrimaryCrash:
		primary.Crash()
		return func(ctx context.Context) error { return primary.Restart(ctx) }, nil
	case PrimaryCut:
		env.Network.CutOff(primary.ID())
		return healFunc(env.Network.Heal), nil
	case PrimaryPause:
		primary.Pause()
		return healFunc(primary.Resume), nil
	case ReplicasLag:
		env.setReplicaLag(faultLag)
		return healFunc(func() { env.setReplicaLag(env.cfg.Lag) }), nil
	case PlatformDown:
		env.Platform.SetDown(true)
		return healFunc(func() { env.Platform.SetDown(false) }), nil
	case PrimarySideCut:
		return env.isolate(primary), nil
	case ReplicaSideCut:
		return env.isolate(env.replica()), nil
	case DaemonCrash:
		env.instances[0].kill()
		return healFunc(func() {}), nil
	}
	return nil, fmt.Errorf("unknown fault %q", f)
}

// isolate isolates the data centre of a target and returns a function that heals it.
func (env *Environment) isolate(t *targetstand.Target) func(context.Context) error {
	env.partition.isolate(t.DataCentre())
	env.Network.CutOff(t.ID())
	return healFunc(func() {
		env.Network.Heal()
		env.partition.isolate("")
	})
}

// replica returns the first target that is not a primary.
func (env *Environment) replica() *targetstand.Target {
	for _, t := range env.Targets {
		if !t.Status().Primary {
			return t
		}
	}
	return env.Targets[0]
}

// healFunc adapts a function that cannot fail to the type of a heal function.
func healFunc(f func()) func(context.Context) error {
	return func(context.Context) error {
		f()
		return nil
	}
}

func (env *Environment) setReplicaLag(lag clock.Millis) {
	for _, t := range env.Targets {
		if !t.Status().Primary {
			t.SetLag(lag)
		}
	}
}

// trackingListener keeps its accepted connections, so that they can all be closed at once, as the crash of a process does.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept returns the next connection and keeps it for a later close.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// kill crashes a daemon: its connections with callers close without a final message, and its peers get no notice.
func (inst *instance) kill() {
	_ = inst.callers.Close()
	inst.callers.mu.Lock()
	for _, c := range inst.callers.conns {
		_ = c.Close()
	}
	inst.callers.mu.Unlock()
	inst.crash()
}
