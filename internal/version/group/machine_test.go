package group

import (
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// probeReply returns a reply of target id with its promise, its received term and position, and whether it is primary.
func probeReply(id TargetID, requestedAt clock.Millis, promise, term position.Term, pos position.Position, primary bool) Event {
	p := position.Point{Term: term, Position: pos}
	return ProbeReply{Target: id, RequestedAt: requestedAt, Status: Status{Promise: promise, Holder: "other", Primary: primary, Received: p, Applied: p}}
}

// TestStep checks which replies, records and failures a Machine accepts and which it rejects as outdated or unproven.
func TestStep(t *testing.T) {
	members := []Target{{ID: "t0"}, {ID: "t1"}, {ID: "t2"}}
	initial := []Event{probeReply("t0", 10, 1, 1, 9, true), probeReply("t1", 10, 1, 1, 9, false), probeReply("t2", 10, 1, 1, 9, false)}
	refused := func(requestedAt clock.Millis) Event {
		return RequestFailure{Target: "t0", RequestedAt: requestedAt, Cause: Refused}
	}
	peerReply := func(requestedAt clock.Millis, view Reachability) Event {
		return PeerReply{Daemon: "other", Target: "t0", Reachability: view, RequestedAt: requestedAt}
	}
	promised := func(id TargetID) func(v View) bool {
		return func(v View) bool {
			s := v.Targets[id[1]-'0'].Status
			return s.Promise == 2 && s.Received.Position == 20
		}
	}
	primaryIs := func(primary TargetID, term position.Term) func(v View) bool {
		return func(v View) bool { return v.Primary == primary && v.Term == term }
	}
	tests := []struct {
		name   string
		events []Event
		want   func(v View) bool
	}{
		{"primary without a majority's promise", []Event{probeReply("t1", 20, 2, 2, 10, true)}, primaryIs("t0", 1)},
		{"primary with a majority's promise", []Event{probeReply("t1", 20, 2, 2, 10, true), probeReply("t2", 20, 2, 1, 9, false)}, primaryIs("t1", 2)},
		{"majority has promised a term without a primary", []Event{probeReply("t1", 20, 2, 1, 9, false), probeReply("t2", 20, 2, 1, 9, false)}, primaryIs("", 1)},
		{"primary of an unrecorded term steps down", []Event{
			probeReply("t1", 20, 2, 2, 10, true),
			probeReply("t2", 20, 2, 1, 9, false),
			probeReply("t1", 30, 3, 2, 10, false),
		}, primaryIs("", 2)},
		{"outdated reply", []Event{probeReply("t1", 30, 2, 1, 20, false), probeReply("t1", 20, 1, 1, 12, false)}, promised("t1")},
		{"reply with a lower promise than a rejected order reported", []Event{
			OrderResult{Target: "t1", Order: Order{Term: 2}, Outcome: OrderRejected, Promise: 2, Holder: "other"},
			probeReply("t1", 30, 1, 1, 20, false),
		}, promised("t1")},
		{"reply to an earlier request with a higher promise", []Event{probeReply("t1", 30, 1, 1, 12, false), probeReply("t1", 20, 2, 1, 20, false)}, promised("t1")},
		{"record of a lower version", []Event{
			RecordUpdate{Record: Record{Term: 3, Primary: "t2", Targets: members}, Version: 6},
		}, func(v View) bool { return v.Record.Term == 1 && v.Version == 7 }},
		{"record of a lower term", []Event{
			RecordUpdate{Record: Record{Term: 3, Primary: "t2", Targets: members}, Version: 8},
			RecordUpdate{Record: Record{Term: 2, Primary: "t1", Targets: members}, Version: 9},
		}, func(v View) bool { return v.Record.Term == 3 && v.Version == 9 }},
		{"two refusals, no peer view", []Event{refused(20), refused(30)}, primaryIs("t0", 1)},
		{"two refusals, a peer agrees", []Event{refused(20), refused(30), peerReply(40, Unreachable)}, primaryIs("", 1)},
		{"two refusals, a peer view from before them", []Event{peerReply(15, Unreachable), refused(20), refused(30)}, primaryIs("t0", 1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New("self", Record{Term: 1, Primary: "t0", Targets: members}, Settings{}, func() float64 { return 0.5 })
			m.version = 7
			now := clock.Millis(10)
			for _, e := range append(initial[:len(initial):len(initial)], tt.events...) {
				now++
				m.Step(now, e)
			}
			if v := m.View(); !tt.want(v) {
				t.Fatalf("got unexpected view %+v", v)
			}
		})
	}
}
