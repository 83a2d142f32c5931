package control

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/event"
)

// reportKinds names the machine's reports on the time line.
var reportKinds = map[group.ReportKind]event.Kind{
	group.ReportSuspected:  event.Suspected,
	group.ReportFalseAlarm: event.FalseAlarm,
	group.ReportConfirmed:  event.Confirmed,
	group.ReportStarted:    event.ChangeBegan,
	group.ReportFenced:     event.Fenced,
	group.ReportChosen:     event.Chosen,
	group.ReportRecorded:   event.Recorded,
	group.ReportUnrecorded: event.Unrecorded,
	group.ReportPromoted:   event.Promoted,
	group.ReportAdopted:    event.ChangeEnded,
	group.ReportFollowed:   event.Followed,
	group.ReportAbandoned:  event.ChangeLeft,
}

// GroupKey is the platform's key of a group's record.
func GroupKey(id group.ID) platform.Key { return platform.Key("groups/" + string(id)) }

func (m *member) tell(ctx context.Context, e group.Event) {
	m.l.send(ctx, message{id: m.rec.ID, event: e})
}

func (m *member) askPeers(ctx context.Context, a group.AskPeers) {
	asked := m.l.clk.Now()
	ctx, cancel := context.WithTimeout(ctx, m.l.cfg.PeersFor.Duration())
	defer cancel()
	for _, v := range m.l.seams.AskViews(ctx, m.rec.ID, a.Target) {
		m.tell(ctx, group.PeerViewed{Daemon: v.Daemon, Target: a.Target, Reachable: v.Reachable, AskedAt: asked})
	}
}

func (m *member) order(ctx context.Context, a group.SendOrder) {
	t, ok := m.rec.Target(a.Target)
	if !ok {
		return
	}
	within, cancel := context.WithTimeout(ctx, m.l.cfg.OrderFor.Duration())
	defer cancel()
	st, err := m.l.seams.Order(within, t, a.Order)
	done := group.Ordered{Target: a.Target, Order: a.Order, Status: st, Outcome: group.OrderOK}
	var outranked *target.ErrOutranked
	switch {
	case errors.As(err, &outranked):
		done.Outcome = group.OrderOutranked
		done.Promise = outranked.Promise
		done.Holder = outranked.Holder
	case err != nil:
		done.Outcome = group.OrderUnknown
	}
	m.tell(ctx, done)
	m.watch.Kick()
}

func (m *member) put(ctx context.Context, a group.PutRecord) {
	done := group.PutDone{Record: a.Record, Outcome: group.PutOK}
	value, err := json.Marshal(a.Record)
	if err != nil {
		done.Outcome = group.PutUnavailable
		m.tell(ctx, done)
		return
	}
	within, cancel := context.WithTimeout(ctx, m.l.cfg.StoreFor.Duration())
	defer cancel()
	v, err := m.l.seams.Store.Put(within, GroupKey(m.rec.ID), value, platform.Version(a.IfVersion))
	done.Version = uint64(v)
	switch {
	case errors.Is(err, platform.ErrConflict):
		done.Outcome = group.PutConflict
	case err != nil:
		done.Outcome = group.PutUnknown
	}
	m.tell(ctx, done)
}

func (m *member) read(ctx context.Context) {
	within, cancel := context.WithTimeout(ctx, m.l.cfg.StoreFor.Duration())
	defer cancel()
	o, err := m.l.seams.Store.Get(within, GroupKey(m.rec.ID))
	if err != nil {
		return
	}
	var rec group.Record
	if err := json.Unmarshal(o.Value, &rec); err != nil {
		return
	}
	m.tell(ctx, group.Recorded{Record: rec, Version: uint64(o.Version)})
}
