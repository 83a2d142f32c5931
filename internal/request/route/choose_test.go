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

// chooseCase changes the base view or the need, and says what Choose makes of it.
type chooseCase struct {
	name   string
	change func(a, b, c *TargetView, v *View, n *Need)
	want   Choice
}

func (tt *chooseCase) run(t *testing.T, kind service.Kind) {
	v, n := baseView(), Need{Arrived: 1000, DataCentre: "here"}
	n.Request.Kind = kind
	tt.change(&v.Targets[0], &v.Targets[1], &v.Targets[2], v, &n)
	got := Choose(v, 1010, n, func(int) int { return 0 })
	if got != tt.want {
		t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
	}
	if got.Target != "" && !Fits(v, 1010, n, got.Target) || Fits(v, 1010, n, "z") || Fits(v, 1010, n, "") {
		t.Errorf("%s: got another answer of Fits for %v", tt.name, got)
	}
}

func TestChooseForWrites(t *testing.T) {
	toA, none := Choice{"a", Primary, ReasonWrite}, Choice{"", Wait, ReasonNoPrimary}
	later := func(holder group.DaemonID) group.Status {
		return group.Status{Promise: 3, Holder: holder, Received: point(3, 101)}
	}
	tests := []chooseCase{
		{"plain", func(_, _, _ *TargetView, _ *View, _ *Need) {}, toA},
		{"changing", func(_, _, _ *TargetView, v *View, _ *Need) { v.Changing = true }, Choice{"", Wait, ReasonChanging}},
		{"primary down", func(a, _, _ *TargetView, _ *View, _ *Need) { a.Down = true }, none},
		{"before promotion", func(a, _, _ *TargetView, _ *View, _ *Need) { a.Status.Primary = false }, none},
		{"a status of an earlier role", func(_, _, _ *TargetView, v *View, _ *Need) { v.Record.Term = 4 }, none},
		{"majority fenced", func(_, b, c *TargetView, _ *View, _ *Need) { b.Status.Promise, c.Status.Promise = 3, 3 }, Choice{"", Wait, ReasonFenced}},
		{"one fenced", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Status.Promise = 3 }, toA},
		{"record behind", func(_, b, c *TargetView, _ *View, _ *Need) {
			b.Status, c.Status = later("d"), later("d")
			b.Status.Primary, c.Status.Following = true, "b"
		}, Choice{"b", Primary, ReasonWrite}},
		{"an unproven later primary", func(_, b, _ *TargetView, _ *View, _ *Need) {
			b.Status = later("d")
			b.Status.Primary = true
		}, toA},
		{"a later primary followed by an earlier order", func(_, b, c *TargetView, _ *View, _ *Need) {
			b.Status = later("d")
			b.Status.Primary, c.Status.Following = true, "b"
		}, toA},
		{"an old primary that took the fence", func(a, b, c *TargetView, _ *View, _ *Need) {
			a.Status.Promise, b.Status, c.Status = 3, later("d"), later("d")
		}, Choice{"", Wait, ReasonFenced}},
		{"two holders of a term", func(a, b, c *TargetView, _ *View, _ *Need) {
			b.Status, c.Status, a.Down = later("d"), later("e"), true
			b.Status.Primary, c.Status.Following = true, "b"
		}, none},
		{"past its deadline", func(_, _, _ *TargetView, _ *View, n *Need) { n.Deadline = 1010 }, Choice{"", Refuse, ReasonDeadline}},
		{"no targets", func(_, _, _ *TargetView, v *View, _ *Need) { v.Targets = nil }, Choice{"", Refuse, ReasonNoTargets}},
	}
	for _, tt := range tests {
		tt.run(t, service.Write)
	}
}

func TestChooseForReads(t *testing.T) {
	onB, onC := Choice{"b", Replica, ReasonFresh}, Choice{"c", Replica, ReasonFresh}
	onBusy, lagging := Choice{"a", Primary, ReasonNoReplica}, Choice{"", Wait, ReasonLagging}
	tests := []chooseCase{
		{"here", func(_, _, _ *TargetView, _ *View, _ *Need) {}, onB},
		{"b full", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Busy = 4 }, onC},
		{"idle primary", func(a, b, _ *TargetView, _ *View, _ *Need) { a.Writes, b.Busy = 0, 1 }, Choice{"a", Primary, ReasonFresh}},
		{"busier primary", func(a, _, _ *TargetView, _ *View, _ *Need) { a.Writes, a.Busy = 0, 1 }, onB},
		{"lagging", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Status.Applied = point(2, 99) }, onC},
		{"older term", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Status.Applied = point(1, 900) }, onC},
		{"another's follower", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Status.Following = "z" }, onC},
		{"following by an earlier order", func(a, _, c *TargetView, v *View, _ *Need) {
			a.Status.Received, c.Status.Promise, v.Record.Term = point(4, 101), 4, 4
		}, onC},
		{"cut off", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Status.Following = "" }, onC},
		{"leaving", func(_, b, _ *TargetView, _ *View, _ *Need) { b.Leaving = true }, onC},
		{"busy primary", func(_, b, c *TargetView, _ *View, _ *Need) { b.Down, c.Down = true, true }, onBusy},
		{"floor past the replicas", func(_, _, _ *TargetView, _ *View, n *Need) { n.Floor = point(2, 101) }, onBusy},
		{"floor of a later term", func(_, _, _ *TargetView, _ *View, n *Need) { n.Floor = point(3, 1) }, lagging},
		{"no sample", func(_, _, _ *TargetView, _ *View, n *Need) { n.Arrived = 1001 }, Choice{"", Wait, ReasonNeedsSample}},
		{"a sample of its own", func(_, _, _ *TargetView, _ *View, n *Need) {
			n.Arrived, n.Fresh = 1001, Sample{point(2, 100), 1001}
		}, onB},
		{"aged, by the older sample", func(_, b, _ *TargetView, _ *View, n *Need) {
			n.Arrived, n.Request.MaxAge, b.Status.Applied = 1001, 110, point(2, 50)
		}, onB},
		{"aged, that sample too old", func(_, b, _ *TargetView, _ *View, n *Need) {
			n.Request.MaxAge, b.Status.Applied = 109, point(2, 50)
		}, onC},
		{"changing, on one fenced", func(a, b, _ *TargetView, v *View, _ *Need) {
			v.Changing, a.Down, b.Status.Promise, b.Status.Following = true, true, 3, ""
		}, onB},
		{"changing, not on one fenced earlier", func(a, b, c *TargetView, v *View, _ *Need) {
			v.Changing, a.Down, b.Status.Promise, b.Status.Following = true, true, 3, ""
			c.Status.Promise, c.Status.Following = 4, ""
		}, onC},
		{"changing, not on one left unfenced", func(a, b, _ *TargetView, v *View, _ *Need) {
			v.Changing, a.Down, b.Status.Promise, b.Status.Following = true, true, 3, ""
			b.Status.Applied = point(2, 99)
		}, lagging},
		{"changing, not on the failed primary", func(_, b, c *TargetView, v *View, _ *Need) {
			v.Changing, b.Down, c.Down = true, true, true
		}, lagging},
	}
	for _, tt := range tests {
		tt.run(t, service.Read)
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
