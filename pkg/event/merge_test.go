package event

import (
	"errors"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

func TestMergeSortsAndDeduplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var streams [][]Event
		var all []Event
		for _, daemon := range []string{"a", "b", "c"} {
			m := clock.NewManual(clock.Millis(rapid.IntRange(0, 9).Draw(t, "start")))
			l := NewLog(daemon, 50, &m.Clock, nil)
			for range rapid.IntRange(0, 9).Draw(t, "events") {
				_ = l.Add(Event{Kind: Counted, Counts: &Counts{Served: 1}})
				m.Advance(clock.Millis(rapid.IntRange(0, 2).Draw(t, "pause")))
			}
			streams = append(streams, l.Events(), l.Events()[rapid.IntRange(0, len(l.Events())).Draw(t, "from"):])
			all = append(all, l.Events()...)
		}
		got := Merge(streams...)
		if len(got) != len(all) {
			t.Fatalf("got %d events, want %d", len(got), len(all))
		}
		if !slices.IsSortedFunc(got, func(a, b Event) int { return a.At.Compare(b.At) }) {
			t.Fatalf("got %v, want events in order", got)
		}
	})
}

func TestReadReportsInvalidLines(t *testing.T) {
	got, err := Read(strings.NewReader("{\"kind\":\"started\"}\n\n{\"kind\":\"sto"))
	var lineErr *LineError
	if !errors.As(err, &lineErr) || lineErr.Line != 3 {
		t.Errorf("got %v, want an error for line 3", err)
	}
	if len(got) != 1 || got[0].Kind != Started {
		t.Errorf("got %v, want the first event", got)
	}
}

func TestFigures(t *testing.T) {
	f, err := os.Open("testdata/figures.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	all, err := Read(f)
	if err != nil {
		t.Fatal(err)
	}
	got := NewFigures(Merge(all))
	half, none := 0.5, 0.0
	want := []RequestFigures{
		{Month: "2026-01", Service: "precios", Kind: "read", Served: 10, ReplicaReads: 5, ReplicaShare: &half, Refused: 1},
		{Month: "2026-01", Service: "precios", Kind: "write", Served: 4, Unknown: 1},
		{Month: "2026-02", Service: "precios", Kind: "read", Served: 2, ReplicaShare: &none},
	}
	if !reflect.DeepEqual(got.Requests, want) {
		t.Errorf("got %+v, want %+v", got.Requests, want)
	}
	if len(got.Gaps) != 1 {
		t.Fatalf("got %+v, want the gaps of one group and month", got.Gaps)
	}
	g := got.Gaps[0]
	if g.Month != "2026-01" || g.Group != "g" || g.Count != 1 || g.Median != 900 || g.Longest != 900 {
		t.Errorf("got %+v, want one gap of 900 ms of g in 2026-01", g)
	}
}

func TestGaps(t *testing.T) {
	at := func(ms clock.Millis, daemon string, kind Kind, target string, term position.Term) Event {
		return Event{At: Stamp{Millis: ms, Daemon: daemon}, Kind: kind, Group: "g", Target: target, Term: term}
	}
	first := at(1, "x", FirstWrite, "a", 1)
	tests := []struct {
		name   string
		events []Event
		want   []clock.Millis
	}{
		{"earliest of two daemons", []Event{first, at(10, "x", Suspected, "a", 1), at(12, "y", Suspected, "a", 1), at(30, "y", FirstWrite, "b", 2), at(35, "x", FirstWrite, "b", 2)}, []clock.Millis{20}},
		{"replica suspected", []Event{first, at(10, "x", Suspected, "c", 1), at(30, "y", FirstWrite, "b", 2)}, nil},
		{"suspicion withdrawn", []Event{first, at(10, "x", Suspected, "a", 1), at(11, "x", FalseAlarm, "a", 1), at(20, "y", Suspected, "a", 1), at(30, "y", FirstWrite, "b", 2)}, []clock.Millis{10}},
		{"false alarm during the change", []Event{first, at(10, "x", Suspected, "a", 1), at(11, "y", ChangeBegan, "a", 2), at(12, "x", FalseAlarm, "a", 1), at(30, "y", FirstWrite, "b", 2)}, []clock.Millis{20}},
		{"change abandoned, then false alarm", []Event{first, at(10, "x", Suspected, "a", 1), at(11, "x", ChangeBegan, "a", 2), at(12, "x", ChangeAbandoned, "a", 2), at(13, "x", FalseAlarm, "a", 1), at(30, "y", FirstWrite, "b", 2)}, nil},
		{"target drained", []Event{first, at(11, "y", ChangeBegan, "a", 2), at(30, "y", FirstWrite, "b", 2)}, nil},
		{"primary known from confirmation only", []Event{at(10, "x", Suspected, "a", 4), at(15, "x", Confirmed, "a", 4), at(30, "y", FirstWrite, "b", 6)}, []clock.Millis{20}},
		{"same term", []Event{first, at(10, "x", Suspected, "a", 1), at(30, "y", FirstWrite, "a", 1)}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []clock.Millis
			for _, g := range Gaps(tt.events) {
				got = append(got, g.Length)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
