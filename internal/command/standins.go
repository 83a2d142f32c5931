package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/cactusfork/cactusfork/internal/process/standins"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// maxStandInDaemons is the maximum number of daemons that stand-ins writes settings for.
const maxStandInDaemons = 9

func newStandIns(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "stand-ins",
		Usage: "run a stand-in platform and group for daemons that run as separate processes",
		Description: "Writes settings and a token key for the daemons, prints what to run, and serves until interrupted.\n" +
			"All addresses are on 127.0.0.1; data is lost when the command ends.\n\n" +
			"Example: cactusfork stand-ins --dir /tmp/stand-ins",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`DIRECTORY` for settings and token key; created if missing, files of the same name are replaced"},
			&cli.IntFlag{Name: "daemons", Value: 3, Usage: "number of settings files, 1 to 9"},
			&cli.IntFlag{Name: "port", Value: 9400, Usage: "port of the platform; targets and daemons take the 40 ports after it; 0 picks free ports"},
			&cli.DurationFlag{Name: "crash-primary-after", Usage: "crash the primary once after this time; 0s disables the crash"},
			&cli.DurationFlag{Name: "restart-after", Value: standins.DefaultRestartDelay.Duration(), Usage: "restart the crashed target after this time"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return standIns(ctx, c, stdout) },
	}
}

func standIns(ctx context.Context, c *cli.Command, w io.Writer) error {
	cfg := standins.Config{
		Directory:    c.String("dir"),
		Daemons:      c.Int("daemons"),
		Port:         c.Int("port"),
		CrashAfter:   clock.FromDuration(c.Duration("crash-primary-after")),
		RestartAfter: clock.FromDuration(c.Duration("restart-after")),
		Print:        func(line string) { _, _ = fmt.Fprintln(w, line) },
	}
	if cfg.Daemons < 1 || cfg.Daemons > maxStandInDaemons {
		return &inputError{err: fmt.Errorf("got %d daemons, want 1 to %d", cfg.Daemons, maxStandInDaemons)}
	}
	if cfg.Port < 0 || cfg.Port > standins.MaxPort {
		return &inputError{err: fmt.Errorf("got port %d, want 0 to %d", cfg.Port, standins.MaxPort)}
	}
	if cfg.CrashAfter < 0 || cfg.RestartAfter < 0 {
		return &inputError{err: errors.New("got a negative duration, want 0s or more")}
	}
	return standins.Run(ctx, &cfg, clock.System())
}
