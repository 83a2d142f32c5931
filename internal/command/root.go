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

// Exit statuses of all commands, besides 0 for success.
const (
	// exitFailed means that the command failed.
	exitFailed = 1
	// exitBadInput means that the settings, a service file or an argument is invalid.
	exitBadInput = 2
)

// inputError is an error in the operator's input, for which Run returns exitBadInput.
type inputError struct{ err error }

// Error returns the text of the wrapped error.
func (e *inputError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *inputError) Unwrap() error { return e.err }

// Run executes the command line args, of which the first is the name of the program, and returns the exit status.
//
// SIGINT and SIGTERM end the context of the command.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	started := false
	root := newRoot(stdout, stderr)
	walk(root, func(c *cli.Command) { wrapCommand(c, &started) })
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "cactusfork:", err)
	var inputErr *inputError
	if !started || errors.As(err, &inputErr) {
		return exitBadInput
	}
	return exitFailed
}

// walk calls f for c and all its subcommands.
func walk(c *cli.Command, f func(*cli.Command)) {
	f(c)
	for _, sub := range c.Commands {
		walk(sub, f)
	}
}

// wrapCommand makes c set started when its action starts, because an error before that is an error in the operator's input.
func wrapCommand(c *cli.Command, started *bool) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return &inputError{err: fmt.Errorf("%w; see %s --help", err, c.FullName())}
	}
	action := c.Action
	if action == nil {
		action = requireSubcommand
	}
	c.Action = func(ctx context.Context, c *cli.Command) error {
		*started = true
		return action(ctx, c)
	}
}

// requireSubcommand is the action of a command that only has subcommands: it shows the help, or rejects an unknown subcommand.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return &inputError{err: fmt.Errorf("unknown command %q; see %s --help", name, c.FullName())}
	}
	return cli.ShowSubcommandHelp(c)
}

func newRoot(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "cactusfork",
		Usage: "a database proxy with session consistency",
		Description: "Exit statuses: 0 success; 1 the command failed; " +
			"2 the settings, a service file or an argument is invalid.",
		Writer:                stdout,
		ErrWriter:             stderr,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			newServe(stderr),
			newEdge(stdout),
			newCheck(stdout, stderr),
			newPublish(stdout, stderr),
			newStatus(stdout),
			newTimeline(stdout, stderr),
			newToken(stdout),
			newStandIns(stdout),
			newTry(stdout, stderr),
		},
	}
}
