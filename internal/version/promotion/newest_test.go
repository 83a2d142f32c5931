package promotion

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// at is a member that reports a position.
func at(id group.TargetID, term position.Term, p position.Position) Member {
	return Member{ID: id, StartedAt: 1, Answered: 1, Received: position.Point{Term: term, Position: p}}
}

// unreported is a registered member that does not report its position.
func unreported(id group.TargetID) Member {
	return Member{ID: id, StartedAt: 1, Draining: true, Unreported: true, FailingSince: 1}
}

func asLeader(m Member) Member {
	m.Leader = true
	return m
}

func held(term position.Term, ids ...group.TargetID) NewestTerm {
	n := NewestTerm{Term: term}
	for _, id := range ids {
		n.Holders = append(n.Holders, Holder{ID: id, StartedAt: 1})
	}
	return n
}

// Guards against the promotion of a target of an earlier term by a daemon that has not seen the newest one, which loses its commits, and
// against a group that gets no primary again after the targets of the newest term are lost.
func TestChooseSuccessor(t *testing.T) {
	restarted := at("r", 0, 0)
	restarted.StartedAt = 2
	draining := at("r", 2, 4)
	draining.Draining = true
	tests := []struct {
		name      string
		members   []Member
		known     NewestTerm
		unsettled Unsettled
		// want is the target to promote, with "earlier " before it if it is of an earlier term, or "none".
		want string
		// waiting are the targets that prevent a promotion.
		waiting []group.TargetID
	}{
		{"first term, never recorded", []Member{asLeader(unreported("p")), at("q", 1, 3), at("r", 1, 5)}, NewestTerm{}, Unsettled{}, "r", nil},
		{"newest term known and held", []Member{asLeader(unreported("p")), at("q", 1, 9), at("r", 2, 1)}, held(2, "p"), Unsettled{}, "r", nil},
		{"holder is registered and silent", []Member{asLeader(unreported("r")), at("p", 1, 5), at("q", 1, 4)}, held(2, "r"), Unsettled{}, "none", []group.TargetID{"r"}},
		{"holder is registered and not the known primary", []Member{unreported("r"), at("p", 1, 5), at("q", 1, 4)}, held(2, "r"), Unsettled{}, "none", []group.TargetID{"r"}},
		{"holder is registered and draining", []Member{draining, at("p", 1, 5)}, held(2, "r"), Unsettled{}, "none", []group.TargetID{"r"}},
		{"holder is lost, a silent replica may have received its log", []Member{unreported("q"), at("p", 1, 5)}, held(2, "r"), Unsettled{}, "none", []group.TargetID{"q"}},
		{"holder is lost, no other may hold its log", []Member{at("p", 1, 5), at("q", 1, 4)}, held(2, "r"), Unsettled{}, "earlier p", nil},
		{"holder has restarted without its log", []Member{restarted, at("p", 1, 5)}, held(2, "r"), Unsettled{}, "earlier p", nil},
		{"a target reports a newer term than the record", []Member{at("r", 3, 1), at("p", 1, 5)}, held(2, "q"), Unsettled{}, "r", nil},
		{"no target is registered", nil, held(2, "r"), Unsettled{}, "none", nil},
		{"target of an unanswered promotion is silent", []Member{unreported("r"), at("q", 1, 5)}, held(1, "p"), Unsettled{Targets: held(0, "r").Holders}, "none", []group.TargetID{"r"}},
		{"target of an unanswered promotion leads by its entry and is silent", []Member{asLeader(unreported("r")), at("q", 1, 5)}, held(1, "p"), Unsettled{Targets: held(0, "r").Holders}, "none", []group.TargetID{"r"}},
		{"target of an unanswered promotion reports that it was not promoted", []Member{at("r", 1, 3), at("q", 1, 5)}, held(1, "p"), Unsettled{Targets: held(0, "r").Holders}, "q", nil},
		{"target of an unanswered promotion is not registered", []Member{at("q", 1, 5)}, held(1, "p"), Unsettled{Targets: held(0, "r").Holders}, "earlier q", nil},
		{"another target is silent than that of an unanswered promotion", []Member{unreported("p"), at("r", 1, 3), at("q", 1, 5)}, held(1, "p"), Unsettled{Targets: held(0, "r").Holders}, "q", nil},
		{"target of an unanswered promotion is unknown, a replica is silent", []Member{asLeader(unreported("p")), unreported("r"), at("q", 1, 5)}, held(1, "p"), Unsettled{Unknown: true}, "none", []group.TargetID{"r"}},
		{"target of an unanswered promotion is unknown, all replicas report", []Member{asLeader(unreported("p")), at("r", 1, 3), at("q", 1, 5)}, held(1, "p"), Unsettled{Unknown: true}, "q", nil},
	}
	for _, tt := range tests {
		c := ChooseSuccessor(tt.members, tt.known, tt.unsettled)
		got := "none"
		if c.Index >= 0 {
			got = string(tt.members[c.Index].ID)
		}
		if c.Earlier {
			got = "earlier " + got
		}
		var waiting []group.TargetID
		for _, h := range c.Waiting {
			waiting = append(waiting, h.ID)
		}
		if got != tt.want || !reflect.DeepEqual(waiting, tt.waiting) {
			t.Errorf("%s: got %s, waiting for %v, want %s, waiting for %v", tt.name, got, waiting, tt.want, tt.waiting)
		}
	}
}

