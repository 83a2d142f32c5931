package entry

import (
	"slices"
	"strings"

	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// Status is the state of a daemon as shown to operators.
type Status struct {
	Daemon     group.DaemonID   `json:"daemon"`
	DataCentre group.DataCentre `json:"data-centre"`
	Ready      bool             `json:"ready"`
	Callers    int              `json:"callers"`
	Groups     []GroupStatus    `json:"groups"`
	Objects    []ObjectStatus   `json:"objects"`
	Peers      []PeerStatus     `json:"peers"`
}

// GroupStatus is the state of one group as seen by the daemon.
type GroupStatus struct {
	ID       group.ID       `json:"id"`
	Term     position.Term  `json:"term"`
	Primary  group.TargetID `json:"primary"`
	Changing bool           `json:"changing"`
	Targets  []TargetStatus `json:"targets"`
}

// TargetStatus is the state of one target as seen by the daemon. Share, Busy and Waiting count the daemon's own slots and
// statements.
type TargetStatus struct {
	ID          group.TargetID   `json:"id"`
	DataCentre  group.DataCentre `json:"data-centre"`
	Role        string           `json:"role"`
	Down        bool             `json:"down"`
	Leaving     bool             `json:"leaving"`
	Received    position.Point   `json:"received"`
	Applied     position.Point   `json:"applied"`
	ReplyAge    clock.Millis     `json:"answer-age-ms"`
	Share       int              `json:"share"`
	Busy        int              `json:"busy"`
	Waiting     int              `json:"waiting"`
	Connections int              `json:"connections"`
}

// ObjectStatus is the key and the version of a published object that the daemon holds.
type ObjectStatus struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// PeerStatus describes another daemon that this one considers live.
type PeerStatus struct {
	ID           group.DaemonID   `json:"id"`
	Address      string           `json:"address"`
	AdminAddress string           `json:"admin-address"`
	DataCentre   group.DataCentre `json:"data-centre"`
}

// Status returns the current state of the daemon.
func (d *Daemon) Status() *Status {
	s := &Status{Daemon: d.cfg.ID, DataCentre: d.cfg.DataCentre, Ready: d.Ready(), Callers: d.server.Active()}
	for id, c := range d.loop.Snapshot().Groups {
		s.Groups = append(s.Groups, d.groupStatus(id, c.View()))
	}
	slices.SortFunc(s.Groups, func(a, b GroupStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, h := range d.holder.Snapshot().Digest().Held {
		s.Objects = append(s.Objects, ObjectStatus{Key: string(h.Key), Version: uint64(h.Version)})
	}
	for _, p := range d.mesh.Live() {
		s.Peers = append(s.Peers, PeerStatus{ID: p.ID, Address: p.Address, AdminAddress: p.AdminAddress, DataCentre: p.DataCentre})
	}
	return s
}

func (d *Daemon) groupStatus(id group.ID, v *route.View) GroupStatus {
	g := GroupStatus{ID: id, Term: v.Record.Term, Primary: v.Record.Primary, Changing: v.Changing}
	for i := range v.Targets {
		g.Targets = append(g.Targets, d.targetStatus(&v.Targets[i]))
	}
	return g
}

func (d *Daemon) targetStatus(t *route.TargetView) TargetStatus {
	role := "replica"
	if t.Status.Primary {
		role = "primary"
	}
	l := d.targets.load(t.ID)
	return TargetStatus{
		ID:          t.ID,
		DataCentre:  t.DataCentre,
		Role:        role,
		Down:        t.Down,
		Leaving:     t.Leaving,
		Received:    t.Status.Received,
		Applied:     t.Status.Applied,
		Share:       d.targets.slotGate(&t.Target).slots(),
		ReplyAge:    d.deps.Clock.Now() - t.RequestedAt,
		Busy:        l.Busy,
		Waiting:     l.Waiting,
		Connections: d.targets.connections(t.Address),
	}
}
