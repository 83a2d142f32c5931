package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap/zapcore"

	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/internal/trial"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func newTry(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run three daemons on embedded stand-ins under load",
		Description: "Checks every reply against what its session has written and read before, and prints counts.\n\n" +
			"Example: cactusfork try --seconds 5 --fault primary-crash",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address of the first daemon; the others take the next ports"},
			&cli.IntFlag{Name: "seconds", Value: 5, Usage: "duration of the load; 0 serves without load until interrupted"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the sessions"},
			&cli.StringFlag{Name: "fault", Value: string(trial.NoFault), Usage: "one of " + faultNames()},
			&cli.StringFlag{Name: "policy", Value: string(entry.Default), Usage: "default or primary-only"},
			&cli.StringFlag{Name: "report", Value: "text", Usage: "text or json"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return try(ctx, c, stdout, stderr) },
	}
}

func try(ctx context.Context, c *cli.Command, stdout, stderr io.Writer) error {
	cfg, err := tryConfig(c)
	if err != nil {
		return &inputError{err: err}
	}
	cfg.Started = func(env *trial.Environment) { printEnvironment(stdout, env) }
	r, err := trial.Run(ctx, cfg, clock.System(), newLog(stderr, zapcore.ErrorLevel))
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	if r == nil {
		return nil
	}
	return printReport(stdout, c.String("report"), r)
}

func tryConfig(c *cli.Command) (*trial.Config, error) {
	fault, err := trial.ParseFault(c.String("fault"))
	if err != nil {
		return nil, err
	}
	policy, err := entry.ParsePolicy(c.String("policy"))
	if err != nil {
		return nil, err
	}
	if r := c.String("report"); r != "text" && r != "json" {
		return nil, fmt.Errorf("got report %q, want text or json", r)
	}
	seconds := c.Int("seconds")
	if seconds < 0 {
		return nil, fmt.Errorf("got %d seconds, want 0 or more", seconds)
	}
	return &trial.Config{
		Listen: c.String("listen"),
		Length: clock.Millis(seconds) * clock.Second,
		Seed:   c.Uint64("seed"),
		Fault:  fault,
		Policy: policy,
	}, nil
}

func printEnvironment(w io.Writer, env *trial.Environment) {
	_, _ = fmt.Fprintf(w, "callers: %s (user precios, database precios, no password)\n", strings.Join(env.Addresses(), " "))
	_, _ = fmt.Fprintf(w, "admin: %s\n", strings.Join(env.AdminAddresses(), " "))
}

func printReport(w io.Writer, format string, r *trial.Report) error {
	if format != "json" {
		return r.Write(w)
	}
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func faultNames() string {
	var names []string
	for _, f := range trial.Faults() {
		names = append(names, string(f))
	}
	return strings.Join(names, ", ")
}
