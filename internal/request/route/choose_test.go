package route

import (
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

func point(term position.Term, at position.Position) position.Point {
	return position.Point{Term: term, Position: at}
}

// baseView has the primary a here, the replica b here and the replica c elsewhere, all at 2/100.
func baseView() *View {
	v := &View{Record: group.Record{Term: 2, Primary: "a"}, Samples: []Sample{{point(2, 50), 900}, {point(2, 100), 1000}}}
	for _, name := range []group.TargetID{"a", "b", "c"} {
		t := TargetView{Target: group.Target{ID: name, DataCentre: "here", Slots: 4}, AskedAt: 1000}
		t.Status = group.Status{Promise: 2, Holder: "d", Following: "a", Received: point(2, 100), Applied: point(2, 100)}
		v.Targets = append(v.Targets, t)
		v.Record.Targets = append(v.Record.Targets, t.Target)
	}
	v.Targets[0].Status.Primary, v.Targets[0].Status.Following = true, ""
	v.Targets[0].Writes = 1
	v.Targets[2].DataCentre = "there"
	return v
}

func TestChoose(t *testing.T) {
	read := func(n *Need) { n.Request.Kind = service.Read }
	tests := []struct {
		name   string
		change func(a, b, c *TargetView, v *View, n *Need)
		want   Choice
	}{
		{"write", func(_, _, _ *TargetView, _ *View, _ *Need) {}, Choice{"a", Primary, ReasonWrite}},
		{"write while changing", func(_, _, _ *TargetView, v *View, _ *Need) { v.Changing = true }, Choice{"", Wait, ReasonChanging}},
		{"write with primary down", func(a, _, _ *TargetView, _ *View, _ *Need) { a.Down = true }, Choice{"", Wait, ReasonNoPrimary}},
		{"write before promotion", func(a, _, _ *TargetView, _ *View, _ *Need) { a.Status.Primary = false }, Choice{"", Wait, ReasonNoPrimary}},
		{"write by a status of an earlier role", func(_, _, _ *TargetView, v *View, _ *Need) { v.Record.Term = 4 }, Choice{"", Wait, ReasonNoPrimary}},
		{"write with majority fenced", func(_, b, c *TargetView, _ *View, _ *Need) { b.Status.Promise, c.Status.Promise = 3, 3 }, Choice{"", Wait, ReasonFenced}},
		{"write with one fenced", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Status.Promise = 3 }, Choice{"a", Primary, ReasonWrite}},
		{"write with record behind", func(_, b, c *TargetView, _ *View, _ *Need) {
			b.Status = group.Status{Promise: 3, Holder: "d", Primary: true}
			c.Status = group.Status{Promise: 3, Holder: "d", Following: "b"}
		}, Choice{"b", Primary, ReasonWrite}},
		{"write with an unproven later primary", func(_, b, _ *TargetView, _ *View, _ *Need) {
			b.Status = group.Status{Promise: 3, Holder: "d", Primary: true}
		}, Choice{"a", Primary, ReasonWrite}},
		{"write with two holders of a term", func(a, b, c *TargetView, _ *View, _ *Need) {
			b.Status = group.Status{Promise: 3, Holder: "d", Primary: true}
			c.Status = group.Status{Promise: 3, Holder: "e", Following: "b"}
			a.Down = true
		}, Choice{"", Wait, ReasonNoPrimary}},
		{"write past its deadline", func(_, _, _ *TargetView, _ *View, n *Need) { n.Deadline = 1000 }, Choice{"", Refuse, ReasonDeadline}},
		{"write without targets", func(_, _, _ *TargetView, v *View, _ *Need) { v.Targets = nil }, Choice{"", Refuse, ReasonNoTargets}},
		{"read here", func(_, _, _ *TargetView, _ *View, n *Need) { read(n) }, Choice{"b", Replica, ReasonFresh}},
		{"read here with b full", func(_, b, _ *TargetView, _ *View, n *Need) { read(n); b.Busy = 4 }, Choice{"c", Replica, ReasonFresh}},
		{"read on an idle primary", func(a, b, _ *TargetView, _ *View, n *Need) { read(n); a.Writes, b.Busy = 0, 1 }, Choice{"a", Primary, ReasonFresh}},
		{"read past a lagging replica", func(_, b, _ *TargetView, _ *View, n *Need) { read(n); b.Status.Applied = point(2, 99) }, Choice{"c", Replica, ReasonFresh}},
		{"read past an older term", func(_, b, _ *TargetView, _ *View, n *Need) { read(n); b.Status.Applied = point(1, 900) }, Choice{"c", Replica, ReasonFresh}},
		{"read past another's follower", func(_, b, _ *TargetView, _ *View, n *Need) { read(n); b.Status.Following = "z" }, Choice{"c", Replica, ReasonFresh}},
		{"read past a cut off replica", func(_, b, _ *TargetView, _ *View, n *Need) { read(n); b.Status.Following = "" }, Choice{"c", Replica, ReasonFresh}},
		{"read past one that leaves", func(_, b, _ *TargetView, _ *View, n *Need) { read(n); b.Leaving = true }, Choice{"c", Replica, ReasonFresh}},
		{"read on the busy primary", func(_, b, c *TargetView, _ *View, n *Need) { read(n); b.Down, c.Down = true, true }, Choice{"a", Primary, ReasonNoReplica}},
		{"read floor past the replicas", func(_, _, _ *TargetView, _ *View, n *Need) { read(n); n.Floor = point(2, 101) }, Choice{"a", Primary, ReasonNoReplica}},
		{"read floor of a later term", func(_, _, _ *TargetView, _ *View, n *Need) { read(n); n.Floor = point(3, 1) }, Choice{"", Wait, ReasonLagging}},
		{"read without a sample", func(_, _, _ *TargetView, _ *View, n *Need) { read(n); n.Arrived = 1001 }, Choice{"", Wait, ReasonNeedsSample}},
		{"read with a sample of its own", func(_, _, _ *TargetView, _ *View, n *Need) {
			read(n)
			n.Arrived, n.Fresh = 1001, Sample{point(2, 100), 1001}
		}, Choice{"b", Replica, ReasonFresh}},
		{"aged read by the older sample", func(_, b, _ *TargetView, _ *View, n *Need) {
			read(n)
			n.Arrived, n.Request.MaxAge, b.Status.Applied = 1001, 110, point(2, 50)
		}, Choice{"b", Replica, ReasonFresh}},
		{"aged read with that sample too old", func(_, b, _ *TargetView, _ *View, n *Need) {
			read(n)
			n.Request.MaxAge, b.Status.Applied = 109, point(2, 50)
		}, Choice{"c", Replica, ReasonFresh}},
		{"read while changing", func(a, b, c *TargetView, v *View, n *Need) {
			read(n)
			v.Changing, a.Down = true, true
			b.Status.Promise, b.Status.Following = 3, ""
		}, Choice{"b", Replica, ReasonFresh}},
		{"read while changing past one not fenced", func(a, b, _ *TargetView, v *View, n *Need) {
			read(n)
			v.Changing, a.Down = true, true
			b.Status.Promise, b.Status.Following, b.Status.Applied = 3, "", point(2, 99)
		}, Choice{"", Wait, ReasonLagging}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v, n := baseView(), Need{Arrived: 1000, DataCentre: "here"}
			n.Request.Kind = service.Write
			tt.change(&v.Targets[0], &v.Targets[1], &v.Targets[2], v, &n)
			if got := Choose(v, 1010, n, func(int) int { return 0 }); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestMakeSample(t *testing.T) {
	v := baseView()
	answer := func(name group.TargetID, at clock.Millis, p position.Position) Answer {
		return Answer{name, group.Status{Received: point(2, p)}, at}
	}
	tests := []struct {
		name    string
		answers []Answer
		want    Sample
	}{
		{"one", []Answer{answer("a", 5, 1)}, Sample{}},
		{"one twice", []Answer{answer("a", 5, 1), answer("a", 6, 1)}, Sample{}},
		{"one and a stranger", []Answer{answer("a", 5, 1), answer("z", 6, 1)}, Sample{}},
		{"two", []Answer{answer("a", 5, 1), answer("b", 6, 9)}, Sample{point(2, 9), 5}},
		{"newest two", []Answer{answer("a", 3, 99), answer("b", 6, 9), answer("c", 5, 8)}, Sample{point(2, 9), 5}},
	}
	for _, tt := range tests {
		if got, ok := MakeSample(&v.Record, tt.answers); got != tt.want || ok != (got.AskedAt != 0) {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, kind := range []service.Kind{service.Read, service.Write} {
		b.Run(string(kind), func(b *testing.B) {
			v, n := baseView(), Need{Arrived: 1000, DataCentre: "here"}
			n.Request.Kind = kind
			b.ReportAllocs()
			for b.Loop() {
				Choose(v, 1010, n, func(int) int { return 0 })
			}
		})
	}
}
