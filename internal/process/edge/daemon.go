package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/connection/relay"
	"github.com/cactusfork/cactusfork/internal/connection/socket"
	"github.com/cactusfork/cactusfork/internal/process/mirror"
	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/process/quota"
	"github.com/cactusfork/cactusfork/internal/request/admission"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/promotion"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform"
)

const (
	// memoryPercent is the share of the VM's memory that the garbage collector takes as its soft limit.
	memoryPercent = 60
	// garbagePercent is the garbage collector's target percentage (GOGC). It allows much garbage beside live memory to save processor time.
	garbagePercent = 200
	// reservedDescriptors is the number of file descriptors kept for files and for connections to targets and the platform.
	reservedDescriptors = 700
	// startupTimeout bounds a caller's startup, in milliseconds; callers give up after 2 s.
	startupTimeout clock.Millis = 1800
	// targetStartupTimeout bounds the startup of a connection at a target, in milliseconds.
	targetStartupTimeout clock.Millis = 600
	// staleConnectionTime is how long a target may still count the connections of a daemon that lost power.
	staleConnectionTime = 3 * clock.Second
	// drainMargin is how long before the end of the drain time a leaving target gets its last work, in milliseconds. It leaves time for the
	// steps on a connection before the statement: up to 400 ms each for a proof of the primary, or a BEGIN, and for the session's values.
	drainMargin clock.Millis = 1500
	// answerMargin is how long before the end of the grace period every statement has its answer, in milliseconds, and stopMargin how
	// long before it the daemon stops. Answers are written in between.
	answerMargin clock.Millis = 700
	stopMargin   clock.Millis = 400
	mebibyte                  = 1 << 20
)

// targetLimits are the time-outs after which a connection to a silent target is closed, in milliseconds.
var targetLimits = socket.Limits{Connect: 400, Unacknowledged: 700, KeepAlive: 1000}

// storeLimits are the time-outs after which a connection to a silent store is closed, in milliseconds.
var storeLimits = socket.Limits{Connect: 800, Unacknowledged: 1500, KeepAlive: 1000}

// callerLimits are the time-outs after which a connection of a silent caller is closed, in milliseconds.
var callerLimits = socket.Limits{KeepAlive: 5000}

// Daemon is one process of the proxy on the operator's platform.
type Daemon struct {
	id group.DaemonID
	// file is the path of the settings file.
	file  string
	set   *Settings
	clk   *clock.Clock
	log   *zap.Logger
	meter *meter
	store *store.Store
	// eras holds the store's newest era.
	eras store.EraTracker
	// calls counts all calls to the store.
	calls store.Calls
	// promote has the platform make a target the primary of its group, under a fencing token.
	promote   func(ctx context.Context, g group.ID, t group.TargetID, fence store.Version) error
	promotion promotion.Timeouts
	control   *controlLoop
	samples   *sampler
	server    *relay.Server
	bounds    *bounds
	view      atomic.Pointer[view]
	// storeUp is true while the targets' entries can be read. storeSince is the time since which they can, as clock.Millis; 0 while they
	// cannot.
	storeUp    atomic.Bool
	storeSince atomic.Int64
	// configSyncedAt is when the configuration was last known to be the newest one, as clock.Millis; 0 before the first read.
	configSyncedAt atomic.Int64
	// entries is the follower of the targets' entries; nil until it starts.
	entries  atomic.Pointer[follower]
	draining atomic.Bool
	// isolated is true while the daemon is cut off from most primaries.
	isolated     atomic.Bool
	targetDialer *net.Dialer
	// peerDialer opens connections to other daemons.
	peerDialer *net.Dialer
	peers      *peers
	// mirrors reads store objects from other daemons. caches holds what this daemon has read of the store, by key prefix.
	mirrors *mirror.Client
	caches  map[store.Key]*mirror.Cache
	quota   *quotas
	// costs holds the usual work of each route.
	costs *admission.Costs

	// startedAt is when Run began.
	startedAt clock.Millis
	// graceEnd is the end of the grace period, as clock.Millis; 0 until the daemon is told to stop.
	graceEnd atomic.Int64

	// ownMu serialises writes of the daemon's own entry. ownVersion is the version of that entry; 0 when there is none.
	ownMu      sync.Mutex
	ownVersion store.Version

	// claims holds the open claims of other daemons as last read; claimsMu guards it.
	claimsMu sync.Mutex
	claims   map[group.ID]observedClaim
	// resumptions are the resume commands that targets may still carry out, by the claims that this daemon has read and written; claimsMu
	// guards it.
	resumptions map[group.ID]promotion.Resumptions
	// terms holds what this daemon knows of the newest terms from the store.
	terms *termRecord
}

