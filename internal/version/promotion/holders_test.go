package promotion

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/position"
)

func TestHoldersThatCannotBeAskedCountForTheQuorum(t *testing.T) {
	p, a, b := Holder{"p", 1}, Holder{"a", 1}, Holder{"b", 1}
	member := func(h Holder) Member { return Member{ID: h.ID, StartedAt: h.StartedAt} }
	leader := member(p)
	leader.Leader = true
	tests := []struct {
		name        string
		members     []Member
		holders     []Holder
		synchronous int
		want        bool
	}{
		{"all replicas answer", []Member{leader, member(a), member(b)}, []Holder{a, b, p}, 1, true},
		{"a replica whose entry has expired may hold more", []Member{leader, member(a)}, []Holder{a, b, p}, 1, false},
		{"the same, known by a daemon that has just started", []Member{member(a)}, []Holder{a, b, p}, 1, false},
		{"two of three are synchronous", []Member{leader, member(a)}, []Holder{a, b, p}, 2, true},
		{"the primary's entry has expired", []Member{member(a), member(b)}, []Holder{a, b, p}, 1, true},
		{"a replica that started again may have lost its log", []Member{leader, member(a), member(Holder{"b", 2})}, []Holder{a, b, p}, 1, false},
		{"a replica of an unknown start", []Member{leader, member(a), member(Holder{"b", 0})}, []Holder{a, b, p}, 1, true},
		{"a replica that is not recorded yet", []Member{leader, member(a), {ID: "b", Draining: true}}, []Holder{a, p}, 1, false},
		{"asynchronous", []Member{leader, member(a)}, []Holder{a, b, p}, 0, true},
	}
	for _, tt := range tests {
		if got := HasCommitQuorum(tt.members, tt.holders, tt.synchronous); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}

func TestUpdateHolders(t *testing.T) {
	p, a, b := Holder{"p", 1}, Holder{"a", 1}, Holder{"b", 1}
	holding := func(h Holder, pos position.Position) Holding {
		return Holding{Holder: h, Primary: h == p, Received: position.Point{Term: 1, Position: pos}}
	}
	always, never := func(Holder) bool { return true }, func(Holder) bool { return false }
	tests := []struct {
		name     string
		recorded []Holder
		present  []Holding
		gone     func(Holder) bool
		want     []Holder
		wantOK   bool
	}{
		{"first record", nil, []Holding{holding(p, 9), holding(a, 9), holding(b, 3)}, never, []Holder{a, b, p}, true},
		{"no first record while no replica is up to date", nil, []Holding{holding(p, 9), holding(a, 8)}, never, nil, false},
		{"a new replica", []Holder{a, p}, []Holding{holding(p, 9), holding(a, 3), holding(b, 3)}, never, []Holder{a, b, p}, true},
		{"a replica that is gone, the other one is up to date", []Holder{a, b, p}, []Holding{holding(p, 9), holding(a, 9)}, always, []Holder{a, p}, true},
		{"a replica that is gone, the other one lags", []Holder{a, b, p}, []Holding{holding(p, 9), holding(a, 8)}, always, []Holder{a, b, p}, true},
		{"a replica that is absent for a short time", []Holder{a, b, p}, []Holding{holding(p, 9), holding(a, 9)}, never, []Holder{a, b, p}, true},
		{"a replica that started again", []Holder{a, b, p}, []Holding{holding(p, 9), holding(a, 9), holding(Holder{"b", 2}, 0)}, always, []Holder{a, {"b", 2}, p}, true},
	}
	for _, tt := range tests {
		got, ok := UpdateHolders(tt.recorded, tt.present, tt.gone, position.Point{Term: 1, Position: 9}, 1)
		if !slices.Equal(got, tt.want) || ok != tt.wantOK {
			t.Errorf("%s: got %v, %t, want %v, %t", tt.name, got, ok, tt.want, tt.wantOK)
		}
	}
}

// modelTarget is one run of a target in the model of a group.
type modelTarget struct {
	holder Holder
	// running is true while it receives and answers, and listed while its entry exists.
	running, listed bool
	received        position.Point
}

// groupModel is a group whose primary acknowledges a commit once enough replicas have received it.
type groupModel struct {
	targets     []*modelTarget
	primary     *modelTarget
	synchronous int
	acked       position.Point
	record      []Holder
	starts      int64
}

func (m *groupModel) add(id int, received position.Point) *modelTarget {
	m.starts++
	target := &modelTarget{holder: Holder{group.TargetID(fmt.Sprint(id)), m.starts}, running: true, listed: true, received: received}
	m.targets = append(m.targets, target)
	return target
}

func (m *groupModel) replicas() []*modelTarget {
	return slices.DeleteFunc(slices.Clone(m.targets), func(r *modelTarget) bool { return r == m.primary || !r.running })
}

// commit lets some of the replicas that receive get a commit of the primary, which counts as acknowledged if they are enough.
func (m *groupModel) commit(t *rapid.T, receives func(*modelTarget) bool) {
	if !m.primary.running {
		return
	}
	m.primary.received.Position++
	n := 0
	for _, r := range m.replicas() {
		if receives(r) && rapid.Bool().Draw(t, "receives") {
			r.received = m.primary.received
			n++
		}
	}
	if n >= m.synchronous {
		m.acked = m.primary.received
	}
}

func (m *groupModel) observe() {
	if !m.primary.running || !m.primary.listed {
		return
	}
	var present []Holding
	for _, r := range m.targets {
		if !r.listed {
			continue
		}
		h := Holding{Holder: r.holder, Primary: r == m.primary}
		if r.running {
			h.Received = r.received
		}
		present = append(present, h)
	}
	gone := func(h Holder) bool { return true } // a target whose entry has gone does not run in this model
	if holders, ok := UpdateHolders(m.record, present, gone, m.primary.received, m.synchronous); ok {
		m.record = holders
	}
}

// elect replaces the primary if the quorum allows it.
func (m *groupModel) elect(t *rapid.T) {
	leaderKnown := m.primary.listed && rapid.Bool().Draw(t, "leader known")
	var members []Member
	var asked []*modelTarget
	for _, r := range m.targets {
		if !r.listed {
			continue
		}
		x := Member{ID: r.holder.ID, StartedAt: r.holder.StartedAt, Received: r.received, Leader: leaderKnown && r == m.primary}
		x.Draining = !r.running || r == m.primary || rapid.IntRange(0, 4).Draw(t, "silent") == 0
		x.MayResume = rapid.IntRange(0, 2).Draw(t, "may resume") == 0
		members, asked = append(members, x), append(asked, r)
	}
	best := BestCandidate(members, 0)
	if best < 0 || !HasCommitQuorum(members, m.record, m.synchronous) || !PreventsCommits(members, m.record, m.synchronous, best) {
		return
	}
	chosen := asked[best]
	// Until the promotion is carried out, replicas that are not paused for sure receive commits.
	paused := make(map[*modelTarget]bool)
	for i := range members {
		paused[asked[i]] = members[i].replies() && !members[i].MayResume
	}
	for range rapid.IntRange(0, 2).Draw(t, "commits during the promotion") {
		m.commit(t, func(r *modelTarget) bool { return !paused[r] })
	}
	if chosen.received.Before(m.acked) {
		t.Fatalf("got a target promoted that holds %v, want the acknowledged %v; record %v, members %+v", chosen.received, m.acked, m.record, members)
	}
	chosen.received.Term++
	m.primary = chosen
	for _, r := range m.replicas() {
		if rapid.Bool().Draw(t, "follows") {
			r.received = chosen.received
		}
	}
}

// Guards against a promotion that loses acknowledged commits since a target that holds them no longer counts.
func TestQuorumCoversAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &groupModel{synchronous: rapid.IntRange(1, 2).Draw(t, "synchronous")}
		first := position.Point{Term: 1, Position: 1}
		for id := range rapid.IntRange(m.synchronous+1, 4).Draw(t, "targets") {
			m.add(id, first)
		}
		m.primary, m.acked = m.targets[0], first
		m.observe()
		any := func() *modelTarget { return m.targets[rapid.IntRange(0, len(m.targets)-1).Draw(t, "target")] }
		t.Repeat(map[string]func(*rapid.T){
			"commit":  func(t *rapid.T) { m.commit(t, func(*modelTarget) bool { return true }) },
			"observe": func(*rapid.T) { m.observe() },
			"elect":   m.elect,
			"stop":    func(*rapid.T) { any().running = false },
			"expire": func(*rapid.T) {
				if r := any(); !r.running && slices.Contains(m.record, r.holder) {
					r.listed = false
				}
			},
			"return": func(t *rapid.T) {
				// It comes back with its log.
				if r := any(); !r.running {
					r.running, r.listed = true, true
				}
			},
			"join": func(t *rapid.T) {
				if len(m.targets) < 12 && m.primary.running {
					m.add(len(m.targets), position.Point{})
				}
			},
			"start again": func(t *rapid.T) {
				if r := any(); r != m.primary && len(m.targets) < 12 && slices.Contains(m.record, r.holder) {
					r.running, r.listed = false, false
					m.add(100, position.Point{}).holder.ID = r.holder.ID
				}
			},
		})
	})
}
