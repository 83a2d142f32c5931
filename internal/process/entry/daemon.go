package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/connection/memory"
	"github.com/cactusfork/cactusfork/internal/process/config"
	"github.com/cactusfork/cactusfork/internal/process/control"
	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/process/probe"
	"github.com/cactusfork/cactusfork/internal/request/retry"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
	"github.com/cactusfork/cactusfork/pkg/token"
)

const (
	// maxViewPeers is the number of peers asked for their view of a target before its failure is confirmed.
	maxViewPeers = 3
	// maxGroupTargets is the largest number of targets in a group. In a group of three, the primary and one replica that has
	// received a write form a majority.
	maxGroupTargets = 3
	// leaveTimeout is the longest time that the announcement of a stop to the peers may take.
	leaveTimeout = 2 * clock.Second
	// minProbeInterval is the shortest time between two probes of a target while a request waits, in milliseconds.
	minProbeInterval clock.Millis = 1
)

// Config holds the settings of a daemon, which stay fixed while it runs.
type Config struct {
	ID           group.DaemonID
	DataCentre   group.DataCentre
	Seeds        []string
	Policy       Policy
	Targets      TargetConfig
	Callers      caller.Config
	Probe        probe.Settings
	Machine      group.Settings
	Memory       MemoryConfig
	Period       clock.Millis // time between two heartbeats
	StoreTimeout clock.Millis // timeout of one call to the platform
	Watchers     int          // daemons per data centre that watch the platform
	// Notice is how long a stopping daemon still accepts callers while its health check fails.
	Notice clock.Millis
	// ReplicaWait is how long a read may wait for a replica before the primary may serve it; 0 disables the wait.
	ReplicaWait clock.Millis
}

// Dependencies holds the clock, logs, store, keys, listeners and access rules that a daemon uses. Access may be empty.
type Dependencies struct {
	Clock   *clock.Clock
	Log     *zap.Logger
	Events  *event.Log
	Store   *platform.Store
	Tokens  *token.Keys
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
	Access  Access
	// PeerTransport wraps the transport of the calls to peers; nil leaves the mesh's own transport.
	PeerTransport func(next http.RoundTripper) http.RoundTripper
}

// Daemon is one process of the proxy.
type Daemon struct {
	cfg     Config
	deps    Dependencies
	targets *targets
	holder  *config.Holder
	mesh    *peer.Mesh
	loop    *control.Loop
	router  *router
	server  *caller.Server
	meter   *meter
	// account is the byte account; nil without a limit.
	account *memory.Account
	// rejections counts and logs callers that were rejected.
	rejections *rejections
	ready      atomic.Bool
	// draining is never reset, even if ready is set after it.
	draining  atomic.Bool
	lastPeers peerSet
}

// New returns a daemon that is built from cfg and deps. It starts no goroutine before Run.
func New(cfg *Config, deps *Dependencies) *Daemon {
	d := &Daemon{cfg: *cfg, deps: *deps}
	d.meter = newMeter(d.event)
	d.targets = newTargets(&cfg.Targets, deps.Clock)
	d.loop = control.New(d.controlConfig(), deps.Clock, d.controlDependencies())
	d.holder = config.New(d.holderConfig(), deps.Clock, d.holderDependencies())
	d.mesh = peer.New(peer.Config{
		ID:           cfg.ID,
		Address:      deps.Peers.Addr().String(),
		AdminAddress: deps.Admin.Addr().String(),
		DataCentre:   cfg.DataCentre,
		Period:       cfg.Period,
		TLS:          deps.Access.PeerTLS,
		Wrap:         d.wrapCalls,
	}, deps.Clock, d.peerDependencies())
	d.router = &router{clk: deps.Clock, loop: d.loop, targets: d.targets, policy: cfg.Policy, dataCentre: cfg.DataCentre, meter: d.meter, replicaWait: cfg.ReplicaWait, retries: newRetries(deps.Clock)}
	callers := cfg.Callers
	d.account = d.newAccount()
	callers.Account = d.account
	d.server = caller.New(callers, d.callerDependencies())
	return d
}