// New returns a daemon; nothing runs before Run.
func New(file string, set *Settings, clk *clock.Clock, log *zap.Logger) *Daemon {
	d := &Daemon{
		id: group.DaemonID(set.Daemon.ID), file: file, set: set, clk: clk, log: log, meter: newMeter(),
		promotion: promotion.Timeouts{
			Refusing: set.Failover.Refusing, Silent: set.Failover.Silent, Missing: set.Failover.Missing,
			Lost: promotion.DefaultTimeouts().Lost, ReceiptMaxAge: promotion.DefaultTimeouts().ReceiptMaxAge,
		},
		samples:      newSampler(),
		targetDialer: socket.Dialer(targetLimits),
		peers:        newPeers(),
		peerDialer:   socket.Dialer(peerLimits),
		mirrors:      mirror.NewClient(socket.Dialer(peerLimits).DialContext),
		caches:       map[store.Key]*mirror.Cache{platform.ConfigPrefix: {}, platform.TargetsPrefix: {}, peerPrefix: {}},
		claims:       make(map[group.ID]observedClaim), resumptions: make(map[group.ID]promotion.Resumptions),
		terms: newTermRecord(),
		costs: admission.NewCosts(),
	}
	d.bounds = d.newBounds(set)
	d.eras.OnRestore = d.handleRestore
	d.Gauge("placement-imbalance", d.imbalance)
	d.gaugeStoreCalls("store-calls", &d.calls)
	d.Gauge("store-era", func() int64 { return int64(d.eras.Newest()) })
	d.store = d.dialStore("own", set.configWatchTimeout(), false)
	d.promote = platform.Promoter(d.storeConfig(set.Platform.DutyAddress, 0), d.id)
	d.control = newControlLoop(d)
	d.quota = newQuotas(d)
	d.view.Store(&view{})
	messages, account := d.bounds.callerLimits(), d.bounds.account
	d.server = relay.New(d.relayConfig(), d.dependencies(), platform.Callers(messages, account), platform.Peers(messages, account))
	return d
}

func (d *Daemon) storeConfig(address string, wait clock.Millis) platform.StoreConfig {
	return platform.StoreConfig{
		Address: address, Timeout: d.set.Platform.Timeout, Wait: wait, Dial: socket.Dialer(storeLimits).DialContext,
		MaxObject: d.bounds.limits.StoreObject * kibibyte, MaxList: d.bounds.limits.StoreList * mebibyte,
		Cut: func(int) { d.reportRejection("store-object", 0) },
	}
}

// dialStore returns the platform's store. Its watches wait up to wait, its lists may be stale if stale is set, and its calls are counted in total and by purpose.
func (d *Daemon) dialStore(purpose string, wait clock.Millis, stale bool) *store.Store {
	cfg := d.storeConfig(d.set.Platform.StoreAddress, wait)
	cfg.Stale, cfg.Eras = stale, &d.eras
	calls := &store.Calls{}
	d.gaugeStoreCalls("store-calls-"+purpose, calls)
	return store.CountCalls(store.CountCalls(platform.DialStore(cfg), &d.calls), calls)
}

func (d *Daemon) handleRestore(era, before store.Era) {
	d.count("store-restores")
	d.terms.beginEra(d.clk.Now(), true)
	d.log.Warn("store restored from a copy", zap.Uint64("era", uint64(era)), zap.Uint64("before", uint64(before)))
}

func (d *Daemon) dependencies() relay.Dependencies {
	return relay.Dependencies{
		Clock:           d.clk,
		Route:           d.route,
		Identify:        d.identify,
		Admit:           d.admit,
		Refund:          d.refund,
		TransactionIdle: d.transactionIdle,
		Acquire:         d.acquire,
		Sample:          d.sample,
		PrimaryProven:   d.handlePrimaryProof,
		TargetReplied:   d.handleReply,
		ConnFailed:      d.handleFailure,
		Home:            d.connectHome,
		Serves:          d.servesRoute,
		HomeFailed:      d.handleHomeClosed,
		HomeReplied:     d.recordHomeReply,
		Report:          d.reportStatement,
	}
}

func (d *Daemon) route(db topology.Database) (*topology.Route, bool) {
	cfg := d.view.Load().config
	if cfg == nil {
		return nil, false
	}
	return cfg.Routes[db], true
}

func (d *Daemon) transactionIdle() clock.Millis {
	if cfg := d.view.Load().config; cfg != nil {
		return cfg.TransactionIdleTimeout
	}
	return 0
}

// newTarget returns a target with a pool of connections for an entry.
func (d *Daemon) newTarget(m *topology.Target) *target {
	limit := m.Slots
	if v := d.view.Load(); v.config != nil {
		limit = v.config.Groups[m.Group].MaxConnections
	}
	pool := link.NewPool(link.PoolConfig{
		Group: m.Group, Target: m.ID, Address: m.Address, Maximum: max(limit, m.Slots, 2), Clock: d.clk,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.targetDialer.DialContext(ctx, "tcp", address)
		},
		EarlyLimitUntil: d.startedAt + staleConnectionTime,
		Protocol:        platform.Targets(d.bounds.account), StartupTimeout: targetStartupTimeout,
		OnOpen: func() { d.count("target-connections-opened") },
	})
	t := newTarget(m, pool, d.clk, d.set.Daemon.Drain-drainMargin)
	t.costs, t.graded = d.costs, d.set.graded()
	t.startNew(d.startedAt)
	return t
}

