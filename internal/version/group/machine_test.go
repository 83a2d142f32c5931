package group

import (
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// says is an answer of target id: its promise, the term and position that it holds, and whether it is primary.
func says(id TargetID, asked clock.Millis, promise, term position.Term, at position.Position, primary bool) Event {
	p := position.Point{Term: term, Position: at}
	return Answered{Target: id, AskedAt: asked, Status: Status{Promise: promise, Holder: "other", Primary: primary, Received: p, Applied: p}}
}

// TestTakesIn gives a machine what it has to believe or to doubt.
func TestTakesIn(t *testing.T) {
	members := []Target{{ID: "t0"}, {ID: "t1"}, {ID: "t2"}}
	start := []Event{says("t0", 10, 1, 1, 9, true), says("t1", 10, 1, 1, 9, false), says("t2", 10, 1, 1, 9, false)}
	refuse := func(asked clock.Millis) Event { return Failed{Target: "t0", AskedAt: asked, Cause: Refused} }
	sees := func(asked clock.Millis, a ViewAnswer) Event {
		return PeerViewed{Daemon: "other", Target: "t0", Reachable: a, AskedAt: asked}
	}
	promised := func(id TargetID) func(v View) bool {
		return func(v View) bool {
			s := v.Targets[id[1]-'0'].Status
			return s.Promise == 2 && s.Received.Position == 20
		}
	}
	is := func(primary TargetID, term position.Term) func(v View) bool {
		return func(v View) bool { return v.Primary == primary && v.Term == term }
	}
	rows := []struct {
		name   string
		events []Event
		want   func(v View) bool
	}{
		{"primary without a majority's promise", []Event{says("t1", 20, 2, 2, 10, true)}, is("t0", 1)},
		{"primary with a majority's promise", []Event{says("t1", 20, 2, 2, 10, true), says("t2", 20, 2, 1, 9, false)}, is("t1", 2)},
		{"a majority promised to a term without primary", []Event{says("t1", 20, 2, 1, 9, false), says("t2", 20, 2, 1, 9, false)}, is("", 1)},
		{"primary of an unrecorded term steps down", []Event{
			says("t1", 20, 2, 2, 10, true),
			says("t2", 20, 2, 1, 9, false),
			says("t1", 30, 3, 2, 10, false),
		}, is("", 2)},
		{"late answer", []Event{says("t1", 30, 2, 1, 20, false), says("t1", 20, 1, 1, 12, false)}, promised("t1")},
		{"answer asked before the promise was given", []Event{
			Ordered{Target: "t1", Order: Order{Term: 2}, Outcome: OrderOutranked, Promise: 2, Holder: "other"},
			says("t1", 30, 1, 1, 20, false),
		}, promised("t1")},
		{"late answer with a later promise", []Event{says("t1", 30, 1, 1, 12, false), says("t1", 20, 2, 1, 20, false)}, promised("t1")},
		{"record of a lower version", []Event{
			Recorded{Record: Record{Term: 3, Primary: "t2", Targets: members}, Version: 6},
		}, func(v View) bool { return v.Record.Term == 1 && v.Version == 7 }},
		{"record of a lower term", []Event{
			Recorded{Record: Record{Term: 3, Primary: "t2", Targets: members}, Version: 8},
			Recorded{Record: Record{Term: 2, Primary: "t1", Targets: members}, Version: 9},
		}, func(v View) bool { return v.Record.Term == 3 && v.Version == 9 }},
		{"two refusals, no peer", []Event{refuse(20), refuse(30)}, is("t0", 1)},
		{"two refusals, a peer agrees", []Event{refuse(20), refuse(30), sees(40, Unreachable)}, is("", 1)},
		{"two refusals, a peer agreed before", []Event{sees(15, Unreachable), refuse(20), refuse(30)}, is("t0", 1)},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			m := New("self", Record{Term: 1, Primary: "t0", Targets: members}, Settings{}, func() float64 { return 0.5 })
			m.version = 7
			now := clock.Millis(10)
			for _, e := range append(start[:len(start):len(start)], r.events...) {
				now++
				m.Step(now, e)
			}
			if v := m.View(); !r.want(v) {
				t.Fatalf("view is %+v", v)
			}
		})
	}
}
