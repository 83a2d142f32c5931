package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"

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

// keptEvents is how many events of the time line a daemon holds for readers.
const keptEvents = 20_000

func newServe(stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one daemon until it is told to stop",
		Description: "SIGINT or SIGTERM drains it: new callers are refused, exchanges at work go on for a while.\n\n" +
			"Example: cactusfork serve --settings entry-1.ini",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "the daemon's INI file"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c.String("settings"), stderr) },
	}
}

func serve(ctx context.Context, file string, stderr io.Writer) error {
	set, err := settings.Load(file)
	if err != nil {
		return &badInput{err: err}
	}
	level, err := zapcore.ParseLevel(set.Log.Level)
	if err != nil {
		return &badInput{err: err}
	}
	log := newLog(stderr, level).With(zap.String("daemon", set.Daemon.ID))
	clk := clock.System()
	acc, err := access.Load(file, set, clk, func(err error) { log.Error("access files", zap.Error(err)) })
	if err != nil {
		return &badInput{err: err}
	}
	parts, done, err := newParts(set, clk, log)
	if err != nil {
		return err
	}
	defer done()
	parts.Access = *acc
	cfg := entry.FromSettings(set)
	if cfg.Targets.Password, err = readPassword(set.Targets.PasswordFile); err != nil {
		return &badInput{err: err}
	}
	log.Info("serving", zap.String("caller-address", set.Daemon.CallerAddress))
	if err := entry.New(&cfg, parts).Run(ctx, context.WithoutCancel(ctx)); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	log.Info("stopped")
	return nil
}

// newParts opens what a daemon is joined to; done closes what Run does not.
func newParts(set *settings.Settings, clk *clock.Clock, log *zap.Logger) (*entry.Parts, func(), error) {
	p := &entry.Parts{Clock: clk, Log: log}
	keys, err := loadTokenKeys(set.Callers.TokenKeyFile, set.Callers.PreviousTokenKeyFile)
	if err != nil {
		return nil, nil, &badInput{err: err}
	}
	p.Tokens = keys
	var w io.Writer
	done := func() {}
	if set.Log.TimelineFile != "" {
		f, err := os.OpenFile(set.Log.TimelineFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, &badInput{err: fmt.Errorf("open time line: %w", err)}
		}
		w = f
		done = func() { _ = f.Close() }
	}
	p.Events = event.NewLog(set.Daemon.ID, keptEvents, clk, w)
	p.Store = platform.Dial(platform.Config{URL: set.Platform.URL, Timeout: set.Platform.Timeout}, clk)
	listeners := []struct {
		address string
		l       *net.Listener
	}{
		{set.Daemon.CallerAddress, &p.Callers},
		{set.Daemon.PeerAddress, &p.Peers},
		{set.Daemon.AdminAddress, &p.Admin},
	}
	for i, o := range listeners {
		if *o.l, err = net.Listen("tcp", o.address); err != nil {
			for _, open := range listeners[:i] {
				_ = (*open.l).Close()
			}
			done()
			return nil, nil, fmt.Errorf("listen: %w", err)
		}
	}
	return p, done, nil
}