func TestNewestTermMerge(t *testing.T) {
	tests := []struct {
		a, b, want NewestTerm
	}{
		{NewestTerm{}, NewestTerm{}, NewestTerm{}},
		{held(1, "p"), held(2, "r"), held(2, "r")},
		{held(2, "r"), held(2, "q"), held(2, "q", "r")},
		{held(2, "r"), held(2, "r"), held(2, "r")},
		{held(2), held(1, "p"), held(2)},
	}
	for _, tt := range tests {
		for _, got := range []NewestTerm{tt.a.Merge(tt.b), tt.b.Merge(tt.a)} {
			if !got.Equal(tt.want) {
				t.Errorf("%v and %v: got %v, want %v", tt.a, tt.b, got, tt.want)
			}
		}
	}
}

// Guards against a promotion of a target of an earlier term while the targets of the newest one are only away for a while.
func TestAbsence(t *testing.T) {
	earlier := func(term position.Term) Choice { return Choice{Earlier: true, Newest: NewestTerm{Term: term}} }
	type step struct {
		choice          Choice
		now, storeSince clock.Millis
		want            clock.Millis
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"without a gap", []step{{earlier(2), 1000, 1, 0}, {earlier(2), 5000, 1, 4000}, {earlier(2), 11_000, 1, 10_000}}},
		{"a holder is registered in between", []step{{earlier(2), 1000, 1, 0}, {Choice{}, 5000, 1, 0}, {earlier(2), 6000, 1, 0}, {earlier(2), 7000, 1, 1000}}},
		{"a newer term turns up", []step{{earlier(2), 1000, 1, 0}, {earlier(3), 5000, 1, 0}, {earlier(3), 6000, 1, 1000}}},
		{"the store was away in between", []step{{earlier(2), 1000, 1, 0}, {earlier(2), 9000, 8000, 1000}, {earlier(2), 20_000, 8000, 12_000}}},
		{"the store is away", []step{{earlier(2), 1000, 1, 0}, {earlier(2), 9000, 0, 0}, {earlier(2), 10_000, 9500, 0}}},
	}
	for _, tt := range tests {
		var a Absence
		for i := range tt.steps {
			s := &tt.steps[i]
			if got := a.Observe(&s.choice, s.now, s.storeSince); got != s.want {
				t.Errorf("%s: got %d ms at %d, want %d", tt.name, got, s.now, s.want)
			}
		}
	}
}

// Guards against a restored store that no daemon, or each of a large fleet, writes the newest terms to.
func TestRecorderDelay(t *testing.T) {
	for _, n := range []int{1, 7, 300} {
		var daemons []group.DaemonID
		for i := range n {
			daemons = append(daemons, group.DaemonID(fmt.Sprint("front-", i)))
		}
		for g := range 20 {
			recorders, first := 0, 0
			for _, d := range daemons {
				delay, ok := RecorderDelay(d, group.ID(fmt.Sprint("g-", g)), daemons)
				if !ok {
					continue
				}
				recorders++
				if delay == 0 {
					first++
				}
				if delay > 500 {
					t.Errorf("%d daemons: got a delay of %d ms, want at most 500", n, delay)
				}
			}
			// Two daemons may have the same hash.
			if want := min(n, maxRecorders); recorders < want || recorders > want+2 || first == 0 || first > 2 {
				t.Errorf("%d daemons: got %d that write, %d of them first, want about %d and 1", n, recorders, first, want)
			}
		}
	}
}
