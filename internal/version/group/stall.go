package group

import (
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// stall tracks a primary that answers but cannot get writes confirmed by a majority.
type stall struct {
	// majorityAt is when the primary last streamed to a majority.
	majorityAt clock.Millis
	// progressAt is when the majority position last rose or the primary was last not ahead of it.
	progressAt       clock.Millis
	majorityPosition position.Position
	// cutOff is true once the primary should be replaced and enough replicas are up to do so.
	cutOff bool
}

// checkReplication detects a primary that callers can reach but whose replicas do not receive its log.
func (m *Machine) checkReplication() {
	if !m.primaryActive() {
		m.stall = stall{majorityAt: m.now, progressAt: m.now}
		return
	}
	if m.primarySuperseded() {
		return // A fence ended the streams, so their end is no evidence against the primary.
	}
	if m.streamingTargets() >= m.rec.Majority() {
		m.stall.majorityAt = m.now
	}
	majorityPosition := m.majorityPosition()
	ahead := m.members[m.primary.id].status.Received.Position > majorityPosition
	if majorityPosition > m.stall.majorityPosition || !ahead {
		m.stall.progressAt = m.now
	}
	m.stall.majorityPosition = majorityPosition
	noMajority := m.now-m.stall.majorityAt >= m.settings.CutOffAfter
	noProgress := m.now-m.stall.progressAt >= m.settings.StallAfter
	m.stall.cutOff = (noMajority || noProgress) && m.replicasUp() >= m.rec.Majority()
}

// streamingTargets counts the primary and the targets that receive its log stream.
func (m *Machine) streamingTargets() int {
	n := 1
	for id, t := range m.members {
		if id != m.primary.id && t.up() && t.status.Following == m.primary.id {
			n++
		}
	}
	return n
}

// majorityPosition returns the highest position of the primary's term that a majority is known to hold.
func (m *Machine) majorityPosition() position.Position {
	var positions []position.Position
	for _, t := range m.members {
		p := position.Position(0)
		if t.status.Received.Term == m.primary.term {
			p = t.status.Received.Position
		}
		positions = append(positions, p)
	}
	slices.Sort(positions)
	return positions[len(positions)-m.rec.Majority()]
}

// othersUp counts the targets other than the primary that are up.
func (m *Machine) othersUp() int {
	n := 0
	for id, t := range m.members {
		if id != m.primary.id && t.up() {
			n++
		}
	}
	return n
}

// replicasUp counts the targets other than the primary that are up and not primary of any term.
func (m *Machine) replicasUp() int {
	n := 0
	for id, t := range m.members {
		if id != m.primary.id && t.up() && !t.status.Primary {
			n++
		}
	}
	return n
}
