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

// baseView has the primary a and the replica b in the data centre of the daemon and the replica c in another one, all at point 2/100.
// The primary has one outstanding write.
func baseView() *View {
	v := &View{Record: group.Record{Term: 2, Primary: "a"}, Samples: []Sample{{point(2, 50), 900}, {point(2, 100), 1000}}}
	for _, name := range []group.TargetID{"a", "b", "c"} {
		t := TargetView{Target: group.Target{ID: name, DataCentre: "local", Slots: 4}, RequestedAt: 1000}
		t.Status = group.Status{Promise: 2, Holder: "d", Following: "a", Received: point(2, 100), Applied: point(2, 100)}
		v.Targets = append(v.Targets, t)
		v.Record.Targets = append(v.Record.Targets, t.Target)
	}
	v.Targets[0].Status.Primary, v.Targets[0].Status.Following = true, ""
	v.Targets[0].Writes = 1
	v.Targets[2].DataCentre = "remote"
	return v
}

// chooseCase alters the base view or the need and gives the choice that Choose must return.
type chooseCase struct {
	name   string
	change func(a, b, c *TargetView, v *View, n *Need)
	want   Choice
}

func (tt *chooseCase) run(t *testing.T, kind service.Kind) {
	v, n := baseView(), Need{Arrived: 999, DataCentre: "local"}
	n.Request.Kind = kind
	tt.change(&v.Targets[0], &v.Targets[1], &v.Targets[2], v, &n)
	got := Choose(v, 1010, n, func(int) int { return 0 })
	if got != tt.want {
		t.Errorf("%s: got choice %v, want %v", tt.name, got, tt.want)
	}
	if got.Target != "" && !CanServe(v, 1010, n, got.Target) || CanServe(v, 1010, n, "z") || CanServe(v, 1010, n, "") {
		t.Errorf("%s: got %v, which a second check refuses, or an unknown target which it accepts", tt.name, got)
	}
}

func TestChooseForWrites(t *testing.T) {
	toA, noPrimary := Choice{"a", Primary, ReasonWrite}, Choice{"", Wait, ReasonNoPrimary}
	inTerm3 := func(holder group.DaemonID) group.Status {
		return group.Status{Promise: 3, Holder: holder, Received: point(3, 101)}
	}
	tests := []chooseCase{
		{"unaltered view", func(_, _, _ *TargetView, _ *View, _ *Need) {}, toA},
		{"change of primary under way", func(_, _, _ *TargetView, v *View, _ *Need) { v.Changing = true }, Choice{"", Wait, ReasonChanging}},
		{"primary down", func(a, _, _ *TargetView, _ *View, _ *Need) { a.Down = true }, noPrimary},
		{"recorded primary not promoted yet", func(a, _, _ *TargetView, _ *View, _ *Need) { a.Status.Primary = false }, noPrimary},
		{"status of the primary from an earlier term than the record", func(_, _, _ *TargetView, v *View, _ *Need) { v.Record.Term = 4 }, noPrimary},
		{"majority promised a later term", func(_, b, c *TargetView, _ *View, _ *Need) { b.Status.Promise, c.Status.Promise = 3, 3 }, Choice{"", Wait, ReasonFenced}},
		{"one replica promised a later term", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Status.Promise = 3 }, toA},
		{"record out of date, later primary proven by its follower", func(_, b, c *TargetView, _ *View, _ *Need) {
			b.Status, c.Status = inTerm3("d"), inTerm3("d")
			b.Status.Primary, c.Status.Following = true, "b"
		}, Choice{"b", Primary, ReasonWrite}},
		{"later primary without a follower", func(_, b, _ *TargetView, _ *View, _ *Need) {
			b.Status = inTerm3("d")
			b.Status.Primary = true
		}, toA},
		{"later primary whose follower has not promised its term", func(_, b, c *TargetView, _ *View, _ *Need) {
			b.Status = inTerm3("d")
			b.Status.Primary, c.Status.Following = true, "b"
		}, toA},
		{"old primary and replicas promised a later term", func(a, b, c *TargetView, _ *View, _ *Need) {
			a.Status.Promise, b.Status, c.Status = 3, inTerm3("d"), inTerm3("d")
		}, Choice{"", Wait, ReasonFenced}},
		{"primary and follower promised the same term to two holders", func(a, b, c *TargetView, _ *View, _ *Need) {
			b.Status, c.Status, a.Down = inTerm3("d"), inTerm3("e"), true
			b.Status.Primary, c.Status.Following = true, "b"
		}, noPrimary},
		{"deadline passed", func(_, _, _ *TargetView, _ *View, n *Need) { n.Deadline = 1010 }, Choice{"", Refuse, ReasonDeadline}},
		{"group without targets", func(_, _, _ *TargetView, v *View, _ *Need) { v.Targets = nil }, Choice{"", Refuse, ReasonNoTargets}},
	}
	for _, tt := range tests {
		tt.run(t, service.Write)
	}
}

