package group

import (
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// stall tells since when a leader that answers could have no write confirmed by a majority.
type stall struct {
	since  clock.Millis
	moved  clock.Millis
	held   position.Position
	cutOff bool
}

// watchStreams finds a leader that callers reach but its replicas do not.
func (m *Machine) watchStreams() {
	if !m.leads() {
		m.stall = stall{since: m.now, moved: m.now}
		return
	}
	if m.outgrown() {
		return // the streams ended by order, which tells nothing of the leader
	}
	if m.streams() >= m.rec.Majority() {
		m.stall.since = m.now
	}
	held := m.held()
	ahead := m.members[m.leader.id].status.Received.Position > held
	if held > m.stall.held || !ahead {
		m.stall.moved = m.now
	}
	m.stall.held = held
	lost := m.now-m.stall.since >= m.s.CutOffAfter
	stuck := m.now-m.stall.moved >= m.s.StallAfter
	m.stall.cutOff = (lost || stuck) && m.replicasUp() >= m.rec.Majority()
}

// streams counts the leader and the targets that its log streams to.
func (m *Machine) streams() int {
	n := 1
	for id, t := range m.members {
		if id != m.leader.id && t.up() && t.status.Following == m.leader.id {
			n++
		}
	}
	return n
}

// held is the highest position of the leader's term that a majority is known to hold.
func (m *Machine) held() position.Position {
	var held []position.Position
	for _, t := range m.members {
		p := position.Position(0)
		if t.status.Received.Term == m.leader.term {
			p = t.status.Received.Position
		}
		held = append(held, p)
	}
	slices.Sort(held)
	return held[len(held)-m.rec.Majority()]
}

// othersUp counts the targets that answer, but for the leader.
func (m *Machine) othersUp() int {
	n := 0
	for id, t := range m.members {
		if id != m.leader.id && t.up() {
			n++
		}
	}
	return n
}

// replicasUp counts the targets that answer and are not primary of any term.
func (m *Machine) replicasUp() int {
	n := 0
	for id, t := range m.members {
		if id != m.leader.id && t.up() && !t.status.Primary {
			n++
		}
	}
	return n
}
