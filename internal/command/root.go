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
	began := false
	root := newRoot(stdout, stderr)
	each(root, func(c *cli.Command) { prepareCommand(c, &began) })
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "cactusfork:", err)
	var bad *badInput
	if !began || errors.As(err, &bad) {
		return exitBadInput
	}
	return exitFailed
}

// each calls f with c and all commands under it.
func each(c *cli.Command, f func(*cli.Command)) {
	f(c)
	for _, sub := range c.Commands {
		each(sub, f)
	}
}

// prepareCommand makes c tell whether its action began, as what fails before that is the operator's input.
func prepareCommand(c *cli.Command, began *bool) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return &badInput{err: fmt.Errorf("%w; see %s --help", err, c.FullName())}
	}
	action := c.Action
	if action == nil {
		action = needCommand
	}
	c.Action = func(ctx context.Context, c *cli.Command) error {
		*began = true
		return action(ctx, c)
	}
}

// needCommand shows the help of a command that only has others under it, and refuses what is none of them.
func needCommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return &badInput{err: fmt.Errorf("unknown command %q; see %s --help", name, c.FullName())}
	}
	return cli.ShowSubcommandHelp(c)
}

func newRoot(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "cactusfork",
		Usage: "a database proxy with session consistency",
		Description: "Exit statuses: 0 done; 1 the command could not do its work; " +
			"2 settings, a service file or an argument is wrong.",
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
