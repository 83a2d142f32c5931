package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/cactusfork/cactusfork/internal/process/fleet"
)

func newStatus(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show groups, targets, versions and peers as all daemons see them",
		Description: "Merges the statuses of the daemons; exits with status 1 if a daemon does not respond.\n\n" +
			"Example: cactusfork status --admin 127.0.0.1:9431,127.0.0.1:9432",
		Flags: append([]cli.Flag{
			&cli.StringSliceFlag{Name: "admin", Required: true, Usage: "admin `ADDRESS` of each daemon, separated by commas"},
			&cli.StringFlag{Name: "report", Value: "table", Usage: "table or json"},
		}, operatorFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error { return status(ctx, c, stdout) },
	}
}

func status(ctx context.Context, c *cli.Command, w io.Writer) error {
	report := c.String("report")
	if report != "table" && report != "json" {
		return &inputError{err: fmt.Errorf("got report %q, want table or json", report)}
	}
	client, err := newAdminClient(c)
	if err != nil {
		return err
	}
	s := fleet.Merge(client.Fleet(ctx, c.StringSlice("admin")))
	print := printStatus
	if report == "json" {
		print = func(w io.Writer, s *fleet.Status) error { return printJSON(w, s) }
	}
	if err := print(w, s); err != nil {
		return err
	}
	if len(s.Silent) > 0 {
		return fmt.Errorf("%d of %d daemons did not answer; check that they run and that --admin is correct", len(s.Silent), len(c.StringSlice("admin")))
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("write json: %w", err)
	}
	return nil
}

// table writes blocks of rows with aligned columns; err joins the errors of all writes.
type table struct {
	w   *tabwriter.Writer
	err error
}

func newTable(w io.Writer) *table {
	return &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
}

func (t *table) row(cells ...any) {
	text := make([]string, 0, len(cells))
	for _, c := range cells {
		text = append(text, fmt.Sprint(c))
	}
	_, err := fmt.Fprintln(t.w, strings.Join(text, "\t"))
	t.err = errors.Join(t.err, err)
}

// endBlock writes an empty line and flushes the rows, so that each block has its own column widths.
func (t *table) endBlock() {
	t.row()
	t.err = errors.Join(t.err, t.w.Flush())
}

func printStatus(w io.Writer, s *fleet.Status) error {
	t := newTable(w)
	t.row("DAEMON", "DATA-CENTRE", "READY", "CALLERS", "ADMIN", "PEERS")
	for _, d := range s.Daemons {
		t.row(d.ID, d.DataCentre, d.Ready, d.Callers, d.Address, joinIDs(d.Peers))
	}
	t.endBlock()
	t.row("GROUP", "TERM", "PRIMARY", "CHANGING", "DAEMONS-BEHIND")
	for _, g := range s.Groups {
		t.row(g.ID, g.Term, g.Primary, g.Changing, joinIDs(g.Behind))
	}
	t.endBlock()
	t.row("TARGET", "DATA-CENTRE", "ROLE", "DOWN-AT", "LEAVING", "APPLIED", "LAG-BYTES", "BUSY", "WAITING", "CONNECTIONS", "SHARES")
	for _, g := range s.Groups {
		for i := range g.Targets {
			printTarget(t, &g.Targets[i])
		}
	}
	t.endBlock()
	t.row("OBJECT", "VERSION", "DAEMONS-BEHIND")
	for _, o := range s.Objects {
		t.row(o.Key, o.Version, joinIDs(o.Behind))
	}
	t.endBlock()
	for _, o := range s.Silent {
		t.row("no answer", o.Address, o.Error)
	}
	if len(s.WithoutStatus) > 0 {
		t.row("not asked", joinIDs(s.WithoutStatus))
	}
	return errors.Join(t.err, t.w.Flush())
}

func printTarget(t *table, target *fleet.Target) {
	lag := fmt.Sprint(target.LagBytes)
	if target.LagBytes < 0 {
		lag = "other term"
	}
	var shares []string
	for _, s := range target.Shares {
		shares = append(shares, fmt.Sprintf("%s:%d", s.Daemon, s.Slots))
	}
	t.row(target.ID, target.DataCentre, target.Role, joinIDs(target.DownAt), target.Leaving, target.Applied, lag, target.Busy, target.Waiting, target.Connections, strings.Join(shares, " "))
}