// Run serves callers until ctx ends, then drains and stops. It fails when it cannot listen or accept.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(d.set.Limits.Memory) * mebibyte * memoryPercent / 100)
	debug.SetGCPercent(garbagePercent)
	d.startedAt = d.clk.Now()
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, err := socket.ListenConfig(callerLimits).Listen(inner, "tcp", d.set.Daemon.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	health, err := net.Listen("tcp", d.set.Daemon.HealthAddress)
	if err != nil {
		return fmt.Errorf("listen for health checks: %w", err)
	}
	if d.set.Daemon.MirrorAddress != "" {
		if err := d.serveMirror(inner); err != nil {
			return err
		}
	}
	if d.set.Daemon.PeerAddress != "" {
		if err := d.joinPeers(inner); err != nil {
			return err
		}
	}
	go d.control.run(inner)
	go d.reloadOnSignal(inner, d.file)
	go d.followConfig(inner)
	go d.followTargets(inner)
	go d.keepHolders(inner)
	go d.keepTerms(inner)
	go d.serveHTTP(inner, d.limitListener(health, d.bounds.limits.HTTPConnections), http.HandlerFunc(d.health))
	if d.set.Daemon.MetricsAddress != "" {
		go d.serveMetrics(inner)
	}
	stopping := context.AfterFunc(ctx, func() { d.drain(inner, callers) })
	defer stopping()
	d.log.Info("daemon started", zap.String("caller-address", d.set.Daemon.CallerAddress), zap.Any("settings", d.set))
	serveErr := d.server.Serve(inner, callers)
	if ctx.Err() != nil {
		drainCtx, cancel := context.WithTimeout(inner, (clock.Millis(d.graceEnd.Load()) - stopMargin - d.clk.Now()).Duration())
		defer cancel()
		if err := d.server.Drain(drainCtx); err != nil {
			d.log.Warn("daemon stopping with open sessions", zap.Error(err))
		}
	}
	d.log.Info("daemon stopped")
	if serveErr != nil {
		return fmt.Errorf("serve: %w", serveErr)
	}
	return nil
}

// joinPeers accepts sessions that other daemons forward, and publishes this daemon's address for them.
func (d *Daemon) joinPeers(ctx context.Context) error {
	l, err := socket.ListenConfig(callerLimits).Listen(ctx, "tcp", d.set.Daemon.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peer daemons: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		if err := d.server.ServeForwarded(ctx, l); err != nil {
			d.warn("serving peer daemons failed", err)
		}
	}()
	go d.followPeers(ctx)
	return nil
}

// serveMirror serves to other daemons what this one has read of the store.
func (d *Daemon) serveMirror(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", d.set.Daemon.MirrorAddress)
	if err != nil {
		return fmt.Errorf("listen for mirror clients: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(mirror.Handler(d.clk, d.caches, d.bounds.account))
	mux.Handle(quota.Handler(d.quota.issuer))
	limited := d.limitListener(l, d.bounds.limits.MirrorConnections)
	d.bounds.mirror.Store(limited)
	go d.serveHTTP(ctx, limited, mux)
	return nil
}

// drain fails the health check, and stops accepting callers after the notice period, in which the balancer sees the failure.
func (d *Daemon) drain(ctx context.Context, callers net.Listener) {
	now, grace := d.clk.Now(), d.set.Daemon.Grace
	d.graceEnd.Store(int64(now + grace))
	d.server.SetStop(relay.Stop{TransactionsUntil: now + grace/2, AnswerBy: now + grace - answerMargin})
	d.draining.Store(true)
	d.quota.issuer.Stop()
	d.log.Info("daemon draining", zap.Int("sessions", d.server.Len()))
	if d.set.Daemon.PeerAddress != "" {
		go d.registerLeaving(ctx)
	}
	_ = d.clk.Sleep(ctx, d.set.Daemon.Notice) // the end of ctx only shortens the notice period
	if err := callers.Close(); err != nil {
		d.warn("closing caller listener failed", err)
	}
}

// ready reports whether the daemon can serve callers.
func (d *Daemon) ready() bool {
	v := d.view.Load()
	if d.draining.Load() || d.isolated.Load() || v.config == nil {
		return false
	}
	for _, g := range v.groups {
		if len(g.targets) > 0 {
			return true
		}
	}
	return false
}

// health answers the balancer's health checks: 200 while the daemon is ready, else 503.
func (d *Daemon) health(w http.ResponseWriter, _ *http.Request) {
	if !d.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
