package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cactusfork/cactusfork/internal/process/access"
	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/process/settings"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
)

// memoryPercent is the share of the memory in the settings that the garbage collector takes as its soft limit.
const memoryPercent = 60

// maxEvents is how many events of the time line a daemon keeps in memory for operators.
const maxEvents = 20_000

func newServe(stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one daemon until it is told to stop",
		Description: "SIGINT or SIGTERM drains it: it refuses new callers, running exchanges may finish within the drain time, then it stops.\n\n" +
			"Example: cactusfork serve --settings entry-1.ini",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "the daemon's INI file"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c.String("settings"), stderr) },
	}
}

func serve(ctx context.Context, file string, stderr io.Writer) error {
	cfg, err := settings.Load(file)
	if err != nil {
		return &inputError{err: err}
	}
	level, err := zapcore.ParseLevel(cfg.Log.Level)
	if err != nil {
		return &inputError{err: err}
	}
	log := newLog(stderr, level).With(zap.String("daemon", cfg.Daemon.ID))
	clk := clock.System()
	acc, err := access.Load(file, cfg, clk, func(err error) { log.Error("access files not reloaded", zap.Error(err)) })
	if err != nil {
		return &inputError{err: err}
	}
	deps, closeDeps, err := openParts(cfg, clk, log)
	if err != nil {
		return err
	}
	defer closeDeps()
	deps.Access = *acc
	daemonCfg := entry.FromSettings(cfg)
	if daemonCfg.Targets.Password, err = readPassword(cfg.Targets.PasswordFile); err != nil {
		return &inputError{err: err}
	}
	debug.SetMemoryLimit(int64(cfg.Limits.Memory) << 20 * memoryPercent / 100)
	log.Info("daemon serving callers", zap.String("caller-address", cfg.Daemon.CallerAddress))
	if err := entry.New(&daemonCfg, deps).Run(ctx, context.WithoutCancel(ctx)); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	log.Info("daemon stopped")
	return nil
}

// openParts opens the files and listeners of a daemon; the returned function closes the time line, which Run leaves open.
func openParts(cfg *settings.Settings, clk *clock.Clock, log *zap.Logger) (*entry.Dependencies, func(), error) {
	deps := &entry.Dependencies{Clock: clk, Log: log}
	keys, err := loadTokenKeys(cfg.Callers.TokenKeyFile, cfg.Callers.PreviousTokenKeyFile)
	if err != nil {
		return nil, nil, &inputError{err: err}
	}
	deps.Tokens = keys
	var w io.Writer
	closeTimeline := func() {}
	if cfg.Log.TimelineFile != "" {
		f, err := os.OpenFile(cfg.Log.TimelineFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, &inputError{err: fmt.Errorf("open time line: %w", err)}
		}
		w = f
		closeTimeline = func() { _ = f.Close() }
	}
	deps.Events = event.NewLog(cfg.Daemon.ID, maxEvents, clk, w)
	deps.Store = platform.Dial(platform.Config{URL: cfg.Platform.URL, Timeout: cfg.Platform.Timeout, MaxResponse: entry.MaxStoreResponse(cfg)}, clk)
	listeners := []struct {
		address string
		l       *net.Listener
	}{
		{cfg.Daemon.CallerAddress, &deps.Callers},
		{cfg.Daemon.PeerAddress, &deps.Peers},
		{cfg.Daemon.AdminAddress, &deps.Admin},
	}
	for i, o := range listeners {
		if *o.l, err = net.Listen("tcp", o.address); err != nil {
			for _, opened := range listeners[:i] {
				_ = (*opened.l).Close()
			}
			closeTimeline()
			return nil, nil, fmt.Errorf("listen: %w", err)
		}
	}
	return deps, closeTimeline, nil
}
