package command

import (
	"context"
	"errors"
	"io"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cactusfork/cactusfork/internal/process/edge"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func newEdge(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "run one daemon on the operator's platform until it is told to stop",
		Description: "SIGINT or SIGTERM drains it: its health check fails, open transactions may finish, then it stops.\n\n" +
			"Example: cactusfork edge --settings edge.ini",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Required: true, Sources: cli.EnvVars("CACTUSFORK_SETTINGS"),
				Usage: "the daemon's INI file",
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return runEdge(ctx, c.String("settings"), stdout) },
	}
}

func runEdge(ctx context.Context, file string, stdout io.Writer) error {
	cfg, err := edge.LoadSettings(file)
	if err != nil {
		return &inputError{err: err}
	}
	level, err := zapcore.ParseLevel(cfg.Log.Level)
	if err != nil {
		return &inputError{err: err}
	}
	logWriter := edge.NewLogWriter(stdout)
	log := newLog(logWriter, level).With(zap.String("daemon", cfg.Daemon.ID))
	d := edge.New(file, cfg, clock.System(), log)
	d.Gauge("log-lines-dropped", logWriter.Dropped)
	err = d.Run(ctx)
	return errors.Join(err, logWriter.Sync())
}
