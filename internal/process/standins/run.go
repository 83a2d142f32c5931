package standins

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"strconv"

	"github.com/cactusfork/cactusfork/internal/process/config"
	"github.com/cactusfork/cactusfork/internal/process/control"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	platformstand "github.com/cactusfork/cactusfork/internal/standin/platform"
	targetstand "github.com/cactusfork/cactusfork/internal/standin/target"
	"github.com/cactusfork/cactusfork/internal/trial"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// DefaultRestart is how long a crashed target stays away unless told, in milliseconds.
	DefaultRestart = 10 * clock.Second
	// MaxPort is the highest port of the platform, which leaves room for the others.
	MaxPort = 65535 - 40

	members     = 3
	slots       = 5
	connections = 30
	// lag is the time between receiving and applying on replicas, in milliseconds.
	lag clock.Millis = 20
)

// dataCentres are the places of targets and daemons, in turn.
var dataCentres = []group.DataCentre{"stgo-a", "stgo-b", "rancagua"}

// Config says what to serve; Port 0 picks free ports.
type Config struct {
	Directory string
	Daemons   int
	Port      int
	// CrashAfter is when the primary crashes, in milliseconds from the start; 0 is never.
	CrashAfter clock.Millis
	// RestartAfter is how long the crashed target stays away, in milliseconds.
	RestartAfter clock.Millis
	// Tell takes what the operator should know, line by line.
	Tell func(line string)
}

// cast is the running stand-ins.
type cast struct {
	network  *targetstand.Network
	targets  []*targetstand.Target
	platform *platformstand.Server
}

// Run serves until ctx ends, whose end is no error.
func Run(ctx context.Context, cfg *Config, clk *clock.Clock) error {
	dir, err := filepath.Abs(cfg.Directory)
	if err != nil {
		return fmt.Errorf("find directory: %w", err)
	}
	p, err := newPlan(cfg.Port, cfg.Daemons)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c := &cast{}
	if err := c.start(ctx, p, clk); err != nil {
		return err
	}
	if err := p.write(dir, c.platform.URL()); err != nil {
		return err
	}
	p.tell(dir, c.platform.URL(), cfg.Tell)
	if cfg.CrashAfter > 0 {
		if err := c.crash(ctx, cfg, clk); err != nil && ctx.Err() == nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

func (c *cast) start(ctx context.Context, p *plan, clk *clock.Clock) error {
	c.network = targetstand.NewNetwork(clk)
	rec := group.Record{ID: trial.GroupID, Term: 1}
	for i, address := range p.targets {
		t, err := c.network.Start(ctx, targetstand.Config{
			ID:          group.TargetID(fmt.Sprintf("%s-%c", trial.GroupID, 'a'+i)),
			DataCentre:  dataCentres[i%len(dataCentres)],
			Listen:      address,
			Slots:       slots,
			Connections: connections,
			Lag:         lag,
		})
		if err != nil {
			return fmt.Errorf("start target: %w", err)
		}
		c.targets = append(c.targets, t)
		rec.Targets = append(rec.Targets, group.Target{
			ID: t.ID(), Address: t.Address(), DataCentre: t.DataCentre(), Slots: slots, Connections: connections,
		})
	}
	rec.Primary = c.targets[0].ID()
	if err := c.network.Bootstrap(ctx, rec.Primary, rec.Term, trial.Schema); err != nil {
		return fmt.Errorf("bootstrap group: %w", err)
	}
	var err error
	if c.platform, err = platformstand.Start(ctx, platformstand.Config{Listen: p.platform}); err != nil {
		return fmt.Errorf("start platform: %w", err)
	}
	return publishAll(ctx, platform.Dial(platform.Config{URL: c.platform.URL()}, clk), &rec)
}

func publishAll(ctx context.Context, store *platform.Store, rec *group.Record) error {
	value, err := json.Marshal(rec)
	if err != nil {
		return fmt.Errorf("encode group: %w", err)
	}
	if _, err := store.Put(ctx, control.GroupKey(rec.ID), value, 0); err != nil {
		return fmt.Errorf("put group: %w", err)
	}
	svc, err := service.Parse("precios.ini", []byte(trial.ServiceFile))
	if err != nil {
		return fmt.Errorf("parse service: %w", err)
	}
	if value, err = service.Encode(svc); err != nil {
		return err
	}
	if _, err := store.Put(ctx, config.Services+platform.Key(svc.Name), value, 0); err != nil {
		return fmt.Errorf("put service: %w", err)
	}
	return nil
}

// crash ends the primary of that moment and restarts it later.
func (c *cast) crash(ctx context.Context, cfg *Config, clk *clock.Clock) error {
	if err := clk.Sleep(ctx, cfg.CrashAfter); err != nil {
		return err
	}
	t := c.primary()
	t.Crash()
	cfg.Tell(fmt.Sprintf("crashed the primary %s", t.ID()))
	if err := clk.Sleep(ctx, cfg.RestartAfter); err != nil {
		return err
	}
	if err := t.Restart(ctx); err != nil {
		return fmt.Errorf("restart crashed target: %w", err)
	}
	cfg.Tell(fmt.Sprintf("restarted %s", t.ID()))
	return nil
}

// primary is the target that takes writes at the highest term.
func (c *cast) primary() *targetstand.Target {
	best := c.targets[0]
	for _, t := range c.targets {
		if st := t.Status(); st.Primary && st.Received.Term >= best.Status().Received.Term {
			best = t
		}
	}
	return best
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
