package soak

import (
	"context"
	"fmt"
	"strings"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform/standin"
)

const (
	probeInterval clock.Millis = 100
	writeInterval clock.Millis = 20
)

// probeConfig asks a daemon for the newest configuration and checks that it is in force in time and stays so.
func (s *soak) probeConfig(ctx context.Context, d *daemon) {
	// shown is the newest configuration that the daemon has shown since startedAt, first at shownAt.
	shown, shownAt, startedAt := 0, clock.Millis(0), int64(0)
	for s.clk.Sleep(ctx, probeInterval) == nil {
		started := d.startedAt.Load()
		if started != startedAt {
			shown, startedAt = 0, started
		}
		if started == 0 {
			continue
		}
		version, ackedAt := s.config.newest()
		sentAt := s.clk.Now()
		due := max(ackedAt+applyLimit, clock.Millis(max(s.storeCalmAt.Load(), started))+contactTime)
		got := d.ask(ctx, database(version), "READ a")
		if d.startedAt.Load() != started || ctx.Err() != nil {
			continue
		}
		s.probes.Add(1)
		switch {
		case standin.Completed(got) || standin.HasRow(got, ""):
			if version > shown {
				shown, shownAt = version, s.clk.Now()
			}
		case !standin.NoRoute(got): // a refusal tells nothing about the configuration
		case version <= shown && sentAt > shownAt+regressLimit:
			s.report("%s: version %d was in force and is not any more", d.id, version)
		case sentAt > due:
			s.report("%s: version %d is not in force %d ms after its limit", d.id, version, sentAt-due)
		}
	}
}

// write writes through a session that stays open, and opens another one when it breaks.
func (s *soak) write(ctx context.Context, d *daemon) {
	var c *standin.Caller
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for n := 0; s.clk.Sleep(ctx, writeInterval) == nil; n++ {
		if c == nil {
			if c, _ = d.connect(ctx, entriesDatabase); c == nil {
				continue // the daemon stops or starts
			}
		}
		write := fmt.Sprintf("%s-%d v", d.id, n)
		got := c.Query("WRITE " + write)
		if standin.Completed(got) && !strings.Contains(got, "ERROR") {
			s.writes.Add(1)
			s.mu.Lock()
			s.acked = append(s.acked, write)
			s.mu.Unlock()
		}
		if strings.HasSuffix(got, standin.Broken) {
			c.Close()
			c = nil
		}
	}
}
