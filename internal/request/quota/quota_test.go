package quota

import (
	"fmt"
	"math"
	"testing"

	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

func peers(centres, each int) []placement.Peer {
	var list []placement.Peer
	for c := range centres {
		for i := range each {
			id := fmt.Sprintf("d-%d-%d", c, i)
			list = append(list, placement.Peer{ID: group.DaemonID(id), DataCentre: group.DataCentre(fmt.Sprint("c", c)), MirrorAddress: id})
		}
	}
	return list
}

// Guards against daemons that disagree about the issuers of a workspace, and against a part too many.
func TestIssuers(t *testing.T) {
	all := peers(6, 12)
	all = append(all, placement.Peer{ID: "z", DataCentre: "c9"}) // without a mirror address
	load := make(map[group.DaemonID]int)
	for n := range 200 {
		w := workspace.ID(fmt.Sprint("w", n))
		chosen := make(map[group.DataCentre]group.DaemonID)
		for c := range 6 {
			here := group.DataCentre(fmt.Sprint("c", c))
			lists := Issuers(w, all, here)
			if len(lists) != MaxParts {
				t.Fatalf("got %d data centres, want %d", len(lists), MaxParts)
			}
			own := false
			for i, list := range lists {
				dc := list[0].DataCentre
				if chosen[dc] == "" {
					chosen[dc] = list[0].ID
					load[list[0].ID]++
				}
				if chosen[dc] != list[0].ID {
					t.Errorf("%s: got issuers %s and %s of one data centre", w, chosen[dc], list[0].ID)
				}
				own = own || dc == here
				if dc == here && i != 0 {
					t.Errorf("%s: got own data centre at place %d, want it first", w, i)
				}
			}
			if own != (chosen[here] != "") {
				t.Errorf("%s: got own data centre %t in the list, want it if it has a part", w, own)
			}
		}
		if len(chosen) != MaxParts {
			t.Errorf("%s: got issuers in %d data centres, want %d", w, len(chosen), MaxParts)
		}
	}
	if len(load) > 6*slotsPerCentre {
		t.Errorf("got %d issuers, want at most %d a data centre", len(load), slotsPerCentre)
	}
}

// Guards against a daemon that joins and moves a workspace from one daemon that grants to another one at once.
func TestJoiningDaemonDisplacesNoOther(t *testing.T) {
	for n := range 100 {
		w := workspace.ID(fmt.Sprint("w", n))
		before := Issuers(w, peers(2, 12), "c0")[0]
		after := Issuers(w, peers(2, 13), "c0")[0]
		if after[0].ID != before[0].ID && (after[0].ID != "d-0-12" || after[1].ID != before[0].ID) {
			t.Errorf("%s: got %v after %v, want the new daemon or the same one first", w, after, before)
		}
	}
}

func TestIssuerTake(t *testing.T) {
	limit := workspace.Limit{PerSecond: 40, Burst: 40}
	type step struct {
		at   clock.Millis
		ask  Ask
		want Grant
	}
	ask := func(n int) Ask { return Ask{Workspace: "w", Tokens: n, Version: 1, Limit: limit, Parts: 2} }
	changed := func(a Ask, f func(*Ask)) Ask { f(&a); return a }
	tests := []struct {
		name  string
		steps []step
	}{
		{"starts with the start tokens and fills by its part", []step{
			{0, ask(5), Grant{Tokens: 2, RetryAfter: 50}},
			{500, ask(20), Grant{Tokens: 10, RetryAfter: 50}},
		}},
		{"holds its part of the burst at most", []step{
			{0, ask(0), Grant{}}, {500, ask(0), Grant{}}, {1000, ask(0), Grant{}}, {1500, ask(50), Grant{Tokens: 22, RetryAfter: 50}},
		}},
		{"announces different times to those that come back", []step{
			{0, ask(2), Grant{Tokens: 2}},
			{0, ask(1), Grant{RetryAfter: 50}},
			{0, ask(1), Grant{RetryAfter: 100}},
			{10, ask(1), Grant{RetryAfter: 140}},
		}},
		{"starts anew after a window without an ask", []step{
			{0, ask(0), Grant{}}, {500, ask(0), Grant{}}, {1000, ask(0), Grant{}}, {6000, ask(50), Grant{Tokens: 2, RetryAfter: 50}},
		}},
		{"gains little while another issuer may have granted", []step{
			{0, ask(2), Grant{Tokens: 2}}, {3000, ask(50), Grant{Tokens: 2, RetryAfter: 50}},
		}},
		{"uses the newest version, and cuts the level of a lowered limit", []step{
			{0, ask(0), Grant{}},
			{500, ask(0), Grant{}},
			{500, changed(ask(50), func(a *Ask) { a.Version, a.Limit = 2, workspace.Limit{PerSecond: 2, Burst: 2} }), Grant{Tokens: 3, RetryAfter: 1000}},
			{600, ask(50), Grant{RetryAfter: 1400}},
		}},
		{"uses the largest number of parts of a window", []step{
			{0, ask(2), Grant{Tokens: 2}},
			{100, changed(ask(2), func(a *Ask) { a.Parts = 4 }), Grant{Tokens: 2}},
			{500, ask(50), Grant{Tokens: 4, RetryAfter: 100}}, // 10 a second
		}},
		{"grants nothing at a rate of 0", []step{
			{0, changed(ask(1), func(a *Ask) { a.Limit = workspace.Limit{Burst: 10} }), Grant{RetryAfter: DefaultWindow}},
			{900, changed(ask(1), func(a *Ask) { a.Limit = workspace.Limit{Burst: 10} }), Grant{RetryAfter: DefaultWindow}},
		}},
		{"takes no harm from odd numbers", []step{
			{0, changed(ask(-3), func(a *Ask) { a.Limit, a.Parts = workspace.Limit{PerSecond: math.NaN(), Burst: math.Inf(1)}, -1 }), Grant{}},
			{0, changed(ask(1), func(a *Ask) { a.Version, a.Limit = 2, workspace.Limit{PerSecond: math.Inf(1), Burst: math.Inf(1)} }), Grant{RetryAfter: 1}},
			{100, changed(ask(9), func(a *Ask) { a.Version = 2 }), Grant{Tokens: 9}},
		}},
	}
	for _, tt := range tests {
		i := NewIssuer(-ReadyDelay, DefaultWindow, Tolerance{})
		for n, s := range tt.steps {
			s.want.Workspace = "w"
			if got := i.Take(s.at, s.ask); got != s.want {
				t.Errorf("%s, step %d: got %+v, want %+v", tt.name, n, got, s.want)
			}
		}
	}
}

// Guards against a daemon that grants beside the issuer before it.
func TestIssuerIsNotReady(t *testing.T) {
	i := NewIssuer(1000, DefaultWindow, Tolerance{})
	a := Ask{Workspace: "w", Tokens: 1, Limit: workspace.Limit{PerSecond: 10, Burst: 10}, Parts: 1}
	forced := a
	forced.Force = true
	if g := i.Take(2000, a); !g.NotReady || g.Tokens != 0 {
		t.Errorf("got %+v just after the start, want not ready", g)
	}
	if g := i.Take(2000, forced); g.NotReady || g.Tokens != 1 {
		t.Errorf("got %+v by force, want a token", g)
	}
	if g := i.Take(1000+ReadyDelay, a); g.NotReady || g.Tokens != 1 {
		t.Errorf("got %+v after the delay, want a token", g)
	}
	i.Stop()
	if g := i.Take(1100+ReadyDelay, a); !g.NotReady {
		t.Errorf("got %+v of a daemon that stops, want not ready", g)
	}
}

// Guards against memory that grows with the workspaces of all time.
func TestBucketsAreBounded(t *testing.T) {
	i := NewIssuer(-ReadyDelay, DefaultWindow, Tolerance{})
	a := Ask{Tokens: 1, Limit: workspace.Limit{PerSecond: 10, Burst: 10}, Parts: 1}
	for n := range maxBuckets + 10 {
		a.Workspace = workspace.ID(fmt.Sprint(n))
		g := i.Take(0, a)
		if (g.Tokens == 1) != (n < maxBuckets) {
			t.Fatalf("got %+v for bucket %d", g, n)
		}
	}
	if got := len(i.Busiest(100, 200)); got != 200 {
		t.Errorf("got %d lines, want 200", got)
	}
	a.Workspace = "late"
	if g := i.Take(keptWindows*DefaultWindow, a); g.Tokens != 1 || len(i.buckets) != 1 {
		t.Errorf("got %+v and %d buckets after the others were idle, want a token and 1", g, len(i.buckets))
	}
}

// Guards against a token that is used twice, used after its end, or given back for an operation that took an older one.
func TestStockTokens(t *testing.T) {
	s, w := NewStock(), &workspace.Workspace{ID: "w", Limit: workspace.Limit{PerSecond: 10, Burst: 10}}
	target := &Target{Peer: placement.Peer{ID: "a", DataCentre: "c0"}}
	s.Answer(1010, 1000, w, target, 3, Grant{Tokens: 3})
	use := func(now clock.Millis, want bool) {
		t.Helper()
		if got := s.Use(now, w); got != want {
			t.Errorf("at %d: got %t, want %t", now, got, want)
		}
	}
	use(1020, true)
	use(1020, true)
	s.Return(1100, "w", 1020)
	use(1100, true)
	use(1100, true)
	use(1100, false)
	s.Return(1399, "w", 900) // an operation of longer ago than a token is valid
	use(1399, false)
	s.Return(1399, "w", 1100)
	use(1399, true)
	s.Return(1399, "w", 1100)
	use(1400, false)
	s.Answer(2500, 2000, w, target, 1, Grant{Tokens: 1}) // arrives after the end of its tokens
	use(2500, false)
	s.Return(2500, "unknown", 2500)
}

// Guards against an issuer that is asked while it has nothing, is silent, or is not ready; and against a forced grant beside a
// ready issuer.
func TestStockNext(t *testing.T) {
	w := &workspace.Workspace{ID: "w", Limit: workspace.Limit{PerSecond: 10, Burst: 10}}
	issuers := [][]placement.Peer{peers(1, 4), {{ID: "b", DataCentre: "c1", MirrorAddress: "b"}}}
	target := func(s *Stock, now clock.Millis) (string, Target) {
		n, ok := s.Next(now, w, issuers)
		switch {
		case !ok:
			return "none", n
		case n.Force:
			return "force " + string(n.Peer.ID), n
		}
		return string(n.Peer.ID), n
	}
	tests := []struct {
		name string
		// answer is given to each ask until the last.
		answer func(s *Stock, now clock.Millis, n *Target)
		want   []string
	}{
		{"silent", func(s *Stock, now clock.Millis, n *Target) { s.Silent(now, w, n) }, []string{"d-0-0", "d-0-1", "b", "none"}},
		{"exhausted", func(s *Stock, now clock.Millis, n *Target) { s.Answer(now, now, w, n, 1, Grant{RetryAfter: 300}) }, []string{"d-0-0", "b", "none"}},
		{"not ready", func(s *Stock, now clock.Millis, n *Target) {
			s.Answer(now, now, w, n, 1, Grant{NotReady: true, RetryAfter: SilentBackoff})
		}, []string{"d-0-0", "d-0-1", "d-0-2", "d-0-3", "force d-0-0", "force d-0-1", "b", "force b", "none"}},
		{"ready", func(s *Stock, now clock.Millis, n *Target) { s.Answer(now, now, w, n, 1, Grant{Tokens: 1}) }, []string{"d-0-0", "d-0-0"}},
	}
	for _, tt := range tests {
		s := NewStock()
		for i, want := range tt.want {
			got, n := target(s, 1000)
			if got != want {
				t.Errorf("%s, ask %d: got %s, want %s", tt.name, i, got, want)
			}
			tt.answer(s, 1000, &n)
		}
		s.EndRound(1000, w)
		if got, _ := target(s, 1000+SilentBackoff); got != "d-0-0" {
			t.Errorf("%s: got %s later, want the first issuer again", tt.name, got)
		}
	}
	s := NewStock()
	if _, ok := s.RetryAfter(1000, w, issuers); ok {
		t.Error("got a retry time though no issuer answered, want none")
	}
	_, n := target(s, 1000)
	s.Answer(1000, 1000, w, &n, 1, Grant{RetryAfter: 300})
	if got, ok := s.RetryAfter(1100, w, issuers); !ok || got != 200 {
		t.Errorf("got %d, %t, want 200", got, ok)
	}
	raised := *w
	raised.Limit.PerSecond = 100
	if got, _ := s.Next(1100, &raised, issuers); got.Peer.ID != "d-0-0" {
		t.Errorf("got %s after the limit was raised, want the first issuer", got.Peer.ID)
	}
}

// Guards against asks that grow without demand, and against a call for each operation where demand is steady.
func TestStockExpectsDemand(t *testing.T) {
	s, w := NewStock(), &workspace.Workspace{ID: "w"}
	for now := clock.Millis(0); now < 2000; now += 10 { // 100 a second
		s.Record(now, w)
	}
	if got := s.Want(2000, w, 1); got < 18 || got > 22 {
		t.Errorf("got %d, want the operation that waits and those of 200 ms", got)
	}
	if !s.Low(2000, w) {
		t.Error("got an empty stock that is not low")
	}
	if got := s.Want(5000, w, 1); got != 1 {
		t.Errorf("got %d after the demand has ended, want 1", got)
	}
}
