package standins

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strconv"

	targetstand "github.com/cactusfork/cactusfork/internal/standin/target"
	"github.com/cactusfork/cactusfork/internal/trial"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// DefaultRestart is how long a crashed target stays away unless told, in milliseconds.
	DefaultRestart = 10 * clock.Second
	// MaxPort is the highest port of the platform, which leaves room for the others.
	MaxPort = 65535 - 40

	slots       = 5
	connections = 30
	// lag is the time between receiving and applying on replicas, in milliseconds.
	lag clock.Millis = 20
)

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
	s, err := start(ctx, p, clk)
	if err != nil {
		return err
	}
	if err := p.write(dir, s.Platform.URL()); err != nil {
		return err
	}
	p.tell(dir, s.Platform.URL(), cfg.Tell)
	if cfg.CrashAfter > 0 {
		if err := crash(ctx, s, cfg, clk); err != nil && ctx.Err() == nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

func start(ctx context.Context, p *plan, clk *clock.Clock) (*trial.StandIns, error) {
	return trial.StartStandIns(ctx, &trial.StandInConfig{
		Target:   targetstand.Config{Slots: slots, Connections: connections, Lag: lag},
		Listen:   p.targets,
		Platform: p.platform,
	}, clk)
}

// crash ends the primary of that moment and restarts it later.
func crash(ctx context.Context, s *trial.StandIns, cfg *Config, clk *clock.Clock) error {
	if err := clk.Sleep(ctx, cfg.CrashAfter); err != nil {
		return err
	}
	t := s.Primary()
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

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
