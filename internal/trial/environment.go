package trial

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/entry"
	targetstand "github.com/cactusfork/cactusfork/internal/standin/target"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
	"github.com/cactusfork/cactusfork/pkg/token"
)

// GroupID is the ID of the demo group.
const GroupID group.ID = "precios-db-1"

// Schema creates the table of the demo group. Each write of a session appends its tag to the column lot.
const Schema = `CREATE TABLE quotes(id text primary key, lot text, price integer)`

// ServiceFile is the service definition of the demo group.
const ServiceFile = `[service]
name = precios
group = precios-db-1

[request "bulletin.lookup"]
kind = read
max-age = 5s
weight = 1

[request "lot.read"]
kind = read
weight = 1

[request "quote.revise"]
kind = write
weight = 2

[request "quote.create"]
kind = write
non-idempotent = true
weight = 2
`

// dataCentres lists the data centres to which daemons and targets are assigned in rotation.
var dataCentres = []group.DataCentre{"stgo-a", "stgo-b", "rancagua"}

// DataCentre returns the data centre of the i-th daemon or target, counted from 0.
func DataCentre(i int) group.DataCentre { return dataCentres[i%len(dataCentres)] }

// Environment holds the running stand-ins and daemons of a trial.
type Environment struct {
	cfg Config
	clk *clock.Clock
	*StandIns
	// Events holds the event log of each daemon, in the order of the daemons.
	Events    []*event.Log
	partition *partition
	instances []*instance
	wg        sync.WaitGroup
	stop      context.CancelFunc
}

// instance is one daemon of the environment.
type instance struct {
	daemon  *entry.Daemon
	address string // for callers
	admin   string
	crash   context.CancelFunc // stops the daemon at once
	drain   context.CancelFunc // starts a graceful shutdown
	callers *trackingListener
}

// NewEnvironment starts the stand-ins and the daemons, which run until ctx ends or Close is called.
func NewEnvironment(ctx context.Context, cfg *Config, clk *clock.Clock, log *zap.Logger) (*Environment, error) {
	ctx, cancel := context.WithCancel(ctx)
	env := &Environment{cfg: cfg.withDefaults(), clk: clk, stop: cancel, partition: newPartition()}
	if err := env.build(ctx, log); err != nil {
		env.Close()
		return nil, err
	}
	return env, nil
}

// Close stops all daemons and stand-ins and waits until the daemons have stopped.
func (env *Environment) Close() {
	env.stop()
	env.wg.Wait()
}

// Addresses returns the daemons' addresses for callers.
func (env *Environment) Addresses() []string {
	out := make([]string, 0, len(env.instances))
	for _, inst := range env.instances {
		out = append(out, inst.address)
	}
	return out
}

// AdminAddresses returns the daemons' admin addresses.
func (env *Environment) AdminAddresses() []string {
	out := make([]string, 0, len(env.instances))
	for _, inst := range env.instances {
		out = append(out, inst.admin)
	}
	return out
}

func (env *Environment) build(ctx context.Context, log *zap.Logger) error {
	if err := env.startStandIns(ctx); err != nil {
		return err
	}
	return env.startDaemons(ctx, log)
}

func (env *Environment) startStandIns(ctx context.Context) error {
	var err error
	env.StandIns, err = StartStandIns(ctx, &StandInConfig{Target: targetstand.Config{
		Slots:         env.cfg.Slots,
		Connections:   env.cfg.Connections,
		ConnectDelay:  env.cfg.ConnectDelay,
		StatementTime: env.cfg.StatementTime,
		Lag:           env.cfg.Lag,
	}}, env.clk)
	if err != nil {
		return err
	}
	for _, t := range env.Targets {
		env.partition.assign(t.Address(), t.DataCentre())
	}
	return nil
}

func (env *Environment) startDaemons(ctx context.Context, log *zap.Logger) error {
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return fmt.Errorf("generate token key: %w", err)
	}
	keys, err := token.NewKeys(key)
	if err != nil {
		return fmt.Errorf("create token keys: %w", err)
	}
	peers, err := listenAll(env.cfg.Daemons, "127.0.0.1:0")
	if err != nil {
		return err
	}
	callers, err := listenAll(env.cfg.Daemons, env.cfg.Listen)
	if err != nil {
		return err
	}
	admins, err := listenAll(env.cfg.Daemons, "127.0.0.1:0")
	if err != nil {
		return err
	}
	var seeds []string
	for _, l := range peers {
		seeds = append(seeds, l.Addr().String())
	}
	for i, l := range peers {
		env.partition.assign(l.Addr().String(), DataCentre(i))
	}
	for i := range env.cfg.Daemons {
		env.startDaemon(ctx, log, i, &entry.Dependencies{
			Tokens: keys, Callers: callers[i], Peers: peers[i], Admin: admins[i],
		}, seeds)
	}
	return nil
}

func (env *Environment) startDaemon(ctx context.Context, log *zap.Logger, i int, deps *entry.Dependencies, seeds []string) {
	id := group.DaemonID("entry-" + strconv.Itoa(i+1))
	events := event.NewLog(string(id), 100_000, env.clk, nil)
	env.Events = append(env.Events, events)
	deps.Clock = env.clk
	deps.Log = log.With(zap.String("daemon", string(id)))
	deps.Events = events
	deps.Store = env.Store(env.clk)
	deps.Access.Alter = env.cfg.Alter
	cfg := entry.Defaults(id, DataCentre(i))
	cfg.Seeds = seeds
	cfg.Policy = env.cfg.Policy
	cfg.Targets.Dial = env.partition.dialer(cfg.DataCentre)
	deps.PeerTransport = env.partition.transport(cfg.DataCentre)
	deps.Store = env.partition.store(cfg.DataCentre, deps.Store)
	callers := &trackingListener{Listener: deps.Callers}
	deps.Callers = callers
	d := entry.New(&cfg, deps)
	abort, crash := context.WithCancel(context.WithoutCancel(ctx))
	runCtx, drain := context.WithCancel(ctx)
	env.instances = append(env.instances, &instance{
		daemon: d, address: deps.Callers.Addr().String(), admin: deps.Admin.Addr().String(), crash: crash, drain: drain, callers: callers,
	})
	env.wg.Go(func() {
		defer crash()
		defer drain()
		if err := d.Run(runCtx, abort); err != nil && !errors.Is(err, context.Canceled) {
			deps.Log.Error("daemon stopped with an error", zap.Error(err))
		}
	})
}

// listenAll opens n listeners on the port of address and the ports after it, or on free ports if the port is 0.
func listenAll(n int, address string) ([]net.Listener, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("parse listen address: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("parse listen port: %w", err)
	}
	var out []net.Listener
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err != nil {
			for _, o := range out {
				_ = o.Close()
			}
			return nil, fmt.Errorf("listen: %w", err)
		}
		out = append(out, l)
		if port != 0 {
			port++
		}
	}
	return out, nil
}
