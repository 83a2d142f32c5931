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

// GroupID is the group of the demo.
const GroupID group.ID = "precios-db-1"

// Schema is the table of the demo.
const Schema = `CREATE TABLE quotes(id text primary key, lot text, price integer)`

// ServiceFile is the service file of the demo.
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

// dataCentres are the places of the demo's daemons and targets, in turn.
var dataCentres = []group.DataCentre{"stgo-a", "stgo-b", "rancagua"}

// DataCentre is the place of the i-th daemon or target.
func DataCentre(i int) group.DataCentre { return dataCentres[i%len(dataCentres)] }

// Environment is the running stand-ins and daemons of a trial.
type Environment struct {
	cfg Config
	clk *clock.Clock
	*StandIns
	Events    []*event.Log
	partition *partition
	instances []*instance
	work      sync.WaitGroup
	stop      context.CancelFunc
}

// instance is one daemon of the environment.
type instance struct {
	daemon  *entry.Daemon
	address string
	admin   string
	crash   context.CancelFunc
	drain   context.CancelFunc
	callers *cuttable
}

// NewEnvironment starts stand-ins and daemons; they end with ctx.
func NewEnvironment(ctx context.Context, cfg *Config, clk *clock.Clock, log *zap.Logger) (*Environment, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Environment{cfg: cfg.withDefaults(), clk: clk, stop: cancel, partition: newPartition()}
	if err := s.build(ctx, log); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close ends all daemons and stand-ins, and waits for them.
func (s *Environment) Close() {
	s.stop()
	s.work.Wait()
}

// Addresses are where the daemons take callers.
func (s *Environment) Addresses() []string {
	out := make([]string, 0, len(s.instances))
	for _, a := range s.instances {
		out = append(out, a.address)
	}
	return out
}

// AdminAddresses are where the daemons answer operators.
func (s *Environment) AdminAddresses() []string {
	out := make([]string, 0, len(s.instances))
	for _, a := range s.instances {
		out = append(out, a.admin)
	}
	return out
}

func (s *Environment) build(ctx context.Context, log *zap.Logger) error {
	if err := s.startStandIns(ctx); err != nil {
		return err
	}
	return s.startDaemons(ctx, log)
}

func (s *Environment) startStandIns(ctx context.Context) error {
	var err error
	s.StandIns, err = StartStandIns(ctx, &StandInConfig{Target: targetstand.Config{
		Slots:         s.cfg.Slots,
		Connections:   s.cfg.Connections,
		ConnectDelay:  s.cfg.ConnectDelay,
		StatementTime: s.cfg.StatementTime,
		Lag:           s.cfg.Lag,
	}}, s.clk)
	if err != nil {
		return err
	}
	for _, t := range s.Targets {
		s.partition.place(t.Address(), t.DataCentre())
	}
	return nil
}

func (s *Environment) startDaemons(ctx context.Context, log *zap.Logger) error {
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return fmt.Errorf("draw token key: %w", err)
	}
	keys, err := token.NewKeys(key)
	if err != nil {
		return fmt.Errorf("make token keys: %w", err)
	}
	peers, err := listenAll(s.cfg.Daemons, "127.0.0.1:0")
	if err != nil {
		return err
	}
	callers, err := listenAll(s.cfg.Daemons, s.cfg.Listen)
	if err != nil {
		return err
	}
	admins, err := listenAll(s.cfg.Daemons, "127.0.0.1:0")
	if err != nil {
		return err
	}
	var seeds []string
	for _, l := range peers {
		seeds = append(seeds, l.Addr().String())
	}
	for i, l := range peers {
		s.partition.place(l.Addr().String(), DataCentre(i))
	}
	for i := range s.cfg.Daemons {
		s.startDaemon(ctx, log, i, &entry.Parts{
			Tokens: keys, Callers: callers[i], Peers: peers[i], Admin: admins[i],
		}, seeds)
	}
	return nil
}

func (s *Environment) startDaemon(ctx context.Context, log *zap.Logger, i int, p *entry.Parts, seeds []string) {
	id := group.DaemonID("entry-" + strconv.Itoa(i+1))
	events := event.NewLog(string(id), 100_000, s.clk, nil)
	s.Events = append(s.Events, events)
	p.Clock = s.clk
	p.Log = log.With(zap.String("daemon", string(id)))
	p.Events = events
	p.Store = s.Store(s.clk)
	p.Access.Alter = s.cfg.Alter
	cfg := entry.Defaults(id, DataCentre(i))
	cfg.Seeds = seeds
	cfg.Policy = s.cfg.Policy
	cfg.Targets.Dial = s.partition.dialer(cfg.DataCentre)
	p.PeerTransport = s.partition.transport(cfg.DataCentre)
	p.Store = s.partition.store(cfg.DataCentre, p.Store)
	callers := &cuttable{Listener: p.Callers}
	p.Callers = callers
	d := entry.New(&cfg, p)
	abort, crash := context.WithCancel(context.WithoutCancel(ctx))
	within, drain := context.WithCancel(ctx)
	s.instances = append(s.instances, &instance{
		daemon: d, address: p.Callers.Addr().String(), admin: p.Admin.Addr().String(), crash: crash, drain: drain, callers: callers,
	})
	s.work.Go(func() {
		defer crash()
		defer drain()
		if err := d.Run(within, abort); err != nil && !errors.Is(err, context.Canceled) {
			p.Log.Error("daemon ended", zap.Error(err))
		}
	})
}

// listenAll opens n listeners on the port of address and the next ones, or on free ports when it is 0.
func listenAll(n int, address string) ([]net.Listener, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen address: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("listen port: %w", err)
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
