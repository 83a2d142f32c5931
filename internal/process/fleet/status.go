package fleet

import (
	"cmp"
	"slices"

	"github.com/cactusfork/cactusfork/internal/process/entry"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Status is the merged status of several daemons.
type Status struct {
	Daemons []Daemon `json:"daemons"`
	Groups  []Group  `json:"groups"`
	Objects []Object `json:"objects"`
	// Silent lists the addresses whose request failed.
	Silent []Silent `json:"silent"`
	// WithoutStatus lists live peers of the daemons that replied which have sent no status themselves.
	WithoutStatus []group.DaemonID `json:"unasked"`
}

// Daemon is one daemon that replied.
type Daemon struct {
	ID         group.DaemonID   `json:"id"`
	Address    string           `json:"address"`
	DataCentre group.DataCentre `json:"data-centre"`
	Ready      bool             `json:"ready"`
	Callers    int              `json:"callers"`
	Peers      []group.DaemonID `json:"peers"`
}

// Group is the merged state of one group. Term and Primary come from the highest term that any daemon knows.
type Group struct {
	ID       group.ID       `json:"id"`
	Term     position.Term  `json:"term"`
	Primary  group.TargetID `json:"primary"`
	Changing bool           `json:"changing"`
	// Behind lists the daemons that know only a lower term.
	Behind  []group.DaemonID `json:"behind"`
	Targets []Target         `json:"targets"`
}

// Target is the merged state of one target. Role, Received and Applied come from the daemon with the most recent reply of the target;
// Busy, Waiting and Connections are sums over the daemons.
type Target struct {
	ID         group.TargetID   `json:"id"`
	DataCentre group.DataCentre `json:"data-centre"`
	Role       string           `json:"role"`
	// DownAt lists the daemons that consider the target down.
	DownAt   []group.DaemonID `json:"down-at"`
	Leaving  bool             `json:"leaving"`
	Received position.Point   `json:"received"`
	Applied  position.Point   `json:"applied"`
	ReplyAge clock.Millis     `json:"answer-age-ms"`
	// LagBytes is the distance in bytes from Applied to the highest received point of the group, or -1 if that point belongs to another
	// term.
	LagBytes    int64   `json:"lag-bytes"`
	Shares      []Share `json:"shares"`
	Busy        int     `json:"busy"`
	Waiting     int     `json:"waiting"`
	Connections int     `json:"connections"`
}

// Share is the number of slots of a target that one daemon may use.
type Share struct {
	Daemon group.DaemonID `json:"daemon"`
	Slots  int            `json:"slots"`
}

// Object is a published object with its highest version in force and the daemons that have another or none.
type Object struct {
	Key     string           `json:"key"`
	Version uint64           `json:"version"` // the highest
	Behind  []group.DaemonID `json:"behind"`
}

// Silent is an address whose request failed.
type Silent struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// Merge combines the responses of several daemons into one status.
func Merge(responses []Response) *Status {
	s := &Status{Daemons: []Daemon{}, Groups: []Group{}, Objects: []Object{}, Silent: []Silent{}}
	var statuses []*entry.Status
	var responded []group.DaemonID
	for _, r := range responses {
		if r.Err != nil {
			s.Silent = append(s.Silent, Silent{Address: r.Address, Error: r.Err.Error()})
			continue
		}
		statuses = append(statuses, r.Status)
		responded = append(responded, r.Status.Daemon)
		s.Daemons = append(s.Daemons, daemonOf(r))
	}
	s.WithoutStatus = withoutResponse(responses, responded)
	for _, d := range statuses {
		for i := range d.Groups {
			s.mergeGroup(d.Daemon, &d.Groups[i])
		}
		for _, o := range d.Objects {
			s.mergeObject(o)
		}
	}
	for i := range s.Groups {
		s.Groups[i].finish(statuses)
	}
	for i := range s.Objects {
		s.Objects[i].finish(statuses)
	}
	s.sort()
	return s
}

func daemonOf(r Response) Daemon {
	d := Daemon{
		ID:         r.Status.Daemon,
		Address:    r.Address,
		DataCentre: r.Status.DataCentre,
		Ready:      r.Status.Ready,
		Callers:    r.Status.Callers,
		Peers:      []group.DaemonID{},
	}
	for _, p := range r.Status.Peers {
		d.Peers = append(d.Peers, p.ID)
	}
	return d
}

func (s *Status) sort() {
	slices.SortFunc(s.Daemons, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Groups, func(a, b Group) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Objects, func(a, b Object) int { return cmp.Compare(a.Key, b.Key) })
}

// mergeGroup merges the state of a group as seen by daemon d.
func (s *Status) mergeGroup(d group.DaemonID, from *entry.GroupStatus) {
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
		g.mergeTarget(d, &from.Targets[i])
	}
}

// mergeTarget merges the state of a target as seen by daemon d.
func (g *Group) mergeTarget(d group.DaemonID, from *entry.TargetStatus) {
	i := slices.IndexFunc(g.Targets, func(t Target) bool { return t.ID == from.ID })
	if i < 0 {
		g.Targets = append(g.Targets, Target{ID: from.ID, DataCentre: from.DataCentre, ReplyAge: from.ReplyAge + 1})
		i = len(g.Targets) - 1
	}
	t := &g.Targets[i]
	if from.ReplyAge < t.ReplyAge {
		t.ReplyAge = from.ReplyAge
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

// finish sets Behind and LagBytes, which depend on the statuses of all daemons.
func (g *Group) finish(statuses []*entry.Status) {
	for _, d := range statuses {
		for i := range d.Groups {
			if d.Groups[i].ID == g.ID && d.Groups[i].Term < g.Term {
				g.Behind = append(g.Behind, d.Daemon)
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

// mergeObject raises the version of an object to that of o.
func (s *Status) mergeObject(o entry.ObjectStatus) {
	i := slices.IndexFunc(s.Objects, func(k Object) bool { return k.Key == o.Key })
	if i < 0 {
		s.Objects = append(s.Objects, Object{Key: o.Key, Version: o.Version})
		return
	}
	s.Objects[i].Version = max(s.Objects[i].Version, o.Version)
}

// finish sets Behind, which depends on the statuses of all daemons.
func (o *Object) finish(statuses []*entry.Status) {
	for _, d := range statuses {
		upToDate := slices.ContainsFunc(d.Objects, func(k entry.ObjectStatus) bool { return k.Key == o.Key && k.Version == o.Version })
		if !upToDate {
			o.Behind = append(o.Behind, d.Daemon)
		}
	}
}
