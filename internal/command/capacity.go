package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cactusfork/cactusfork/internal/capacity"
)

func newCapacity(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure what the parts cost and rewrite the tables of the capacity page",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "docs/CAPACITY.md", Usage: "`FILE` whose tables are rewritten between their markers"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return measureCapacity(ctx, c.String("out"), stdout)
		},
	}
}

func measureCapacity(ctx context.Context, file string, stdout io.Writer) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return &badInput{err: fmt.Errorf("read page: %w", err)}
	}
	// A page without markers is refused before the measurement and not after it.
	if _, err := capacity.Rewrite(page, capacity.Tables(capacity.Run{}, nil, nil)); err != nil {
		return &badInput{err: fmt.Errorf("page %s: %w", file, err)}
	}
	began := time.Now()
	slopes, err := capacity.Measure(ctx, func(id capacity.SlopeID) { _, _ = fmt.Fprintln(stdout, id) })
	if err != nil {
		return err
	}
	rows, err := capacity.Rows(capacity.ByID(slopes), capacity.InTwoYears())
	if err != nil {
		return err
	}
	run := capacity.Run{Machine: machine(), Date: began.UTC().Format(time.DateOnly), Seconds: time.Since(began).Seconds()}
	if page, err = capacity.Rewrite(page, capacity.Tables(run, slopes, rows)); err != nil {
		return err
	}
	if err := os.WriteFile(file, page, 0o644); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// machine names the processor, the cores that this process may use and the load of the machine.
func machine() string {
	model := runtime.GOARCH
	if text, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		model = field(text, "model name", model)
	}
	load := "unknown"
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		load = strings.Join(strings.Fields(string(text))[:1], " ")
	}
	return fmt.Sprintf("%s, %d cores, load %s, %s %s", model, runtime.GOMAXPROCS(0), load, runtime.GOOS, runtime.Version())
}

// field returns the value of the first line "name : value".
func field(text []byte, name, absent string) string {
	for line := range bytes.Lines(text) {
		key, value, ok := strings.Cut(string(line), ":")
		if ok && strings.TrimSpace(key) == name {
			return strings.TrimSpace(value)
		}
	}
	return absent
}
