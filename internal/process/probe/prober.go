package probe

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

// prober asks one target, one question at a time.
type prober struct {
	g    *Group
	t    group.Target
	kick chan struct{}
	// urge cuts the pause between two questions short.
	urge chan struct{}
	link *Link
}

func newProber(g *Group, t group.Target) *prober {
	return &prober{g: g, t: t, kick: make(chan struct{}, 1), urge: make(chan struct{}, 1)}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (p *prober) run(ctx context.Context) {
	defer p.drop()
	for ctx.Err() == nil {
		p.ask(ctx)
		p.wait(ctx)
	}
}

// wait returns when the next question is due: at once when urged, after a pause when kicked, after the interval else.
func (p *prober) wait(ctx context.Context) {
	select {
	case <-p.urge:
		return
	case <-p.g.clk.After(p.g.set.Pause):
	case <-ctx.Done():
		return
	}
	select {
	case <-p.urge:
	case <-p.kick:
	case <-p.g.clk.After(p.g.set.Interval):
	case <-ctx.Done():
	}
}

func (p *prober) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.g.set.Timeout.Duration())
	defer cancel()
	at := p.g.clk.Now()
	round := p.g.nextRound()
	st, err := p.status(ctx)
	if err != nil {
		p.drop()
		if !errors.Is(err, context.Canceled) {
			p.g.seams.Report(group.Failed{Target: p.t.ID, AskedAt: at, Cause: CauseOf(err)})
		}
		return
	}
	p.g.answered(p.t.ID, Answer{Status: st, AskedAt: at, round: round})
}

func (p *prober) status(ctx context.Context) (group.Status, error) {
	if p.link == nil {
		link, err := p.g.seams.Dial(ctx, p.t)
		if err != nil {
			return group.Status{}, err
		}
		p.link = &link
	}
	return p.link.Status(ctx)
}

func (p *prober) drop() {
	if p.link != nil {
		p.link.Close()
		p.link = nil
	}
}

// CauseOf sorts a failure to reach a target by what it tells of the target.
func CauseOf(err error) group.FailureCause {
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
