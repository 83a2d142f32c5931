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
	// DefaultRestartDelay is the default time between the crash and the restart of a target, in milliseconds.
	DefaultRestartDelay = 10 * clock.Second
	// MaxPort is the highest port of the platform; targets and daemons use the 40 ports above it.
	MaxPort = 65535 - 40

	// slots is the number of statements that a target runs at once.
	slots = 5
	// connections is the number of connections that a target accepts.
	connections = 30
	// lag is the time between receiving and applying a log record on replicas, in milliseconds.
	lag clock.Millis = 20
)

// Config configures the stand-ins and the files that Run writes for daemons.
type Config struct {
	// Directory receives the settings files and the token key; Run creates it if it is missing.
	Directory string
	// Daemons is the number of settings files to write.
	Daemons int
	// Port is the platform's; 0 chooses free ports.
	Port int
	// CrashAfter is the time from the start to the crash of the primary, in milliseconds; 0 disables the crash.
	CrashAfter clock.Millis
	// RestartAfter is the time from the crash to the restart of the crashed target, in milliseconds.
	RestartAfter clock.Millis
	// Print prints one line for the operator.
	Print func(line string)
}

// Run serves the stand-ins until ctx ends, and then returns nil.
func Run(ctx context.Context, cfg *Config, clk *clock.Clock) error {
	dir, err := filepath.Abs(cfg.Directory)
	if err != nil {
		return fmt.Errorf("resolve directory: %w", err)
	}
	p, err := newPlan(cfg.Port, cfg.Daemons)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s, err := startStandIns(ctx, p, clk)
	if err != nil {
		return err
	}
	if err := p.writeFiles(dir, s.Platform.URL()); err != nil {
		return err
	}
	p.printInstructions(dir, s.Platform.URL(), cfg.Print)
	if cfg.CrashAfter > 0 {
		if err := crashPrimary(ctx, s, cfg, clk); err != nil && ctx.Err() == nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

func startStandIns(ctx context.Context, p *plan, clk *clock.Clock) (*trial.StandIns, error) {
	return trial.StartStandIns(ctx, &trial.StandInConfig{
		Target:   targetstand.Config{Slots: slots, Connections: connections, Lag: lag},
		Listen:   p.targets,
		Platform: p.platform,
	}, clk)
}

// crashPrimary crashes the target that is the primary after cfg.CrashAfter, and restarts it after cfg.RestartAfter.
func crashPrimary(ctx context.Context, s *trial.StandIns, cfg *Config, clk *clock.Clock) error {
	if err := clk.Sleep(ctx, cfg.CrashAfter); err != nil {
		return err
	}
	t := s.Primary()
	t.Crash()
	cfg.Print(fmt.Sprintf("crashed the primary %s", t.ID()))
	if err := clk.Sleep(ctx, cfg.RestartAfter); err != nil {
		return err
	}
	if err := t.Restart(ctx); err != nil {
		return fmt.Errorf("restart crashed target: %w", err)
	}
	cfg.Print(fmt.Sprintf("restarted %s", t.ID()))
	return nil
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
