package limit

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func TestShare(t *testing.T) {
	tests := []struct {
		name           string
		total, reserve int
		wants          []int
		want           []int
	}{
		{"single daemon", 10, 2, []int{5}, []int{8}},
		{"equal demands", 9, 0, []int{4, 4, 4}, []int{3, 3, 3}},
		{"by demand", 16, 0, []int{9, 2, 0}, []int{10, 4, 2}},
		{"negative demand", 4, 0, []int{-7, -7}, []int{2, 2}},
		{"reserve above the total", 2, 3, []int{4, 4}, []int{0, 0}},
		{"fewer slots than daemons", 1, 0, []int{0, 3, 0}, []int{0, 1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := shares(Pool{"t", tt.total, tt.reserve}, demands(tt.wants), Pool.Share); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
	if got := Share(9, "unknown", demands([]int{1}), 0); got != 0 {
		t.Errorf("got %d for an unknown daemon, want 0", got)
	}
}

func TestLeftoverSlotsVaryByTarget(t *testing.T) {
	receivers := map[int]bool{}
	for n := range 20 {
		got := shares(Pool{group.TargetID(fmt.Sprint("t", n)), 10, 0}, demands([]int{1, 1, 1}), Pool.Share)
		receivers[slices.Index(got, 4)] = true
	}
	if got, want := len(receivers), 3; got != want {
		t.Errorf("got leftover slots at %d daemons, want %d", got, want)
	}
}

type shareFunc func(Pool, group.DaemonID, []Demand) int

func demands(wants []int) []Demand {
	var out []Demand
	for i, want := range wants {
		out = append(out, Demand{group.DaemonID(fmt.Sprint("d", i)), want})
	}
	return out
}

func shares(p Pool, all []Demand, share shareFunc) []int {
	var out []int
	for _, d := range all {
		out = append(out, share(p, d.Daemon, all))
	}
	return out
}

// fault checks the shares of all daemons together and describes the first violation.
func fault(p Pool, wants []int, share shareFunc) string {
	all := demands(wants)
	got := shares(p, all, share)
	slices.Reverse(all)
	backward := shares(p, all, share)
	slices.Reverse(backward)
	available, sum, working, served := max(p.Total-p.Reserve, 0), 0, 0, 0
	for i := range got {
		sum += got[i]
		if wants[i] > 0 {
			working++
			served += min(got[i], 1)
		}
	}
	switch {
	case !slices.Equal(got, backward):
		return "the shares depend on the order of the demands"
	case sum != available:
		return fmt.Sprintf("%d slots assigned of %d", sum, available)
	case served != min(working, available):
		return fmt.Sprintf("%d of %d daemons with work have a slot, with %d slots available", served, working, available)
	}
	return ""
}

func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pool{
			Target:  group.TargetID(rapid.StringN(0, 3, 9).Draw(t, "target")),
			Total:   rapid.IntRange(0, 200).Draw(t, "total"),
			Reserve: rapid.IntRange(0, 9).Draw(t, "reserve"),
		}
		wants := rapid.SliceOfN(rapid.IntRange(0, 300), 1, 12).Draw(t, "wants")
		if got := fault(p, wants, Pool.Share); got != "" {
			t.Fatal(got)
		}
	})
}

func TestFaultDetectsBrokenShares(t *testing.T) {
	first := func(p Pool, self group.DaemonID, all []Demand) int {
		return p.Total/len(all) + boolToInt(all[0].Daemon == self)*(p.Total%len(all))
	}
	rounded := func(p Pool, _ group.DaemonID, all []Demand) int { return (p.Total + len(all) - 1) / len(all) }
	greedy := func(p Pool, self group.DaemonID, _ []Demand) int { return boolToInt(self == "d0") * p.Total }
	for name, share := range map[string]shareFunc{"first": first, "rounded": rounded, "greedy": greedy} {
		if fault(Pool{"t", 10, 0}, []int{1, 1, 1}, share) == "" {
			t.Errorf("got no fault for %s, want one", name)
		}
	}
}

func TestLimiter(t *testing.T) {
	l := NewLimiter(0, 8)
	steps := []struct {
		name string
		at   clock.Millis
		do   func(now clock.Millis)
		want int
	}{
		{"start", 0, nil, 8},
		{"refused", 10, l.Refused, 4},
		{"refused again for the same shortage", 20, l.Refused, 4},
		{"refused after ShrinkInterval", 300, l.Refused, 2},
		{"constant during HoldTime", 1300, nil, 2},
		{"grows after HoldTime", 1800, nil, 4},
		{"grows to the share", 9000, nil, 8},
		{"smaller share", 9000, func(now clock.Millis) { l.SetShare(now, 3) }, 3},
		{"larger share after a peer died", 9000, func(now clock.Millis) { l.SetShare(now, 12) }, 3},
		{"grows to the larger share", 12000, nil, 12},
		{"no share", 12000, func(now clock.Millis) { l.SetShare(now, 0) }, 0},
		{"first probe", 12020, nil, 1},
		{"pause after the probe", 13020, nil, 0},
		{"second probe", 13040, nil, 1},
		{"probe refused", 13100, l.Refused, 0},
		{"backoff after the refusal", 13139, nil, 0},
		{"third probe", 13140, nil, 1},
		{"refused again doubles the backoff", 13150, l.Refused, 0},
		{"doubled backoff", 13229, nil, 0},
		{"fourth probe", 13230, nil, 1},
		{"served resets the backoff", 13240, func(clock.Millis) { l.Served() }, 1},
		{"minimum backoff after the probe", 14230, nil, 0},
		{"fifth probe", 14250, nil, 1},
	}
	for _, s := range steps {
		if s.do != nil {
			s.do(s.at)
		}
		if got := l.Slots(s.at); got != s.want {
			t.Errorf("%s: got %d slots, want %d", s.name, got, s.want)
		}
	}
}

func TestLimitStaysWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(1, 50).Draw(t, "share")
		l, now := NewLimiter(0, share), clock.Millis(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 3000).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "refused") {
				l.Refused(now)
			}
			if got := l.Slots(now); got < 0 || got > share {
				t.Fatalf("got %d slots, want 0 to %d", got, share)
			}
		}
		if got := l.Slots(now + 60*clock.Second); got != share {
			t.Fatalf("got %d slots a minute later, want the share %d", got, share)
		}
	})
}

func BenchmarkShare(b *testing.B) {
	all := demands([]int{40, 0, 13, 7, 7, 90, 1, 22})
	b.ReportAllocs()
	for b.Loop() {
		Share(100, "d3", all, 2)
	}
}
