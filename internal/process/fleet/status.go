package fleet

import (
	"cmp"
	"slices"

	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Status is what all asked daemons say together.
type Status struct {
	Daemons []Daemon `json:"daemons"`
	Groups  []Group  `json:"groups"`
	Objects []Object `json:"objects"`
	// Silent are the addresses that gave no answer.
	Silent []Silent `json:"silent"`
	// Unasked are live daemons of which no address was given.
	Unasked []group.DaemonID `json:"unasked"`
}

// Daemon is one daemon that answered.
type Daemon struct {
	ID         group.DaemonID   `json:"id"`
	Address    string           `json:"address"`
	DataCentre group.DataCentre `json:"data-centre"`
	Ready      bool             `json:"ready"`
	Callers    int              `json:"callers"`
	Peers      []group.DaemonID `json:"peers"`
}

// Group is one group; Term and Primary are of the highest term that a daemon knows.
type Group struct {
	ID       group.ID       `json:"id"`
	Term     position.Term  `json:"term"`
	Primary  group.TargetID `json:"primary"`
	Changing bool           `json:"changing"`
	// Behind are daemons that still hold a lower term.
	Behind  []group.DaemonID `json:"behind"`
	Targets []Target         `json:"targets"`
}

// Target is one target; its state is of the daemon with the freshest answer, its load is summed over daemons.
type Target struct {
	ID         group.TargetID   `json:"id"`
	DataCentre group.DataCentre `json:"data-centre"`
	Role       string           `json:"role"`
	// DownAt are the daemons that hold the target to be down.
	DownAt    []group.DaemonID `json:"down-at"`
	Leaving   bool             `json:"leaving"`
	Received  position.Point   `json:"received"`
	Applied   position.Point   `json:"applied"`
	AnswerAge clock.Millis     `json:"answer-age-ms"`
	// LagBytes is how far applied is behind the group's highest received point; -1 when that is of another term.
	LagBytes    int64   `json:"lag-bytes"`
	Shares      []Share `json:"shares"`
	Busy        int     `json:"busy"`
	Waiting     int     `json:"waiting"`
	Connections int     `json:"connections"`
}

// Share is the number of a target's slots that a daemon may use.
type Share struct {
	Daemon group.DaemonID `json:"daemon"`
	Slots  int            `json:"slots"`
}

// Object is a published object with the version that each daemon has in force.
type Object struct {
	Key     string           `json:"key"`
	Version uint64           `json:"version"` // the highest
	Behind  []group.DaemonID `json:"behind"`
}

// Silent is an address without an answer.
type Silent struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// Merge puts the answers of several daemons together.
func Merge(answers []Answer) *Status {
	s := &Status{Daemons: []Daemon{}, Groups: []Group{}, Objects: []Object{}, Silent: []Silent{}}
	var heard []*entry.Status
	var asked []group.DaemonID
	for _, a := range answers {
		if a.Err != nil {
			s.Silent = append(s.Silent, Silent{Address: a.Address, Error: a.Err.Error()})
			continue
		}
		heard = append(heard, a.Status)
		asked = append(asked, a.Status.Daemon)
		s.Daemons = append(s.Daemons, daemonOf(a))
	}
	s.Unasked = unasked(answers, asked)
	for _, h := range heard {
		for i := range h.Groups {
			s.takeGroup(h.Daemon, &h.Groups[i])
		}
		for _, o := range h.Objects {
			s.takeObject(o)
		}
	}
	for i := range s.Groups {
		s.Groups[i].finish(heard)
	}
	for i := range s.Objects {
		s.Objects[i].finish(heard)
	}
	s.sort()
	return s
}

func daemonOf(a Answer) Daemon {
	d := Daemon{
		ID:         a.Status.Daemon,
		Address:    a.Address,
		DataCentre: a.Status.DataCentre,
		Ready:      a.Status.Ready,
		Callers:    a.Status.Callers,
		Peers:      []group.DaemonID{},
	}
	for _, p := range a.Status.Peers {
		d.Peers = append(d.Peers, p.ID)
	}
	return d
}

func (s *Status) sort() {
	slices.SortFunc(s.Daemons, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Groups, func(a, b Group) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Objects, func(a, b Object) int { return cmp.Compare(a.Key, b.Key) })
}

func (s *Status) takeGroup(d group.DaemonID, from *entry.GroupStatus) {
	i := slices.IndexFunc(s.Groups, func(g Group) bool { return g.ID == from.ID })
	if i < 0 {
		s.Groups = append(s.Groups, Group{ID: from.ID})
		i = len(s.Groups) - 1
	}
	g := &s.Groups[i]
	if from.Term >= g.Term {
		g.Term = from.Term
		g.Primary = from.Primary
	}
	g.Changing = g.Changing || from.Changing
	for i := range from.Targets {
		g.takeTarget(d, &from.Targets[i])
	}
}

func (g *Group) takeTarget(d group.DaemonID, from *entry.TargetStatus) {
	i := slices.IndexFunc(g.Targets, func(t Target) bool { return t.ID == from.ID })
	if i < 0 {
		g.Targets = append(g.Targets, Target{ID: from.ID, DataCentre: from.DataCentre, AnswerAge: from.AnswerAge + 1})
		i = len(g.Targets) - 1
	}
	t := &g.Targets[i]
	if from.AnswerAge < t.AnswerAge {
		t.AnswerAge = from.AnswerAge
		t.Role = from.Role
		t.Received = from.Received
		t.Applied = from.Applied
	}
	if from.Down {
		t.DownAt = append(t.DownAt, d)
	}
	t.Leaving = t.Leaving || from.Leaving
	t.Shares = append(t.Shares, Share{Daemon: d, Slots: from.Share})
	t.Busy += from.Busy
	t.Waiting += from.Waiting
	t.Connections += from.Connections
}

// finish sets what depends on all daemons.
func (g *Group) finish(heard []*entry.Status) {
	for _, h := range heard {
		for i := range h.Groups {
			if h.Groups[i].ID == g.ID && h.Groups[i].Term < g.Term {
				g.Behind = append(g.Behind, h.Daemon)
			}
		}
	}
	var end position.Point
	for i := range g.Targets {
		end = position.Max(end, g.Targets[i].Received)
	}
	for i := range g.Targets {
		t := &g.Targets[i]
		t.LagBytes = -1
		if t.Applied.Term == end.Term {
			t.LagBytes = int64(end.Position - t.Applied.Position)
		}
	}
	slices.SortFunc(g.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *Status) takeObject(o entry.ObjectStatus) {
	i := slices.IndexFunc(s.Objects, func(k Object) bool { return k.Key == o.Key })
	if i < 0 {
		s.Objects = append(s.Objects, Object{Key: o.Key, Version: o.Version})
		return
	}
	s.Objects[i].Version = max(s.Objects[i].Version, o.Version)
}

func (o *Object) finish(heard []*entry.Status) {
	for _, h := range heard {
		held := slices.ContainsFunc(h.Objects, func(k entry.ObjectStatus) bool { return k.Key == o.Key && k.Version == o.Version })
		if !held {
			o.Behind = append(o.Behind, h.Daemon)
		}
	}
}
