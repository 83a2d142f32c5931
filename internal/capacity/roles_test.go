package capacity

import (
	"errors"
	"testing"
)

// handMade are slopes with round lines, for a fleet of round numbers.
func handMade() Slopes {
	out := Slopes{}
	for _, m := range measures() {
		for _, s := range m.slopes {
			s.Line = Line{Slope: 1}
			s.Samples = []Sample{{1, 1}, {2, 1}, {3, 1}}
			out[s.ID] = s
		}
	}
	set := func(id SlopeID, l Line, flat float64) {
		s := out[id]
		s.Line = l
		s.Samples = []Sample{{1, flat}, {2, flat}, {3, flat}}
		out[id] = s
	}
	set(HeartbeatBytes, Line{}, 500)
	set(PulseBytes, Line{Intercept: 99, Slope: 10}, 0)
	set(DemandBytes, Line{Slope: 40}, 0)
	set(HeartbeatCPU, Line{}, 250)
	set(TickCPU, Line{Intercept: 10, Slope: 2}, 0)
	set(LoopCPU, Line{Intercept: 5, Slope: 2000}, 0)
	set(SlowLoopCPU, Line{Slope: 500}, 0)
	set(QuestionCPU, Line{Slope: 100}, 0)
	set(QuestionBytes, Line{Intercept: 280, Slope: 1000}, 0)
	set(LoopBytes, Line{Slope: 30_000}, 0)
	set(LinkBytes, Line{Slope: 20_000}, 0)
	set(ShareCPU, Line{Intercept: 50, Slope: 0.5}, 0)
	set(DigestBytes, Line{Slope: 30}, 0)
	set(ApplyCPU, Line{Slope: 1}, 0)
	set(DecodeCPU, Line{Slope: 19}, 0)
	set(VMCalls, Line{Slope: 0.5}, 0)
	set(WaitingWatches, Line{}, 2)
	set(CallsPerChange, Line{}, 3)
	set(CallerBytes, Line{Slope: 10_000}, 0)
	set(ReadCPU, Line{Slope: 60}, 0)
	set(StraightCPU, Line{Slope: 20}, 0)
	set(ListBytes, Line{Slope: 500}, 0)
	set(MemberWire, Line{Slope: 50}, 0)
	return out
}

var roundFleet = Size{
	Daemons: 100, DataCentres: 5, Regions: 2, Groups: 900, Targets: 3, Callers: 5000, Statements: 1000,
	Changes: 48, Published: 86_400, Replaced: 8640, Objects: 1000, Rack: 12, Homes: 2,
}

func TestRows(t *testing.T) {
	rows, err := Rows(handMade(), roundFleet)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, r := range rows {
		got[r.Role+"/"+r.What+"/"+string(r.Unit)] = r.Value
	}
	for what, want := range map[string]float64{
		// 4 heartbeats a second, begun and answered, of 500 B and 4 further pulses of 10 B.
		"entry daemon/heartbeats of its data centre/KB/s":                                         8 * 0.540,
		"entry daemon/heartbeats begun and answered/messages/s":                                   8,
		"entry daemon/today: all groups, questions asked/messages/s":                              27_000,
		"home of a group/2 homes a group that ask once a second, questions asked/messages/s":      54,
		"bridge of a data centre/heartbeats to other data centres, begun and answered/messages/s": 32,
		// 2,048 demands of 40 B are 81,920 B.
		"entry daemon/the same, 2,048 demands said/KB/s":         8 * 82.460,
		"entry daemon/heartbeats of its data centre/% of a core": 0.1,
		// 4 periods a second of 10 + 2*100 µs are 840 µs.
		"entry daemon/members' table, periods/% of a core": 0.084,
		// 900 groups of 2 ms; 2,700 targets asked 10 times a second at 100 µs; 27,000 kB.
		"entry daemon/today: all groups, loop and machines/% of a core":                                             180,
		"entry daemon/today: all groups, questions, target's end included/% of a core":                              270,
		"entry daemon/today: all groups, questions/KB/s":                                                            27_000,
		"entry daemon/today: all groups, machines and connections, target's end included/MB":                        27 + 54,
		"entry daemon/today: all groups, shares of slots and connections, scan of demands not measured/% of a core": 540,
		"coordinator/today: connections to one target, warm ones and one for control/":                              200,
		// One change a second of 20 ms; 1,000 keys of 30 B.
		"entry daemon/change of configuration: applied, changed object decoded, all gathered/% of a core":       2,
		"entry daemon/one change of configuration: processor time until it is in force/s":                       0.02,
		"entry daemon/change of configuration: all keys listed, once a change/KB/s":                             30,
		"entry daemon/change of configuration: events that name 16 keys each, a ring of 20,000 full of them/MB": 9.6,
		"bridge of a data centre/heartbeats to other data centres/KB/s":                                         32 * 0.540,
		"bridge of a data centre/heartbeats to other data centres/% of a core":                                  0.4,
		"home of a group/2 homes a group, loop and machines/% of a core":                                        3.6,
		"home of a group/2 homes a group, questions/KB/s":                                                       540,
		"home of a group/shortest interval of questions, two homes a group/s":                                   2.7,
		// 18 groups of 0.5 ms and 54 questions a second of 1,000 B.
		"home of a group/2 homes a group that ask once a second, loop and machines/% of a core": 0.9,
		"home of a group/2 homes a group that ask once a second, questions/KB/s":                54,
		// 9,000 µs of the loop, 5,400 of questions, 1 of the idle daemon and 840 of the table.
		"home of a group/sum: the same, idle daemon, members' table/% of a core":     1.5241,
		"coordinator/today: one target asked by all, both ends/% of a core":          10,
		"coordinator/homes: one target asked by its homes, both ends/% of a core":    0.2,
		"coordinator/today: records repaired after an hour without platform/calls/s": 2 * 100 / 1.5,
		"coordinator/homes: records repaired after an hour without platform/calls/s": 2 * 2 / 1.5,
		"caller connection/connections of a daemon/":                                 50,
		"caller connection/their memory, idle/MB":                                    0.5,
		"caller connection/statements of a daemon a second/":                         10,
		"caller connection/all reads, less the straight path/% of a core":            0.04,
		"platform/today: VM list read by every daemon/calls/s":                       50,
		"platform/watchers only: VM list/calls/s":                                    5,
		"platform/watches that wait/":                                                10,
		"platform/watches answered, one a change/calls/s":                            15,
		"platform/return after an outage: lists of all watchers/MB":                  5,
		// 7 bits of 100 members: each change is told 21 times, at 50 B; 0.4 ends, starts, sent and heard a second.
		"faults/2,300 replacements a day: ends and starts told/KB/s": 0.42,
		// 12 changes 21 times, 12 in each of 8 heartbeats a second.
		"faults/rack: time in which one daemon tells all ends/s": 21.0 / 8,
		"faults/region: records written in 9 s/calls/s":          50,
	} {
		v, ok := got[what]
		if !ok || !near(v, want) {
			t.Errorf("%s: got %v (%v), want %v", what, v, ok, want)
		}
	}
}

