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
	// viewsAsked is how many peers are asked before a primary is held to have failed.
	viewsAsked = 3
	// mostTargets is the largest group: in one of three, what a replica has received a majority holds.
	mostTargets = 3
	// farewellTime bounds the announcement of a stop to peers.
	farewellTime = 2 * clock.Second
	// probePause is the least time between two questions to a target while a request waits, in milliseconds.
	probePause clock.Millis = 1
)

// Config is all that a daemon needs to know at start.
type Config struct {
	ID         group.DaemonID
	DataCentre group.DataCentre
	Seeds      []string
	Policy     Policy
	Targets    TargetConfig
	Callers    caller.Config
	Probe      probe.Settings
	Machine    group.Settings
	Period     clock.Millis // between two heartbeats
	StoreFor   clock.Millis // for one call of the platform
	Watchers   int          // of the platform, in each data centre
	// Notice is how long a stopping daemon still takes callers while its health check fails.
	Notice clock.Millis
	// ReplicaWait is how long a read may wait for a replica before it turns to the primary; 0 means not at all.
	ReplicaWait clock.Millis
}

// Parts are what the daemon is joined to; Access may be left empty.
type Parts struct {
	Clock   *clock.Clock
	Log     *zap.Logger
	Events  *event.Log
	Store   *platform.Store
	Tokens  *token.Keys
	Callers net.Listener
	Peers   net.Listener
	Admin   net.Listener
	Access  Access
	// PeerTransport carries the calls to peers; nil means the mesh's own.
	PeerTransport func(next http.RoundTripper) http.RoundTripper
}

// Daemon is one running process of the proxy.
type Daemon struct {
	cfg     Config
	p       Parts
	targets *targets
	holder  *config.Holder
	mesh    *peer.Mesh
	loop    *control.Loop
	router  *router
	server  *caller.Server
	meter   *meter
	ready   atomic.Bool
	// draining is set once for good, whatever becomes ready later.
	draining atomic.Bool
	known    known
}

// New joins the parts of a daemon; nothing runs before Run.
func New(cfg *Config, p *Parts) *Daemon {
	d := &Daemon{cfg: *cfg, p: *p}
	d.meter = newMeter(d.event)
	d.targets = newTargets(&cfg.Targets, p.Clock)
	d.loop = control.New(d.controlConfig(), p.Clock, d.controlSeams())
	d.holder = config.New(d.holderConfig(), p.Clock, d.holderSeams())
	d.mesh = peer.New(peer.Config{
		ID:           cfg.ID,
		Address:      p.Peers.Addr().String(),
		AdminAddress: p.Admin.Addr().String(),
		DataCentre:   cfg.DataCentre,
		Period:       cfg.Period,
		TLS:          p.Access.PeerTLS,
		Wrap:         d.wrapCalls,
	}, p.Clock, d.peerSeams())
	d.router = &router{clk: p.Clock, loop: d.loop, targets: d.targets, policy: cfg.Policy, place: cfg.DataCentre, meter: d.meter, replicaWait: cfg.ReplicaWait, retries: newRetries(p.Clock)}
	d.server = caller.New(cfg.Callers, d.callerSeams())
	return d
}

// wrapCalls adds to the calls to peers what this daemon sends with all of them.
func (d *Daemon) wrapCalls(next http.RoundTripper) http.RoundTripper {
	if d.p.PeerTransport != nil {
		next = d.p.PeerTransport(next)
	}
	return &stampTransport{d: d, next: next}
}

func newRetries(clk *clock.Clock) *retry.Policy {
	return &retry.Policy{Budget: retry.NewBudget(clk.Now()), BackOff: retry.NewBackOff()}
}

// Run serves until ctx ends, then drains and stops; the end of abort stops it at once, as a crash does.
func (d *Daemon) Run(ctx, abort context.Context) error {
	inner, stop := context.WithCancel(abort)
	defer stop()
	var wg sync.WaitGroup
	d.event(event.Event{Kind: event.Started})
	wg.Go(func() { d.loop.Run(inner) })
	wg.Go(func() { d.targets.run(inner) })
	wg.Go(func() { d.report("peers", d.mesh.Run(inner)) })
	wg.Go(func() { d.report("configuration", d.holder.Run(inner)) })
	wg.Go(func() { d.follow(inner) })
	wg.Go(func() { d.watchVMs(inner) })
	wg.Go(func() { d.count(inner) })
	wg.Go(func() { d.share(inner) })
	wg.Go(func() { d.warm(inner) })
	wg.Go(func() { d.serveHTTP(inner, d.p.Peers, d.peerHandler(), d.p.Access.PeerTLS) })
	wg.Go(func() { d.serveHTTP(inner, d.p.Admin, d.adminHandler(), d.p.Access.AdminTLS) })
	serving, endServing := context.WithCancel(context.WithoutCancel(ctx))
	defer endServing()
	leaving := context.AfterFunc(ctx, func() {
		d.leave(inner)
		endServing()
	})
	defer leaving()
	err := d.server.Serve(serving, d.p.Callers)
	d.event(event.Event{Kind: event.Stopped})
	stop()
	wg.Wait()
	if err != nil && !errors.Is(err, context.Canceled) {
		return eris.Wrap(err, "serve callers")
	}
	return nil
}

// Serves reports whether the daemon would send a write of the group to its primary now.
func (d *Daemon) Serves(id group.ID) bool {
	c, ok := d.loop.Snapshot().Groups[id]
	if !ok {
		return false
	}
	v := c.View()
	_, term, _ := route.PrimaryOf(v)
	return term > 0 && !v.Changing && len(v.Samples) > 0
}

// Flush writes the counts at hand to the time line.
func (d *Daemon) Flush() { d.meter.flush() }

// Ready reports whether the daemon takes new callers.
func (d *Daemon) Ready() bool { return d.ready.Load() && !d.draining.Load() }

// leave tells the balancer and the peers, and serves on until they have had time to act on it.
func (d *Daemon) leave(ctx context.Context) {
	d.draining.Store(true)
	d.event(event.Event{Kind: event.Draining})
	within, cancel := context.WithTimeout(ctx, farewellTime.Duration())
	defer cancel()
	if err := d.mesh.Leave(within); err != nil && !errors.Is(err, context.Canceled) {
		d.p.Log.Warn("leave peers", zap.Error(err))
	}
	_ = d.p.Clock.Sleep(ctx, d.cfg.Notice)
}

func (d *Daemon) report(part string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		d.p.Log.Error("part ended", zap.String("part", part), zap.Error(err))
	}
}

func (d *Daemon) event(e event.Event) {
	if err := d.p.Events.Add(e); err != nil {
		d.p.Log.Error("time line", zap.Error(err))
	}
}
