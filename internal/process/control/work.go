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

// eventKinds maps the reports of the state machine to the events of the time line.
var eventKinds = map[group.ReportKind]event.Kind{
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
	group.ReportAbandoned:  event.ChangeAbandoned,
}

// GroupKey returns the key of a group's record in the platform's store.
func GroupKey(id group.ID) platform.Key { return platform.Key("groups/" + string(id)) }

// sendEvent queues an event of the group for the loop.
func (m *managedGroup) sendEvent(ctx context.Context, e group.Event) {
	m.l.send(ctx, message{id: m.rec.ID, event: e})
}

func (m *managedGroup) askPeers(ctx context.Context, a group.RequestPeerViews) {
	requestedAt := m.l.clk.Now()
	ctx, cancel := context.WithTimeout(ctx, m.l.cfg.PeersTimeout.Duration())
	defer cancel()
	for _, v := range m.l.deps.RequestPeerViews(ctx, m.rec.ID, a.Target) {
		m.sendEvent(ctx, group.PeerReply{Daemon: v.Daemon, Target: a.Target, Reachability: v.Reachability, RequestedAt: requestedAt})
	}
}

func (m *managedGroup) sendOrder(ctx context.Context, a group.SendOrder) {
	t, ok := m.rec.Target(a.Target)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, m.l.cfg.OrderTimeout.Duration())
	defer cancel()
	status, err := m.l.deps.Order(callCtx, t, a.Order)
	result := group.OrderResult{Target: a.Target, Order: a.Order, Status: status, Outcome: group.OrderOK}
	var outranked *target.OutrankedError
	switch {
	case errors.As(err, &outranked):
		result.Outcome = group.OrderRejected
		result.Promise = outranked.Promise
		result.Holder = outranked.Holder
	case err != nil:
		result.Outcome = group.OrderUnknown
	}
	m.sendEvent(ctx, result)
	m.prober.ProbeSoon()
}

func (m *managedGroup) putRecord(ctx context.Context, a group.PutRecord) {
	result := group.PutResult{Record: a.Record, Outcome: group.PutOK}
	value, err := json.Marshal(a.Record)
	if err != nil {
		result.Outcome = group.PutUnavailable
		m.sendEvent(ctx, result)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, m.l.cfg.StoreTimeout.Duration())
	defer cancel()
	v, err := m.l.deps.Store.Put(callCtx, GroupKey(m.rec.ID), value, platform.Version(a.IfVersion))
	result.Version = uint64(v)
	switch {
	case errors.Is(err, platform.ErrConflict):
		result.Outcome = group.PutConflict
	case err != nil:
		result.Outcome = group.PutUnknown
	}
	m.sendEvent(ctx, result)
}

// readRecord sends nothing to the loop if the store cannot be read or the record is invalid; the state machine then keeps its record.
func (m *managedGroup) readRecord(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, m.l.cfg.StoreTimeout.Duration())
	defer cancel()
	o, err := m.l.deps.Store.Get(callCtx, GroupKey(m.rec.ID))
	if err != nil {
		return
	}
	var rec group.Record
	if err := json.Unmarshal(o.Value, &rec); err != nil {
		return
	}
	m.sendEvent(ctx, group.RecordUpdate{Record: rec, Version: uint64(o.Version)})
}
