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

// pollInterval is the time between two rounds of status requests, in milliseconds.
const pollInterval clock.Millis = 200

// WantedVersion is the version of an object that Await waits for.
type WantedVersion struct {
	Key     platform.Key
	Version platform.Version
}

// Progress states which daemons have the wanted versions in force.
type Progress struct {
	// UpToDate lists the daemons that have all wanted versions, or later ones, in force.
	UpToDate []group.DaemonID
	// Missing describes, for each other daemon that replied, the versions that it lacks, and for each address that failed, the error.
	Missing []string
	// WithoutStatus lists live peers of the daemons that replied which have sent no status themselves.
	WithoutStatus []group.DaemonID
}

// Done reports whether every address replied and every daemon that replied has the wanted versions in force.
func (p *Progress) Done() bool { return len(p.Missing) == 0 }

// Await polls the daemons at addresses and their live peers until all have the wanted versions in force or ctx ends. It calls report
// after the first round and after each round that changed UpToDate, and returns the last progress.
func (a *AdminClient) Await(ctx context.Context, clk *clock.Clock, addresses []string, wanted []WantedVersion, report func(*Progress)) *Progress {
	var last *Progress
	for {
		p := newProgress(a.Fleet(ctx, addresses), wanted)
		if ctx.Err() != nil && last != nil {
			return last
		}
		if last == nil || !slices.Equal(p.UpToDate, last.UpToDate) {
			report(p)
		}
		last = p
		if p.Done() || clk.Sleep(ctx, pollInterval) != nil {
			return p
		}
	}
}

// newProgress summarises one round of responses.
func newProgress(responses []Response, wanted []WantedVersion) *Progress {
	p := &Progress{}
	var responded []group.DaemonID
	for _, r := range responses {
		if r.Err != nil {
			p.Missing = append(p.Missing, r.Err.Error())
			continue
		}
		responded = append(responded, r.Status.Daemon)
		missing := missingVersions(r.Status, wanted)
		if len(missing) == 0 {
			p.UpToDate = append(p.UpToDate, r.Status.Daemon)
			continue
		}
		p.Missing = append(p.Missing, fmt.Sprintf("%s has %s", r.Status.Daemon, strings.Join(missing, ", ")))
	}
	slices.Sort(p.UpToDate)
	p.WithoutStatus = withoutResponse(responses, responded)
	return p
}

// missingVersions describes the wanted versions that a daemon does not have in force yet.
func missingVersions(s *entry.Status, wanted []WantedVersion) []string {
	var out []string
	for _, w := range wanted {
		current := platform.Version(0)
		for _, o := range s.Objects {
			if o.Key == string(w.Key) {
				current = platform.Version(o.Version)
			}
		}
		if current < w.Version {
			out = append(out, fmt.Sprintf("%s at version %d instead of %d", w.Key, current, w.Version))
		}
	}
	return out
}

// withoutResponse returns the peers listed in the responses that are not in responded, the daemons that have replied.
func withoutResponse(responses []Response, responded []group.DaemonID) []group.DaemonID {
	var out []group.DaemonID
	for _, r := range responses {
		if r.Err != nil {
			continue
		}
		for _, p := range r.Status.Peers {
			if !slices.Contains(responded, p.ID) {
				out = append(out, p.ID)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
