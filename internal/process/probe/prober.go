package probe

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

// targetProber probes one target, with one status request at a time.
type targetProber struct {
	g *GroupProber
	t group.Target
	// soon ends the wait for the interval.
	soon chan struct{}
	// now ends the wait for the interval and the pause before it.
	now  chan struct{}
	link *Link
}

func newTargetProber(g *GroupProber, t group.Target) *targetProber {
	return &targetProber{g: g, t: t, soon: make(chan struct{}, 1), now: make(chan struct{}, 1)}
}

// signal sends to c unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (p *targetProber) run(ctx context.Context) {
	defer p.closeLink()
	for ctx.Err() == nil {
		p.probe(ctx)
		p.wait(ctx)
	}
}

// wait returns when the next probe is due: at once on a signal to now, after the pause on a signal to soon, and otherwise after the pause and the interval.
func (p *targetProber) wait(ctx context.Context) {
	select {
	case <-p.now:
		return
	case <-p.g.clk.After(p.g.set.Pause):
	case <-ctx.Done():
		return
	}
	select {
	case <-p.now:
	case <-p.soon:
	case <-p.g.clk.After(p.g.set.Interval):
	case <-ctx.Done():
	}
}

func (p *targetProber) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.g.set.Timeout.Duration())
	defer cancel()
	requestedAt := p.g.clk.Now()
	round := p.g.nextRound()
	st, err := p.status(ctx)
	if err != nil {
		p.closeLink()
		if !errors.Is(err, context.Canceled) {
			p.g.deps.Report(group.RequestFailure{Target: p.t.ID, RequestedAt: requestedAt, Cause: ClassifyError(err)})
		}
		return
	}
	p.g.recordReply(p.t.ID, StatusReply{Status: st, RequestedAt: requestedAt, round: round})
}

func (p *targetProber) status(ctx context.Context) (group.Status, error) {
	if p.link == nil {
		link, err := p.g.deps.Dial(ctx, p.t)
		if err != nil {
			return group.Status{}, err
		}
		p.link = &link
	}
	return p.link.Status(ctx)
}

func (p *targetProber) closeLink() {
	if p.link != nil {
		p.link.Close()
		p.link = nil
	}
}

// ClassifyError classifies an error of a connection to a target: group.Refused, group.Timeout, or group.Reset for all other errors.
func ClassifyError(err error) group.FailureCause {
	var ne net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return group.Refused
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return group.Timeout
	case errors.As(err, &ne) && ne.Timeout():
		return group.Timeout
	}
	return group.Reset
}
