package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// pollEvery is the time between two rounds of status requests, in milliseconds.
const pollEvery clock.Millis = 200

// Wanted is the version of an object that Await waits for.
type Wanted struct {
	Key     platform.Key
	Version platform.Version
}

// Progress states which daemons have the wanted versions in force.
type Progress struct {
	// Held lists the daemons that have all wanted versions, or later ones, in force.
	Held []group.DaemonID
	// Missing describes, for each other daemon that replied, the versions that it lacks, and for each address that failed, the error.
	Missing []string
	// Unasked lists live peers of the daemons that replied which have sent no status themselves.
	Unasked []group.DaemonID
}

// Done reports whether every address replied and every daemon that replied has the wanted versions in force.
func (p *Progress) Done() bool { return len(p.Missing) == 0 }

// Await polls the daemons at addresses and their live peers until all have the wanted versions in force or ctx ends. It calls tell
// after the first round and after each round that changed Held, and returns the last progress.
func (a *Asker) Await(ctx context.Context, clk *clock.Clock, addresses []string, wanted []Wanted, tell func(*Progress)) *Progress {
	var last *Progress
	for {
		p := progressOf(a.Fleet(ctx, addresses), wanted)
		if ctx.Err() != nil && last != nil {
			return last
		}
		if last == nil || !slices.Equal(p.Held, last.Held) {
			tell(p)
		}
		last = p
		if p.Done() || clk.Sleep(ctx, pollEvery) != nil {
			return p
		}
	}
}

// progressOf summarises one round of answers.
func progressOf(answers []Answer, wanted []Wanted) *Progress {
	p := &Progress{}
	var asked []group.DaemonID
	for _, a := range answers {
		if a.Err != nil {
			p.Missing = append(p.Missing, a.Err.Error())
			continue
		}
		asked = append(asked, a.Status.Daemon)
		lacks := lacking(a.Status, wanted)
		if len(lacks) == 0 {
			p.Held = append(p.Held, a.Status.Daemon)
			continue
		}
		p.Missing = append(p.Missing, fmt.Sprintf("%s has %s", a.Status.Daemon, strings.Join(lacks, ", ")))
	}
	slices.Sort(p.Held)
	p.Unasked = unasked(answers, asked)
	return p
}

// lacking describes the wanted versions that a daemon does not have in force yet.
func lacking(s *entry.Status, wanted []Wanted) []string {
	var out []string
	for _, w := range wanted {
		held := platform.Version(0)
		for _, o := range s.Objects {
			if o.Key == string(w.Key) {
				held = platform.Version(o.Version)
			}
		}
		if held < w.Version {
			out = append(out, fmt.Sprintf("%s at version %d instead of %d", w.Key, held, w.Version))
		}
	}
	return out
}

// unasked returns the peers listed in the answers that are not in asked, the daemons that have replied.
func unasked(answers []Answer, asked []group.DaemonID) []group.DaemonID {
	var out []group.DaemonID
	for _, a := range answers {
		if a.Err != nil {
			continue
		}
		for _, p := range a.Status.Peers {
			if !slices.Contains(asked, p.ID) {
				out = append(out, p.ID)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
