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
		Description: "Merges what the daemons say; ends with status 1 when one of them does not answer.\n\n" +
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
		return &badInput{err: fmt.Errorf("got report %q, want table or json", report)}
	}
	asker, err := newAsker(c)
	if err != nil {
		return err
	}
	s := fleet.Merge(asker.Fleet(ctx, c.StringSlice("admin")))
	print := printStatus
	if report == "json" {
		print = func(w io.Writer, s *fleet.Status) error { return printJSON(w, s) }
	}
	if err := print(w, s); err != nil {
		return err
	}
	if len(s.Silent) > 0 {
		return fmt.Errorf("%d of %d daemons did not answer; look whether they run and whether --admin is right", len(s.Silent), len(c.StringSlice("admin")))
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

// table writes rows of cells in columns; the first error stays.
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

// end ends a block of rows with an empty line, as columns are aligned by block.
func (t *table) end() {
	t.row()
	t.err = errors.Join(t.err, t.w.Flush())
}

func printStatus(w io.Writer, s *fleet.Status) error {
	t := newTable(w)
	t.row("DAEMON", "DATA-CENTRE", "READY", "CALLERS", "ADMIN", "PEERS")
	for _, d := range s.Daemons {
		t.row(d.ID, d.DataCentre, d.Ready, d.Callers, d.Address, ids(d.Peers))
	}
	t.end()
	t.row("GROUP", "TERM", "PRIMARY", "CHANGING", "DAEMONS-BEHIND")
	for _, g := range s.Groups {
		t.row(g.ID, g.Term, g.Primary, g.Changing, ids(g.Behind))
	}
	t.end()
	t.row("TARGET", "DATA-CENTRE", "ROLE", "DOWN-AT", "LEAVING", "APPLIED", "LAG-BYTES", "BUSY", "WAITING", "CONNECTIONS", "SHARES")
	for _, g := range s.Groups {
		for i := range g.Targets {
			printTarget(t, &g.Targets[i])
		}
	}
	t.end()
	t.row("OBJECT", "VERSION", "DAEMONS-BEHIND")
	for _, o := range s.Objects {
		t.row(o.Key, o.Version, ids(o.Behind))
	}
	t.end()
	for _, o := range s.Silent {
		t.row("no answer", o.Address, o.Error)
	}
	if len(s.Unasked) > 0 {
		t.row("not asked", ids(s.Unasked))
	}
	return errors.Join(t.err, t.w.Flush())
}

func printTarget(t *table, o *fleet.Target) {
	lag := fmt.Sprint(o.LagBytes)
	if o.LagBytes < 0 {
		lag = "other term"
	}
	var shares []string
	for _, s := range o.Shares {
		shares = append(shares, fmt.Sprintf("%s:%d", s.Daemon, s.Slots))
	}
	t.row(o.ID, o.DataCentre, o.Role, ids(o.DownAt), o.Leaving, o.Applied, lag, o.Busy, o.Waiting, o.Connections, strings.Join(shares, " "))
}
