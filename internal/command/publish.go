package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cactusfork/cactusfork/internal/process/fleet"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/process/publish"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// defaultWait is how long publish waits for daemons unless told.
const defaultWait = 30 * time.Second

// noVersion marks that --if-version was not given.
const noVersion = -1

func newPublish(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "check service files, publish them and wait until they are in force",
		ArgsUsage: "FILE...",
		Description: "Publishes nothing when any file is bad, and never overwrites another operator's update.\n\n" +
			"Example: cactusfork publish --platform http://127.0.0.1:9400 --admin 127.0.0.1:9431,127.0.0.1:9432 precios.ini",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "platform", Required: true, Usage: "`URL` of the platform's object API"},
			&cli.StringSliceFlag{Name: "admin", Usage: "admin `ADDRESS` of each daemon to wait for, separated by commas"},
			&cli.DurationFlag{Name: "wait", Value: defaultWait, Usage: "longest wait for the daemons; 0s asks them once"},
			&cli.Int64Flag{Name: "if-version", Value: noVersion, HideDefault: true, Usage: "version `N` that the file was edited from, 0 for a new service; for one file only"},
		}, operatorFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			return publishFiles(ctx, c, stdout, stderr)
		},
	}
}

func publishFiles(ctx context.Context, c *cli.Command, stdout, stderr io.Writer) error {
	files := c.Args().Slice()
	all, err := parseServices(files, stderr)
	if err != nil {
		return err
	}
	if err := checkPublish(c, len(files)); err != nil {
		return &badInput{err: err}
	}
	asker, err := newAsker(c)
	if err != nil {
		return err
	}
	clk := clock.System()
	store := platform.Dial(platform.Config{URL: strings.TrimSuffix(c.String("platform"), "/")}, clk)
	drafts, err := prepare(ctx, store, all, c.Int64("if-version"))
	if err != nil {
		return fmt.Errorf("nothing was published: %w", err)
	}
	wanted, err := publishDrafts(ctx, store, drafts, stdout)
	return errors.Join(err, awaitForce(ctx, c, asker, clk, wanted, stdout))
}

func checkPublish(c *cli.Command, files int) error {
	n := c.Int64("if-version")
	if n < noVersion {
		return fmt.Errorf("got --if-version %d, want 0 or more", n)
	}
	if n != noVersion && files > 1 {
		return errors.New("--if-version goes with one file only; publish the files one by one")
	}
	u, err := url.Parse(c.String("platform"))
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("got --platform %q, want http://address:port or https://address:port", c.String("platform"))
	}
	if c.Duration("wait") < 0 {
		return fmt.Errorf("got --wait %s, want 0s or more", c.Duration("wait"))
	}
	return nil
}

// prepare reads what is published of all services before any is changed.
func prepare(ctx context.Context, store *platform.Store, all []*service.Service, ifVersion int64) ([]*publish.Draft, error) {
	var drafts []*publish.Draft
	for _, s := range all {
		d, err := publish.Prepare(ctx, store, s)
		if err != nil {
			return nil, err
		}
		if ifVersion != noVersion {
			d.EditedFrom(platform.Version(ifVersion))
		}
		drafts = append(drafts, d)
	}
	return drafts, nil
}

// publishDrafts publishes each draft, also when another one fails, and returns the versions that daemons should reach.
func publishDrafts(ctx context.Context, store *platform.Store, drafts []*publish.Draft, w io.Writer) ([]fleet.Wanted, error) {
	var (
		wanted []fleet.Wanted
		faults []error
	)
	for _, d := range drafts {
		r, err := d.Publish(ctx, store)
		if errors.Is(err, platform.ErrUnavailable) {
			err = fmt.Errorf("%w; it may or may not be published: run the same command again once the platform answers", err)
		}
		if err != nil {
			faults = append(faults, err)
			continue
		}
		wanted = append(wanted, fleet.Wanted{Key: r.Key, Version: r.Version})
		printResult(w, r)
	}
	return wanted, errors.Join(faults...)
}

func printResult(w io.Writer, r *publish.Result) {
	if r.Unchanged {
		_, _ = fmt.Fprintf(w, "%s: unchanged, version %d\n", r.Key, r.Version)
		return
	}
	_, _ = fmt.Fprintf(w, "%s: published version %d\n", r.Key, r.Version)
	for _, line := range r.Changes {
		_, _ = fmt.Fprintf(w, "  %s\n", line)
	}
}

// awaitForce waits until the versions are in force on the daemons that can be asked.
func awaitForce(ctx context.Context, c *cli.Command, asker *fleet.Asker, clk *clock.Clock, wanted []fleet.Wanted, w io.Writer) error {
	if len(wanted) == 0 {
		return nil
	}
	addresses := c.StringSlice("admin")
	if len(addresses) == 0 {
		_, _ = fmt.Fprintln(w, "no --admin address given: not asked whether the daemons have it in force")
		return nil
	}
	wait := c.Duration("wait")
	within, cancel := context.WithTimeout(ctx, wait)
	if wait == 0 {
		within, cancel = context.WithCancel(ctx)
	}
	defer cancel()
	p := asker.Await(within, clk, addresses, wanted, func(p *fleet.Progress) {
		_, _ = fmt.Fprintf(w, "in force on %d of %d asked daemons: %s\n", len(p.Held), len(p.Held)+len(p.Missing), ids(p.Held))
		if wait == 0 {
			cancel()
		}
	})
	if len(p.Unasked) > 0 {
		_, _ = fmt.Fprintf(w, "only known admin addresses were asked; live daemons not asked: %s\n", ids(p.Unasked))
	}
	if p.Done() {
		return nil
	}
	return fmt.Errorf("published, but not in force everywhere after %s:\n  %s", c.Duration("wait"), strings.Join(p.Missing, "\n  "))
}

func ids(all []group.DaemonID) string {
	if len(all) == 0 {
		return "none"
	}
	out := make([]string, 0, len(all))
	for _, id := range all {
		out = append(out, string(id))
	}
	return strings.Join(out, " ")
}
