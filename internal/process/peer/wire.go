package peer

import (
	"github.com/cactusfork/cactusfork/internal/process/peer/peerv1"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// maxNameBytes is the length limit of an id, address or data centre received from a peer, in bytes.
	maxNameBytes = 255
	// maxIncarnation is the limit of an incarnation received from a peer. It leaves room for higher incarnations that refute it.
	maxIncarnation = 1 << 62
	// maxMemberDemands is the largest number of demands of one member.
	maxMemberDemands = 2048
	// maxHeartbeatDemands is the largest number of demands that a heartbeat carries for its members.
	maxHeartbeatDemands = 16384
)

func memberOut(now clock.Millis, e *Entry) *peerv1.Member {
	m := &peerv1.Member{
		Id:             string(e.ID),
		Address:        e.Address,
		DataCentre:     string(e.DataCentre),
		Incarnation:    uint64(e.Incarnation),
		State:          peerv1.State(e.State),
		DemandSequence: uint64(e.Sequence),
		AdminAddress:   e.AdminAddress,
	}
	if !e.live() {
		m.AgeMs = int64(now - e.Since)
	}
	for _, d := range e.Demand {
		m.Demand = append(m.Demand, &peerv1.Demand{
			Group:      string(d.Group),
			Target:     string(d.Target),
			Statements: uint32(d.Statements),
		})
	}
	return m
}

func membersOut(now clock.Millis, es []Entry) []*peerv1.Member {
	out := make([]*peerv1.Member, 0, len(es))
	for i := range es {
		out = append(out, memberOut(now, &es[i]))
	}
	return out
}

// memberIn converts a member that a peer sent into an entry. It returns false if the member is invalid.
func memberIn(now clock.Millis, m *peerv1.Member) (Entry, bool) {
	if !validMember(m) {
		return Entry{}, false
	}
	e := Entry{
		Member: Member{
			ID:           group.DaemonID(m.GetId()),
			Address:      m.GetAddress(),
			AdminAddress: m.GetAdminAddress(),
			DataCentre:   group.DataCentre(m.GetDataCentre()),
			Incarnation:  Incarnation(m.GetIncarnation()),
		},
		State:    State(m.GetState()),
		Since:    now - clock.Millis(max(0, m.GetAgeMs())),
		Sequence: Sequence(m.GetDemandSequence()),
	}
	for _, d := range m.GetDemand() {
		e.Demand = append(e.Demand, Demand{
			Group:      group.ID(d.GetGroup()),
			Target:     group.TargetID(d.GetTarget()),
			Statements: int(d.GetStatements()),
		})
	}
	return e, true
}

// validMember reports whether a member that a peer sent is within the limits.
func validMember(m *peerv1.Member) bool {
	switch {
	case m.GetId() == "" || len(m.GetId()) > maxNameBytes:
		return false
	case m.GetAddress() == "" || len(m.GetAddress()) > maxNameBytes:
		return false
	case len(m.GetDataCentre()) > maxNameBytes, len(m.GetAdminAddress()) > maxNameBytes:
		return false
	case m.GetState() < peerv1.State_STATE_ALIVE || m.GetState() > peerv1.State_STATE_LEFT:
		return false
	case m.GetIncarnation() >= maxIncarnation:
		return false
	}
	return len(m.GetDemand()) <= maxMemberDemands
}

// membersIn converts the members that a peer sent and drops the invalid ones.
func membersIn(now clock.Millis, ms []*peerv1.Member) []Entry {
	var out []Entry
	for _, m := range ms {
		if e, ok := memberIn(now, m); ok {
			out = append(out, e)
		}
	}
	return out
}

// heartbeatIn converts a heartbeat that a peer sent; the times of its entries refer to the local clock. It returns false if the sender's
// own entry is invalid.
func heartbeatIn(now clock.Millis, h *peerv1.Heartbeat) (Heartbeat, bool) {
	self, ok := memberIn(now, h.GetSelf())
	return Heartbeat{
		Now:     now,
		Self:    self,
		Members: membersIn(now, h.GetMembers()),
		Pulses:  pulsesIn(h.GetPulses()),
		Hash:    h.GetMembersHash(),
	}, ok
}

func pulsesOut(ps []Pulse) []*peerv1.Pulse {
	var out []*peerv1.Pulse
	for _, p := range ps {
		out = append(out, &peerv1.Pulse{DataCentre: string(p.DataCentre), Count: p.Count})
	}
	return out
}

func pulsesIn(ps []*peerv1.Pulse) []Pulse {
	var out []Pulse
	for _, p := range ps {
		if len(p.GetDataCentre()) <= maxNameBytes {
			out = append(out, Pulse{DataCentre: group.DataCentre(p.GetDataCentre()), Count: p.GetCount()})
		}
	}
	return out
}

func heldOut(held []KeyVersion) []*peerv1.KeyVersion {
	var out []*peerv1.KeyVersion
	for _, h := range held {
		out = append(out, &peerv1.KeyVersion{Key: string(h.Key), Version: uint64(h.Version)})
	}
	return out
}

func heldIn(held []*peerv1.KeyVersion) []KeyVersion {
	var out []KeyVersion
	for _, h := range held {
		out = append(out, KeyVersion{Key: platform.Key(h.GetKey()), Version: platform.Version(h.GetVersion())})
	}
	return out
}

func objectsIn(objects []*peerv1.Object) []platform.Object {
	var out []platform.Object
	for _, o := range objects {
		if o.GetKey() == "" || o.GetVersion() == 0 {
			continue
		}
		out = append(out, platform.Object{
			Key:     platform.Key(o.GetKey()),
			Version: platform.Version(o.GetVersion()),
			Value:   o.GetValue(),
		})
	}
	return out
}

// objectsOut converts as many objects as fit into maxObjectBytes bytes, at least one, and reports whether some were left out.
func objectsOut(objects []platform.Object) ([]*peerv1.Object, bool) {
	var out []*peerv1.Object
	size := 0
	for _, o := range objects {
		size += len(o.Key) + len(o.Value)
		if size > maxObjectBytes && len(out) > 0 {
			return out, true
		}
		out = append(out, &peerv1.Object{Key: string(o.Key), Version: uint64(o.Version), Value: o.Value})
	}
	return out, false
}
