package promotion

import (
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

func point(term, pos uint64) position.Point {
	return position.Point{Term: position.Term(term), Position: position.Position(pos)}
}

// receiptSeenAt returns the receipt of a replica that received new log between seenAt-1 and seenAt.
func receiptSeenAt(seenAt clock.Millis) Receipt {
	var r Receipt
	r.ObserveStatus(point(1, 8), seenAt-1, seenAt-1)
	r.ObserveStatus(point(1, 9), seenAt, seenAt)
	return r
}

var settings = Timeouts{Refusing: 300, Silent: 700, Missing: 800, ReceiptMaxAge: 400}

func TestDecide(t *testing.T) {
	const now clock.Millis = 10_000
	primary := Member{ID: "p", Leader: true, Answered: now}
	replica := Member{ID: "r", Answered: now, Receipt: receiptSeenAt(now - 5000)}
	with := func(m Member, f func(*Member)) Member { f(&m); return m }
	silent := with(primary, func(m *Member) { m.FailingSince = now - 700 })
	tests := []struct {
		name           string
		members        []Member
		noPrimarySince clock.Millis
		storeSince     clock.Millis
		want           Action
	}{
		{"primary answers", []Member{primary, replica}, 0, 1, Nothing},
		{"primary has just failed", []Member{with(primary, func(m *Member) { m.FailingSince = now - 100 }), replica}, 0, 1, Probe},
		{"primary is silent", []Member{silent, replica}, 0, 1, Replace},
		{"primary refuses", []Member{with(primary, func(m *Member) { m.FailingSince, m.Refusing = now-300, true }), replica}, 0, 1, Replace},
		{"primary still sends its log to a replica", []Member{silent, with(replica, func(m *Member) { m.Receipt = receiptSeenAt(now - 100) })}, 0, 1, Probe},
		{"no replica answers either", []Member{silent, with(replica, func(m *Member) { m.FailingSince = now - 10 })}, 0, 1, Probe},
		{"the only replica is draining", []Member{silent, with(replica, func(m *Member) { m.Draining = true })}, 0, 1, Probe},
		{"no primary for the whole timeout", []Member{replica}, now - 800, 1, Replace},
		{"no primary for less than the timeout", []Member{replica}, now - 700, 1, Probe},
		{"primary is draining", []Member{with(primary, func(m *Member) { m.Draining = true }), replica}, 0, 1, HandOver},
		{"primary is draining and the replica has never answered", []Member{with(primary, func(m *Member) { m.Draining = true }), {ID: "r"}}, 0, 1, HandOver},
		{"primary is silent and the replica has never answered", []Member{silent, {ID: "r"}}, 0, 1, Probe},
		{"primary is draining without a successor", []Member{with(primary, func(m *Member) { m.Draining = true })}, 0, 1, Nothing},
		{"failures seen while the store was unreachable do not count", []Member{with(primary, func(m *Member) { m.FailingSince = now - 5000 }), replica}, 0, now - 600, Probe},
		{"store is unreachable", []Member{silent, replica}, 0, 0, Probe},
		{"store is unreachable while the primary is draining", []Member{with(primary, func(m *Member) { m.Draining = true }), replica}, 0, 0, Nothing},
	}
	for _, tt := range tests {
		if got := Decide(tt.members, now, tt.noPrimarySince, tt.storeSince, settings); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestHasCommitQuorum(t *testing.T) {
	p, a, b := Member{ID: "p", Leader: true}, Member{ID: "a"}, Member{ID: "b"}
	drainingB := Member{ID: "b", Draining: true}
	tests := []struct {
		name        string
		members     []Member
		synchronous int
		want        bool
	}{
		{"asynchronous, one of two answers", []Member{p, a, drainingB}, 0, true},
		{"one synchronous, both answer", []Member{p, a, b}, 1, true},
		{"one synchronous, the draining one may hold more", []Member{p, a, drainingB}, 1, false},
		{"all synchronous, one reply is enough", []Member{p, a, drainingB}, 2, true},
	}
	for _, tt := range tests {
		if got := HasCommitQuorum(tt.members, nil, tt.synchronous); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}

func TestBest(t *testing.T) {
	tests := []struct {
		name    string
		members []Member
		term    position.Term
		want    group.TargetID
	}{
		{"no members", nil, 1, ""},
		{"highest position", []Member{{ID: "a", Received: point(1, 8)}, {ID: "b", Received: point(1, 9)}}, 1, "b"},
		{"later term before higher position", []Member{{ID: "a", Received: point(2, 1)}, {ID: "b", Received: point(1, 9)}}, 1, "a"},
		{"primary to be replaced is skipped", []Member{{ID: "a", Leader: true, Received: point(1, 9)}, {ID: "b", Received: point(1, 8)}}, 1, "b"},
		{"draining and failing targets are skipped", []Member{{ID: "a", Draining: true, Received: point(1, 9)}, {ID: "b", FailingSince: 1, Received: point(1, 9)}, {ID: "c", Received: point(1, 1)}}, 1, "c"},
		{"log of an earlier term is skipped", []Member{{ID: "a", Received: point(1, 718)}}, 2, ""},
	}
	for _, tt := range tests {
		got := group.TargetID("")
		if i := BestCandidate(tt.members, tt.term); i >= 0 {
			got = tt.members[i].ID
		}
		if got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}