func TestChooseForReads(t *testing.T) {
	onB, onC := Choice{"b", Replica, ReasonFresh}, Choice{"c", Replica, ReasonFresh}
	onBusyPrimary, lagging := Choice{"a", Primary, ReasonNoReplica}, Choice{"", Wait, ReasonLagging}
	tests := []chooseCase{
		{"local replica", func(_, _, _ *TargetView, _ *View, _ *Need) {}, onB},
		{"local replica has no free slot", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Outstanding = 4 }, onC},
		{"primary without writes, less loaded than the local replica", func(a, b, _ *TargetView, _ *View, _ *Need) { a.Writes, b.Outstanding = 0, 1 }, Choice{"a", Primary, ReasonFresh}},
		{"primary without writes, more loaded than the local replica", func(a, _, _ *TargetView, _ *View, _ *Need) { a.Writes, a.Outstanding = 0, 1 }, onB},
		{"local replica lags", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Status.Applied = point(2, 99) }, onC},
		{"local replica applied an older term only", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Status.Applied = point(1, 900) }, onC},
		{"local replica follows another target", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Status.Following = "z" }, onC},
		{"local replica has not joined the term of the primary", func(a, _, c *TargetView, v *View, _ *Need) {
			a.Status.Received, c.Status.Promise, v.Record.Term = point(4, 101), 4, 4
		}, onC},
		{"local replica follows no primary", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Status.Following = "" }, onC},
		{"local replica leaves", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Leaving = true }, onC},
		{"replicas down, primary has writes", func(_, b, c *TargetView, _ *View, _ *Need) { b.Down, c.Down = true, true }, onBusyPrimary},
		{"floor that no replica has reached", func(_, _, _ *TargetView, _ *View, n *Need) { n.Floor = point(2, 101) }, onBusyPrimary},
		{"floor of a term later than that of the primary", func(_, _, _ *TargetView, _ *View, n *Need) { n.Floor = point(3, 1) }, lagging},
		{"no sample requested later than in the millisecond of the arrival", func(_, _, _ *TargetView, _ *View, n *Need) { n.Arrived = 1000 }, Choice{"", Wait, ReasonNeedsSample}},
		{"sample requested for the read", func(_, _, _ *TargetView, _ *View, n *Need) {
			n.Arrived, n.Sample = 1001, Sample{point(2, 100), 1001}
		}, onB},
		{"maximum age that allows the older sample", func(_, b, _ *TargetView, _ *View, n *Need) {
			n.Arrived, n.Request.MaxAge, b.Status.Applied = 1001, 111, point(2, 50)
		}, onB},
		{"maximum age that excludes the older sample", func(_, b, _ *TargetView, _ *View, n *Need) {
			n.Request.MaxAge, b.Status.Applied = 110, point(2, 50)
		}, onC},
		{"change under way, replica fenced for the next primary", func(a, b, _ *TargetView, v *View, _ *Need) {
			v.Changing, a.Down, b.Status.Promise, b.Status.Following = true, true, 3, ""
		}, onB},
		{"change under way, other replica fenced for a later term", func(a, b, c *TargetView, v *View, _ *Need) {
			v.Changing, a.Down, b.Status.Promise, b.Status.Following = true, true, 3, ""
			c.Status.Promise, c.Status.Following = 4, ""
		}, onC},
		{"change under way, fenced replica lags and the other is not fenced", func(a, b, _ *TargetView, v *View, _ *Need) {
			v.Changing, a.Down, b.Status.Promise, b.Status.Following = true, true, 3, ""
			b.Status.Applied = point(2, 99)
		}, lagging},
		{"change under way, replicas down", func(_, b, c *TargetView, v *View, _ *Need) {
			v.Changing, b.Down, c.Down = true, true, true
		}, lagging},
	}
	for _, tt := range tests {
		tt.run(t, service.Read)
	}
}

func TestMakeSample(t *testing.T) {
	v := baseView()
	reply := func(name group.TargetID, at clock.Millis, p position.Position) StatusReply {
		return StatusReply{name, group.Status{Received: point(2, p)}, at}
	}
	tests := []struct {
		name    string
		replies []StatusReply
		want    Sample
	}{
		{"one target", []StatusReply{reply("a", 5, 1)}, Sample{}},
		{"one target twice", []StatusReply{reply("a", 5, 1), reply("a", 6, 1)}, Sample{}},
		{"one target and one outside the group", []StatusReply{reply("a", 5, 1), reply("z", 6, 1)}, Sample{}},
		{"majority", []StatusReply{reply("a", 5, 1), reply("b", 6, 9)}, Sample{point(2, 9), 5}},
		{"newest replies of a majority", []StatusReply{reply("a", 3, 99), reply("b", 6, 9), reply("c", 5, 8)}, Sample{point(2, 9), 5}},
	}
	for _, tt := range tests {
		if got, ok := MakeSample(&v.Record, tt.replies); got != tt.want || ok != (got.RequestedAt != 0) {
			t.Errorf("%s: got sample %v, %v, want %v", tt.name, got, ok, tt.want)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, kind := range []service.Kind{service.Read, service.Write} {
		b.Run(string(kind), func(b *testing.B) {
			v, n := baseView(), Need{Arrived: 999, DataCentre: "local"}
			n.Request.Kind = kind
			b.ReportAllocs()
			for b.Loop() {
				Choose(v, 1010, n, func(int) int { return 0 })
			}
		})
	}
}
