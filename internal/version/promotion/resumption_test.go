package promotion

import (
	"encoding/json"
	"testing"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

func TestResumptions(t *testing.T) {
	a, b, again := Holder{"a", 1}, Holder{"b", 1}, Holder{"a", 2}
	var r Resumptions
	r.Add(a, 1, 1000)
	r.Add(a, 2, 5000)
	r.Add(b, 2, 5000)
	r.Remove(a, 2)
	tests := []struct {
		name   string
		holder Holder
		now    clock.Millis
		want   bool
	}{
		{"the earlier one of two got no answer", a, 6000, true},
		{"until its time has passed", a, 1000 + MaxCommandDelay, false},
		{"another target", b, 1000 + MaxCommandDelay, true},
		{"a target that started again", again, 6000, false},
		{"a target of an unknown start", Holder{"a", 0}, 6000, true},
	}
	for _, tt := range tests {
		if got := r.Pending(tt.holder, tt.now); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}

// Guards against a daemon that takes over and relies on a pause that a RESUME of the holder before may undo.
func TestResumptionsSurviveTheRecord(t *testing.T) {
	a := Holder{"a", 1}
	var r Resumptions
	r.Add(a, 7, 1000)
	r.Add(a, 8, 2000)
	r.Add(Holder{"b", 1}, 7, 1000)
	stored, err := json.Marshal(r.Record(1000 + MaxCommandDelay))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(stored), `[{"id":"a","started-at":1,"order":8,"left-ms":1000}]`; got != want {
		t.Fatalf("got record %s, want %s", got, want)
	}
	var record []Resumption
	if err := json.Unmarshal(stored, &record); err != nil {
		t.Fatal(err)
	}
	// The clock of the next daemon is another one.
	var next Resumptions
	next = next.Read(record, 700_000)
	if !next.Pending(a, 700_999) || next.Pending(a, 701_000) {
		t.Errorf("got %+v, want it pending until 701,000 ms", next)
	}
	// The record is as it was, but that daemon knows it already.
	next = next.Read(record, 700_600)
	if !next.Pending(a, 700_999) || next.Pending(a, 701_000) {
		t.Errorf("read again: got %+v, want it pending until 701,000 ms", next)
	}
	record[0].Order = 9
	if next = next.Read(record, 700_600); !next.Pending(a, 701_599) {
		t.Errorf("another order: got %+v, want it pending until 701,600 ms", next)
	}
	for _, left := range []clock.Millis{-1, 1 << 60} {
		odd := Resumptions{}.Read([]Resumption{{Holder: a, Left: left}}, 0)
		if !odd.Pending(a, MaxCommandDelay-1) || odd.Pending(a, MaxCommandDelay) {
			t.Errorf("left %d: got %+v, want it pending until %d ms", left, odd, MaxCommandDelay)
		}
	}
}

func TestPreventsCommits(t *testing.T) {
	p, a, b, c := Holder{"p", 1}, Holder{"a", 1}, Holder{"b", 1}, Holder{"c", 1}
	leader := Member{ID: "p", StartedAt: 1, Leader: true}
	member := func(h Holder, mayResume bool) Member { return Member{ID: h.ID, StartedAt: 1, MayResume: mayResume} }
	silent := Member{ID: "c", StartedAt: 1, Draining: true}
	tests := []struct {
		name        string
		members     []Member
		holders     []Holder
		synchronous int
		successor   int
		want, can   bool
	}{
		{"paused", []Member{leader, member(a, false), member(b, false)}, []Holder{a, b, p}, 1, 1, true, true},
		{"another replica may resume", []Member{leader, member(a, false), member(b, true)}, []Holder{a, b, p}, 1, 1, false, true},
		{"the successor may resume", []Member{leader, member(a, false), member(b, true)}, []Holder{a, b, p}, 1, 2, true, true},
		{"both may resume", []Member{leader, member(a, true), member(b, true)}, []Holder{a, b, p}, 1, 2, false, false},
		{"both may resume, and commits need them", []Member{leader, member(a, true), member(b, true)}, []Holder{a, b, p}, 2, 2, true, true},
		{"one may resume, one is silent", []Member{leader, member(a, false), member(b, true), silent}, []Holder{a, b, c, p}, 1, 2, false, false},
		{"one may resume, one is silent, and commits need both", []Member{leader, member(a, false), member(b, true), silent}, []Holder{a, b, c, p}, 2, 1, false, true},
		{"asynchronous", []Member{leader, member(a, true), member(b, true)}, nil, 0, 1, true, true},
	}
	for _, tt := range tests {
		if got := PreventsCommits(tt.members, tt.holders, tt.synchronous, tt.successor); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
		if got := CanPreventCommits(tt.members, tt.holders, tt.synchronous); got != tt.can {
			t.Errorf("%s: got %t for any successor, want %t", tt.name, got, tt.can)
		}
	}
}

func TestBestCandidatePrefersOneThatMayResume(t *testing.T) {
	at := func(p position.Position) position.Point { return position.Point{Term: 1, Position: p} }
	members := []Member{{ID: "a", Received: at(5)}, {ID: "b", Received: at(5), MayResume: true}, {ID: "c", Received: at(5)}}
	if got, want := BestCandidate(members, 1), 1; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
	members[2].Received = at(6)
	if got, want := BestCandidate(members, 1), 2; got != want {
		t.Errorf("got %d for a target that holds more, want %d", got, want)
	}
}
