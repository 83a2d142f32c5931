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

// defaultWait is how long publish waits for daemons by default.
const defaultWait = 30 * time.Second

// noVersion is the default of --if-version, and means that the flag is absent.
const noVersion = -1

func newPublish(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "check service files, publish them and wait until they are in force",
		ArgsUsage: "FILE...",
		Description: "Publishes nothing if a file is invalid, and never overwrites another operator's update.\n\n" +
			"Example: cactusfork publish --platform http://127.0.0.1:9400 --admin 127.0.0.1:9431,127.0.0.1:9432 precios.ini",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "platform", Required: true, Usage: "`URL` of the platform's object API"},
			&cli.StringSliceFlag{Name: "admin", Usage: "admin `ADDRESS` of each daemon to wait for, separated by commas"},
			&cli.DurationFlag{Name: "wait", Value: defaultWait, Usage: "maximum wait for the daemons; 0s checks them once"},
			&cli.Int64Flag{Name: "if-version", Value: noVersion, HideDefault: true, Usage: "version `N` that the file is based on, 0 for a new service; for one file only"},
		}, operatorFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			return publishFiles(ctx, c, stdout, stderr)
		},
	}
}

func publishFiles(ctx context.Context, c *cli.Command, stdout, stderr io.Writer) error {
	files := c.Args().Slice()
	services, err := parseServices(files, stderr)
	if err != nil {
		return err
	}
	if err := checkPublish(c, len(files)); err != nil {
		return &inputError{err: err}
	}
	client, err := newAdminClient(c)
	if err != nil {
		return err
	}
	clk := clock.System()
	store := platform.Dial(platform.Config{URL: strings.TrimSuffix(c.String("platform"), "/")}, clk)
	drafts, err := prepareDrafts(ctx, store, services, c.Int64("if-version"))
	if err != nil {
		return fmt.Errorf("nothing was published: %w", err)
	}
	wanted, err := publishDrafts(ctx, store, drafts, stdout)
	return errors.Join(err, awaitInForce(ctx, c, client, clk, wanted, stdout))
}

func checkPublish(c *cli.Command, files int) error {
	n := c.Int64("if-version")
	if n < noVersion {
		return fmt.Errorf("got --if-version %d, want 0 or more", n)
	}
	if n != noVersion && files > 1 {
		return errors.New("--if-version is for one file only; publish the files one by one")
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

// prepareDrafts reads the published versions of all services before publishDrafts changes the first one.
func prepareDrafts(ctx context.Context, store *platform.Store, services []*service.Service, ifVersion int64) ([]*publish.Draft, error) {
	var drafts []*publish.Draft
	for _, s := range services {
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

// publishDrafts publishes each draft, even if another one fails, and returns the versions to wait for.
func publishDrafts(ctx context.Context, store *platform.Store, drafts []*publish.Draft, w io.Writer) ([]fleet.WantedVersion, error) {
	var (
		wanted []fleet.WantedVersion
		errs   []error
	)
	for _, d := range drafts {
		r, err := d.Publish(ctx, store)
		if errors.Is(err, platform.ErrUnavailable) {
			err = fmt.Errorf("%w; the update may have been published: run the same command again once the platform responds", err)
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		wanted = append(wanted, fleet.WantedVersion{Key: r.Key, Version: r.Version})
		printResult(w, r)
	}
	return wanted, errors.Join(errs...)
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

// awaitInForce waits until the versions are in force on all daemons with a known admin address.
//
// It fails if that takes longer than --wait, or with a wait of 0, if the versions are not in force at the first check.
func awaitInForce(ctx context.Context, c *cli.Command, client *fleet.AdminClient, clk *clock.Clock, wanted []fleet.WantedVersion, w io.Writer) error {
	if len(wanted) == 0 {
		return nil
	}
	addresses := c.StringSlice("admin")
	if len(addresses) == 0 {
		_, _ = fmt.Fprintln(w, "no --admin address given: not asked whether the daemons have it in force")
		return nil
	}
	wait := c.Duration("wait")
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	if wait == 0 {
		waitCtx, cancel = context.WithCancel(ctx)
	}
	defer cancel()
	p := client.Await(waitCtx, clk, addresses, wanted, func(p *fleet.Progress) {
		_, _ = fmt.Fprintf(w, "in force on %d of %d asked daemons: %s\n", len(p.UpToDate), len(p.UpToDate)+len(p.Missing), joinIDs(p.UpToDate))
		if wait == 0 {
			cancel()
		}
	})
	if len(p.WithoutStatus) > 0 {
		_, _ = fmt.Fprintf(w, "only known admin addresses were asked; live daemons not asked: %s\n", joinIDs(p.WithoutStatus))
	}
	if p.Done() {
		return nil
	}
	return fmt.Errorf("published, but not in force everywhere after %s:\n  %s", c.Duration("wait"), strings.Join(p.Missing, "\n  "))
}

// joinIDs joins the ids with spaces, or returns "none".
func joinIDs(ids []group.DaemonID) string {
	if len(ids) == 0 {
		return "none"
	}
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, string(id))
	}
	return strings.Join(out, " ")
}
