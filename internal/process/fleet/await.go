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

// pollEvery is the time between two rounds of questions, in milliseconds.
const pollEvery clock.Millis = 200

// Wanted is a version that daemons are to have in force.
type Wanted struct {
	Key     platform.Key
	Version platform.Version
}

// Progress says where the wanted versions are in force.
type Progress struct {
	// Held are the daemons that have all of them in force, or later ones.
	Held []group.DaemonID
	// Missing says for each asked daemon or address what it lacks.
	Missing []string
	// Unasked are live daemons of which no address is known.
	Unasked []group.DaemonID
}

// Done reports whether every asked daemon has the versions in force.
func (p *Progress) Done() bool { return len(p.Missing) == 0 }

// Await asks the addresses, and the live daemons that these know, until all hold what is wanted or ctx ends, and tells each round that brought something new.
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

// lacking says which wanted versions a daemon does not have in force yet.
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

// unasked are the daemons that others hold to be live and of which no answer came.
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
