package control

import (
	"context"
	"slices"

	"github.com/cactusfork/cactusfork/internal/process/probe"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/event"
)

// managedGroup is the state of one group in the loop; only the loop's goroutine uses it.
type managedGroup struct {
	l       *Loop
	rec     group.Record
	machine *group.Machine
	prober  *probe.GroupProber
	state   *GroupState
	// samples are recent samples, oldest first.
	samples []route.Sample
	leaving map[group.TargetID]bool
	// stop ends the probing of the group's targets.
	stop context.CancelFunc
}

func (l *Loop) startGroup(ctx context.Context, rec *group.Record) *managedGroup {
	ctx, cancel := context.WithCancel(ctx)
	m := &managedGroup{
		l:       l,
		rec:     *rec,
		machine: group.New(l.cfg.Self, *rec, l.cfg.Machine, l.deps.Random),
		leaving: make(map[group.TargetID]bool),
		stop:    cancel,
	}
	report := func(e group.Event) { l.send(ctx, message{id: rec.ID, event: e}) }
	m.prober = probe.New(rec, l.cfg.Probe, l.clk, probe.Dependencies{Dial: l.deps.Dial, Report: report})
	m.state = newGroupState(m.view(), m.prober)
	l.tasks.Go(func() { m.prober.Run(ctx) })
	return m
}

func (m *managedGroup) sameTargets(rec *group.Record) bool {
	return slices.Equal(m.rec.Targets, rec.Targets)
}

// step applies an event to the state machine, starts the actions that it returns and updates the view.
// A tick publishes a new view only if the routing differs from that of the current view.
func (m *managedGroup) step(ctx context.Context, e group.Event) {
	now := m.l.clk.Now()
	for _, a := range m.machine.Step(now, e) {
		m.execute(ctx, a)
	}
	if s, ok := m.prober.LatestSample(); ok && m.isNewer(s) {
		m.samples = appendThinned(m.samples, s, now)
	}
	v := m.view()
	m.prober.SetTerm(v.Record.Term)
	if _, isTick := e.(group.Tick); isTick && sameRouting(m.state.View(), v) {
		return
	}
	m.state.store(v)
}

func (m *managedGroup) isNewer(s route.Sample) bool {
	return len(m.samples) == 0 || m.samples[len(m.samples)-1].RequestedAt < s.RequestedAt
}

func (m *managedGroup) execute(ctx context.Context, a group.Action) {
	switch a := a.(type) {
	case group.RequestPeerViews:
		m.l.tasks.Go(func() { m.askPeers(ctx, a) })
	case group.SendOrder:
		m.l.tasks.Go(func() { m.sendOrder(ctx, a) })
	case group.PutRecord:
		m.l.tasks.Go(func() { m.putRecord(ctx, a) })
	case group.ReadRecord:
		m.l.tasks.Go(func() { m.readRecord(ctx) })
	case group.Report:
		m.report(a)
	}
}

func (m *managedGroup) report(a group.Report) {
	m.l.deps.Report(event.Event{
		Kind:   eventKinds[a.Kind],
		Group:  string(m.rec.ID),
		Target: string(a.Target),
		Term:   a.Term,
		Detail: a.Detail,
	})
}