// wrapCalls returns a transport that adds this daemon's stamp to each call to a peer.
func (d *Daemon) wrapCalls(next http.RoundTripper) http.RoundTripper {
	if d.deps.PeerTransport != nil {
		next = d.deps.PeerTransport(next)
	}
	return &stampTransport{d: d, next: next}
}

func newRetries(clk *clock.Clock) *retry.Policy {
	return &retry.Policy{Budget: retry.NewBudget(clk.Now()), Backoff: retry.NewBackoff()}
}

// Run serves callers until ctx ends, then drains and stops. The end of abort stops it at once, like a crash.
func (d *Daemon) Run(ctx, abort context.Context) error {
	runCtx, stop := context.WithCancel(abort)
	defer stop()
	var wg sync.WaitGroup
	d.event(event.Event{Kind: event.Started})
	wg.Go(func() { d.loop.Run(runCtx) })
	wg.Go(func() { d.targets.run(runCtx) })
	wg.Go(func() { d.logEnd("peers", d.mesh.Run(runCtx)) })
	wg.Go(func() { d.logEnd("configuration", d.holder.Run(runCtx)) })
	wg.Go(func() { d.followObjects(runCtx) })
	wg.Go(func() { d.watchVMs(runCtx) })
	wg.Go(func() { d.flushCounts(runCtx) })
	wg.Go(func() { d.updateShares(runCtx) })
	wg.Go(func() { d.warmPools(runCtx) })
	wg.Go(func() { d.serveHTTP(runCtx, d.deps.Peers, d.peerHandler(), d.deps.Access.PeerTLS) })
	wg.Go(func() { d.serveHTTP(runCtx, d.deps.Admin, d.adminHandler(), d.deps.Access.AdminTLS) })
	serving, endServing := context.WithCancel(context.WithoutCancel(ctx))
	defer endServing()
	stopLeave := context.AfterFunc(ctx, func() {
		d.leave(runCtx)
		endServing()
	})
	defer stopLeave()
	err := d.server.Serve(serving, d.deps.Callers)
	d.event(event.Event{Kind: event.Stopped})
	stop()
	wg.Wait()
	if err != nil && !errors.Is(err, context.Canceled) {
		return eris.Wrap(err, "serve callers")
	}
	return nil
}

// Serves reports whether the daemon would currently send a write of the group to the group's primary.
func (d *Daemon) Serves(id group.ID) bool {
	state, ok := d.loop.Snapshot().Groups[id]
	if !ok {
		return false
	}
	v := state.View()
	_, term, _ := route.PrimaryOf(v)
	return term > 0 && !v.Changing && len(v.Samples) > 0
}

// Flush writes the request counts collected since the last flush to the time line.
func (d *Daemon) Flush() { d.meter.flush() }

// Ready reports whether the daemon takes new callers: it has published objects in force and does not drain.
func (d *Daemon) Ready() bool { return d.ready.Load() && !d.draining.Load() }

// leave fails the health check, announces the stop to the peers and waits for Notice, so that the load balancer and the peers
// can react while the daemon still serves callers.
func (d *Daemon) leave(ctx context.Context) {
	d.draining.Store(true)
	d.event(event.Event{Kind: event.Draining})
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	if err := d.mesh.Leave(leaveCtx); err != nil && !errors.Is(err, context.Canceled) {
		d.deps.Log.Warn("peers not informed of the stop", zap.Error(err))
	}
	_ = d.deps.Clock.Sleep(ctx, d.cfg.Notice)
}

// logEnd logs the error with which a component of the daemon ended, unless the daemon cancelled it.
func (d *Daemon) logEnd(part string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		d.deps.Log.Error("daemon component stopped with an error", zap.String("part", part), zap.Error(err))
	}
}

func (d *Daemon) event(e event.Event) {
	if err := d.deps.Events.Add(e); err != nil {
		d.deps.Log.Error("event not written to the time line", zap.Error(err))
	}
}
