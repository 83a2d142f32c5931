package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cactusfork/cactusfork/internal/process/fleet"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/event"
)

// reportWriters writes merged events in each format of --report.
var reportWriters = map[string]func(w io.Writer, events []event.Event) error{
	"text":         reportText,
	"json":         reportJSON,
	"figures":      reportFigures,
	"figures-json": func(w io.Writer, events []event.Event) error { return printJSON(w, event.NewFigures(events)) },
	"svg":          reportSVG,
}

func newTimeline(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "merge the events of several daemons into one time line",
		Description: "Reads JSON-lines files, running daemons, or both; an event read twice is shown once.\n\n" +
			"Example: cactusfork timeline --file entry-1.jsonl --file entry-2.jsonl --report svg --out change.svg",
		Flags: append([]cli.Flag{
			&cli.StringSliceFlag{Name: "file", Usage: "`FILE` of JSON lines; may be repeated"},
			&cli.StringSliceFlag{Name: "admin", Usage: "admin `ADDRESS` of a daemon; may be repeated"},
			&cli.StringFlag{Name: "group", Usage: "only events of this group"},
			&cli.StringFlag{Name: "session", Usage: "only events of this session"},
			&cli.StringFlag{Name: "request", Usage: "only events of this request name"},
			&cli.StringFlag{Name: "since", Usage: "only events from this `TIME` on: RFC 3339, or a duration before now such as 10m"},
			&cli.StringFlag{Name: "until", Usage: "only events before this `TIME`"},
			&cli.StringFlag{Name: "report", Value: "text", Usage: "text, json, figures, figures-json or svg"},
			&cli.StringFlag{Name: "out", Usage: "`FILE` to write to instead of standard output"},
		}, operatorFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error { return timeline(ctx, c, stdout, stderr) },
	}
}

func timeline(ctx context.Context, c *cli.Command, stdout, stderr io.Writer) error {
	report := reportWriters[c.String("report")]
	if report == nil {
		return &inputError{err: fmt.Errorf("got report %q, want text, json, figures, figures-json or svg", c.String("report"))}
	}
	filter, err := newFilter(c, clock.System().Wall())
	if err != nil {
		return &inputError{err: err}
	}
	if len(c.StringSlice("file"))+len(c.StringSlice("admin")) == 0 {
		return &inputError{err: errors.New("name at least one --file or --admin address")}
	}
	client, err := newAdminClient(c)
	if err != nil {
		return err
	}
	streams, incomplete, err := readStreams(ctx, c, client, stderr)
	if err != nil {
		return err
	}
	events := filter.Apply(event.Merge(streams...))
	if err := writeReport(c.String("out"), stdout, report, events); err != nil {
		return err
	}
	if incomplete > 0 {
		return fmt.Errorf("the time line is incomplete: %d sources could not be read completely, see above", incomplete)
	}
	return nil
}

func newFilter(c *cli.Command, now clock.Millis) (*event.Filter, error) {
	f := &event.Filter{Group: c.String("group"), Session: c.String("session"), Request: c.String("request")}
	var err error
	if f.Since, err = parseTime(c.String("since"), now); err != nil {
		return nil, fmt.Errorf("since: %w", err)
	}
	if f.Until, err = parseTime(c.String("until"), now); err != nil {
		return nil, fmt.Errorf("until: %w", err)
	}
	return f, nil
}

// parseTime parses an RFC 3339 time, or a duration before now; it returns 0 if text is empty.
func parseTime(text string, now clock.Millis) (clock.Millis, error) {
	if text == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now - clock.FromDuration(d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("got %q, want a time like 2026-01-31T08:00:00Z or a duration like 10m", text)
	}
	return clock.Millis(t.UnixMilli()), nil
}

// readStreams reads the events of all files and daemons and returns one stream for each, with the number of incomplete ones.
//
// It reports each incomplete source on stderr and keeps its readable events. It fails if a file cannot be opened.
func readStreams(ctx context.Context, c *cli.Command, client *fleet.AdminClient, stderr io.Writer) ([][]event.Event, int, error) {
	var streams [][]event.Event
	incomplete := 0
	for _, name := range c.StringSlice("file") {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, &inputError{err: fmt.Errorf("open time line: %w", err)}
		}
		events, err := event.Read(f)
		_ = f.Close()
		if err != nil {
			incomplete++
			_, _ = fmt.Fprintf(stderr, "%s: could not be read completely: %v\n", name, err)
		}
		streams = append(streams, events)
	}
	for _, e := range client.Events(ctx, c.StringSlice("admin")) {
		if e.Err != nil {
			incomplete++
			_, _ = fmt.Fprintf(stderr, "%s: could not be read completely: %v\n", e.Address, e.Err)
		}
		streams = append(streams, e.Events)
	}
	return streams, incomplete, nil
}

func writeReport(out string, stdout io.Writer, report func(io.Writer, []event.Event) error, events []event.Event) error {
	if out == "" {
		return report(stdout, events)
	}
	f, err := os.Create(out)
	if err != nil {
		return &inputError{err: fmt.Errorf("create report: %w", err)}
	}
	return errors.Join(report(f, events), f.Close())
}

func reportText(w io.Writer, events []event.Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, e); err != nil {
			return err
		}
	}
	return nil
}

func reportJSON(w io.Writer, events []event.Event) error {
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

func reportSVG(w io.Writer, events []event.Event) error {
	err := event.Draw(w, "changes of primary", event.Changes(events))
	if errors.Is(err, event.ErrTooManyMarks) {
		return fmt.Errorf("%w; limit the events with --group, --since and --until", err)
	}
	return err
}

func reportFigures(w io.Writer, events []event.Event) error {
	f := event.NewFigures(events)
	t := newTable(w)
	t.row("MONTH", "SERVICE", "KIND", "SERVED", "BY-REPLICAS", "REPLICA-SHARE", "REFUSED", "UNKNOWN")
	for _, r := range f.Requests {
		share := "-"
		if r.ReplicaShare != nil {
			share = fmt.Sprintf("%.1f%%", *r.ReplicaShare*100)
		}
		t.row(r.Month, r.Service, r.Kind, r.Served, r.ReplicaReads, share, r.Refused, r.Unknown)
	}
	t.endBlock()
	t.row("MONTH", "GROUP", "FAILOVERS", "MEDIAN-GAP-MS", "MOST-GAP-MS")
	for _, g := range f.Gaps {
		t.row(g.Month, g.Group, g.Count, g.Median, g.Longest)
	}
	return errors.Join(t.err, t.w.Flush())
}
