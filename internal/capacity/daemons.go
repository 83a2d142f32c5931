package capacity

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	standin "github.com/cactusfork/cactusfork/internal/standin/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
	"github.com/cactusfork/cactusfork/pkg/token"
)

const (
	// restWindow is how long calls at rest are counted.
	restWindow = 8 * time.Second
	// publishings is the number of changes published, one every changeEvery, before a watch has waited in vain.
	publishings = 5
	changeEvery = 700 * time.Millisecond
	// watchFor is how long a watch waits at the stand-in platform.
	watchFor = clock.Second
	// readyLimit bounds the wait for daemons to be ready.
	readyLimit = 20 * time.Second
)

// fleet is whole daemons of one data centre with a stand-in platform.
type fleet struct {
	server  *standin.Server
	store   *platform.Store
	daemons []*entry.Daemon
	version platform.Version
	stop    context.CancelFunc
	work    sync.WaitGroup
}

func newFleet(ctx context.Context, n int) (*fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	f := &fleet{stop: stop}
	if err := f.start(ctx, n); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, n int) error {
	var err error
	if f.server, err = standin.Start(ctx, standin.Config{Waiting: watchFor}); err != nil {
		return fmt.Errorf("start platform: %w", err)
	}
	f.store = platform.Dial(platform.Config{URL: f.server.URL()}, clock.System())
	if err := f.publish(ctx, 0); err != nil {
		return err
	}
	keys, err := token.NewKeys([]byte("0123456789abcdef"))
	if err != nil {
		return fmt.Errorf("make token keys: %w", err)
	}
	var seeds []string
	for i := range n {
		p, err := listeners()
		if err != nil {
			return err
		}
		p.Tokens = keys
		seeds = append(seeds, p.Peers.Addr().String())
		f.run(ctx, i, p, seeds[:1])
	}
	return f.awaitReady()
}

// listeners opens the ports of a daemon on loopback.
func listeners() (*entry.Parts, error) {
	p := &entry.Parts{}
	for _, l := range []*net.Listener{&p.Callers, &p.Peers, &p.Admin} {
		var err error
		if *l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	return p, nil
}

func (f *fleet) run(ctx context.Context, i int, p *entry.Parts, seeds []string) {
	id := group.DaemonID(fmt.Sprintf("daemon-%04d", i))
	p.Clock = clock.System()
	p.Log = zap.NewNop()
	p.Events = event.NewLog(string(id), 1000, p.Clock, nil)
	p.Store = platform.Dial(platform.Config{URL: f.server.URL()}, p.Clock)
	cfg := entry.Defaults(id, centre(0))
	cfg.Seeds = seeds
	d := entry.New(&cfg, p)
	f.daemons = append(f.daemons, d)
	f.work.Go(func() { _ = d.Run(ctx, ctx) })
}

func (f *fleet) awaitReady() error {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, d := range f.daemons {
			if d.Ready() {
				n++
			}
		}
		if n == len(f.daemons) {
			time.Sleep(window)
			return nil
		}
	}
	return fmt.Errorf("daemons are not ready after %v", readyLimit)
}

// publish puts the i-th version of a service.
func (f *fleet) publish(ctx context.Context, i int) error {
	s := serviceOf("database-00001")
	s.Version = service.Version(i)
	value, err := service.Encode(s)
	if err != nil {
		return fmt.Errorf("encode service: %w", err)
	}
	f.version, err = f.store.Put(ctx, "services/database-00001", value, f.version)
	return err
}

func (f *fleet) close() {
	f.stop()
	f.work.Wait()
}

func daemons() measure {
	return measure{
		slopes: []Slope{
			{ID: VMCalls, What: "reads of the VM list at rest", Size: "daemon", Unit: "calls/s"},
			{ID: WaitingWatches, What: "watches that wait at the platform at rest, one data centre", Size: "daemon", Unit: "calls"},
			{ID: CallsPerChange, What: "watches and lists for one published change, one data centre", Size: "daemon", Unit: "calls"},
			{ID: DaemonIdleCPU, What: "second of whole daemons without groups and callers, peers included", Size: "daemon", Unit: "µs/s"},
			{ID: DaemonIdleBytes, What: "memory of whole daemons without groups and callers, ring of 1,000 events", Size: "daemon", Unit: "B"},
		},
		sizes: []int{3, 6, 12},
		run:   fleetCost,
	}
}

func fleetCost(ctx context.Context, n int) ([]float64, error) {
	empty := held()
	f, err := newFleet(ctx, n)
	if err != nil {
		return nil, err
	}
	defer f.close()
	memory := held() - empty
	before := f.server.Calls()
	u, err := during(func() error {
		time.Sleep(restWindow)
		return nil
	})
	if err != nil {
		return nil, err
	}
	rest := f.server.Calls()
	for i := range publishings {
		if err := f.publish(ctx, i+1); err != nil {
			return nil, err
		}
		time.Sleep(changeEvery)
	}
	after := f.server.Calls()
	seconds := restWindow.Seconds()
	return []float64{
		float64(rest.VMs-before.VMs) / seconds,
		float64(rest.Watches-before.Watches) / seconds * watchFor.Duration().Seconds(),
		float64(after.Watches-rest.Watches+after.Lists-rest.Lists) / publishings,
		u.cpu / seconds,
		memory,
	}, nil
}