func TestRowsNeedEverySlope(t *testing.T) {
	for _, id := range []SlopeID{QuestionBytes, DigestBytes, VMCalls} {
		slopes := handMade()
		delete(slopes, id)
		if rows, err := Rows(slopes, roundFleet); !errors.Is(err, ErrNotMeasured) || rows != nil {
			t.Errorf("%s: got %d rows and %v, want %v", id, len(rows), err, ErrNotMeasured)
		}
	}
}

func TestHeadroom(t *testing.T) {
	for _, c := range []struct {
		row  Row
		want string
	}{
		{Row{Value: 5}, ""},
		{Row{Value: 5, Limit: 20}, "4 times"},
		{Row{Value: 20, Limit: 20}, "1 times"},
		{Row{Value: 50, Limit: 20}, "**broken, 2.5 times over**"},
	} {
		if got := c.row.Headroom(); got != c.want {
			t.Errorf("%v: got %q, want %q", c.row, got, c.want)
		}
	}
}

func TestFigure(t *testing.T) {
	for v, want := range map[float64]string{
		0: "0", 0.01234: "0.0123", 1.5: "1.5", 2: "2", 99.96: "100", 857: "857", 1234.4: "1,234",
		-1234567: "-1,234,567", -0.5: "-0.5", 0.0000001: "0", 100: "100",
	} {
		if got := figure(v); got != want {
			t.Errorf("%v: got %q, want %q", v, got, want)
		}
	}
}

func TestTables(t *testing.T) {
	slopes := []Slope{{
		ID: "x", What: "a thing", Size: "part", Unit: "B",
		Samples: []Sample{{1, 10}, {2000, 20}}, Line: Line{Intercept: 1, Slope: 2.5, Residual: 0.25},
	}}
	rows := []Row{{Role: "home", What: "memory", Value: 512, Unit: Megabytes, Limit: 256}, {Role: "home", What: "links", Value: 3}}
	want := []Table{
		{RunTable, "Run on a machine, 2026-01-02, in 90 s.\n"},
		{SlopesTable, "| slope | what | measured, size: value | intercept | slope | residual |\n|:--|:--|:--|--:|--:|--:|\n" +
			"| x | a thing | 1: 10; 2,000: 20 | 1 B | 2.5 B a part | 0.25 |\n"},
		{RolesTable, "| role | what | figure | limit | headroom |\n|:--|:--|--:|--:|--:|\n" +
			"| home | memory | 512 MB | 256 MB | **broken, 2 times over** |\n| home | links | 3 | none |  |\n"},
	}
	got := Tables(Run{Machine: "a machine", Date: "2026-01-02", Seconds: 90.2}, slopes, rows)
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("got %q, want %q", got[i], want[i])
		}
	}
}
