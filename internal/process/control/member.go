package control

import (
	"context"
	"slices"

	"github.com/cactusfork/cactusfork/internal/process/probe"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/event"
)

// member is one group as this daemon works on it; only the loop's goroutine touches it.
type member struct {
	l       *Loop
	rec     group.Record
	machine *group.Machine
	watch   *probe.GroupProber
	cell    *Cell
	samples []route.Sample
	leaving map[group.TargetID]bool
	stop    context.CancelFunc
}

func (l *Loop) start(ctx context.Context, rec *group.Record) *member {
	ctx, cancel := context.WithCancel(ctx)
	m := &member{
		l:       l,
		rec:     *rec,
		machine: group.New(l.cfg.Self, *rec, l.cfg.Machine, l.seams.Random),
		leaving: make(map[group.TargetID]bool),
		stop:    cancel,
	}
	report := func(e group.Event) { l.send(ctx, message{id: rec.ID, event: e}) }
	m.watch = probe.New(rec, l.cfg.Probe, l.clk, probe.Dependencies{Dial: l.seams.Dial, Report: report})
	m.cell = newCell(m.view(), m.watch)
	l.work.Go(func() { m.watch.Run(ctx) })
	return m
}

func (m *member) sameTargets(rec *group.Record) bool {
	return slices.Equal(m.rec.Targets, rec.Targets)
}

func (m *member) step(ctx context.Context, e group.Event) {
	now := m.l.clk.Now()
	for _, a := range m.machine.Step(now, e) {
		m.do(ctx, a)
	}
	if s, ok := m.watch.LatestSample(); ok && m.newer(s) {
		m.samples = thin(m.samples, s, now)
	}
	v := m.view()
	m.watch.SetTerm(v.Record.Term)
	if _, isTick := e.(group.Tick); isTick && same(m.cell.View(), v) {
		return
	}
	m.cell.store(v)
}

func (m *member) newer(s route.Sample) bool {
	return len(m.samples) == 0 || m.samples[len(m.samples)-1].AskedAt < s.AskedAt
}

func (m *member) do(ctx context.Context, a group.Action) {
	switch a := a.(type) {
	case group.AskPeers:
		m.l.work.Go(func() { m.askPeers(ctx, a) })
	case group.SendOrder:
		m.l.work.Go(func() { m.order(ctx, a) })
	case group.PutRecord:
		m.l.work.Go(func() { m.put(ctx, a) })
	case group.ReadRecord:
		m.l.work.Go(func() { m.read(ctx) })
	case group.Report:
		m.report(a)
	}
}

func (m *member) report(a group.Report) {
	m.l.seams.Report(event.Event{
		Kind:   reportKinds[a.Kind],
		Group:  string(m.rec.ID),
		Target: string(a.Target),
		Term:   a.Term,
		Detail: a.Detail,
	})
}
