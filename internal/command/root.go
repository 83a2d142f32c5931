package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// The exit statuses of all commands.
const (
	// exitFailed means that the command could not do its work.
	exitFailed = 1
	// exitBadInput means that settings, a service file or an argument is wrong.
	exitBadInput = 2
)

// badInput marks an error as one of the operator's input.
type badInput struct{ err error }

// Error returns the text of the fault.
func (b *badInput) Error() string { return b.err.Error() }

// Unwrap returns the fault.
func (b *badInput) Unwrap() error { return b.err }

// Run executes the command line args and returns the exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRoot(stdout, stderr)
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "cactusfork:", err)
	var bad *badInput
	if errors.As(err, &bad) {
		return exitBadInput
	}
	return exitFailed
}

func newRoot(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "cactusfork",
		Usage:                 "a database proxy with session consistency",
		Writer:                stdout,
		ErrWriter:             stderr,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &badInput{err: err}
		},
		Commands: []*cli.Command{
			newServe(stderr),
			newTry(stdout, stderr),
		},
	}
}
