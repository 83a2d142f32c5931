package group

import (
	"slices"

	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// phase is the current step of a change.
type phase int

const (
	fencing phase = iota + 1
	recording
	promoting
)

// change is a change of primary that this daemon carries out; it promotes at most one target.
type change struct {
	term   position.Term
	phase  phase
	since  clock.Millis
	orders map[TargetID]*sentOrder
	fenced map[TargetID]Status
	// rejectedBy holds the targets that have promised this term to another holder.
	rejectedBy map[TargetID]bool
	// majorityFencedAt is when enough targets were fenced to choose one; 0 before.
	majorityFencedAt clock.Millis
	// avoid is the current primary if it must not be chosen again, and empty otherwise.
	avoid  TargetID
	chosen Target
	// awaitingRead is true after a conflicting or unanswered update, until the record has been read again.
	awaitingRead bool
}

type sentOrder struct {
	sentAt  clock.Millis
	pending bool
}

func (m *Machine) startChange(c cause) {
	term := max(m.highestPromise(), m.rec.Term, m.primary.term, m.startedTerm) + 1
	m.startedTerm = term
	m.change = &change{
		term:       term,
		phase:      fencing,
		since:      m.now,
		orders:     map[TargetID]*sentOrder{},
		fenced:     map[TargetID]Status{},
		rejectedBy: map[TargetID]bool{},
		avoid:      m.primaryToAvoid(),
	}
	m.report(ReportStarted, m.primary.id, term, string(c))
	m.continueChange()
}

// primaryToAvoid returns a primary that should be replaced although it may still answer, or "" if it may stay or too few replicas can take over.
func (m *Machine) primaryToAvoid() TargetID {
	t := m.members[m.primary.id]
	if t == nil || m.replicasUp() < m.rec.Majority() {
		return ""
	}
	if m.stall.cutOff || t.leaving || t.confirmed {
		return m.primary.id
	}
	return ""
}

// continueChange advances the change in progress as far as the known state allows.
func (m *Machine) continueChange() {
	if m.change == nil || m.endIfSuperseded() {
		return
	}
	switch m.change.phase {
	case fencing:
		m.fence()
	case recording:
		m.awaitRecord()
	case promoting:
		m.promote()
	}
}

// endIfSuperseded ends the change as promoted if a primary of its term is known.
// It abandons the change if a higher term has a primary, or if the record of its term names another primary.
// It reports whether the change has ended.
func (m *Machine) endIfSuperseded() bool {
	c := m.change
	switch {
	case m.primary.observed && m.primary.term == c.term:
		m.promotedTerm = c.term
		m.report(ReportPromoted, m.primary.id, c.term, "")
		m.change = nil
	case m.primary.term > c.term:
		m.abandon("a higher term is known")
	case m.rec.Term == c.term && !c.owns(m.rec):
		m.abandon("the record names another primary of this term")
	}
	return m.change == nil
}

// owns reports whether rec is the record written by this change.
func (c *change) owns(rec Record) bool {
	return c.phase > fencing && rec.Term == c.term && rec.Primary == c.chosen.ID
}

// enterPhase starts the next phase and forgets the orders sent in the last one.
func (m *Machine) enterPhase(p phase) {
	m.change.phase = p
	m.change.since = m.now
	m.change.orders = map[TargetID]*sentOrder{}
}

// abandon ends the change without a result; the delay before the next attempt doubles each time, up to BackoffMax, with jitter.
func (m *Machine) abandon(reason string) {
	m.report(ReportAbandoned, m.change.chosen.ID, m.change.term, reason)
	m.change = nil
	delay := m.settings.BackoffMin << min(m.trigger.attempts, 16)
	delay = min(delay, m.settings.BackoffMax)
	m.trigger.attempts++
	m.trigger.retryAt = m.now + delay/2 + m.jitter(delay)
}

// sendOrder sends an order of the change to a target, unless the last one is too recent.
// An unanswered order is repeated after OrderTimeout, an answered one after ProbeInterval.
func (m *Machine) sendOrder(to TargetID, k OrderKind) {
	c := m.change
	o := c.orders[to]
	if o != nil {
		wait := m.settings.ProbeInterval
		if o.pending {
			wait = m.settings.OrderTimeout
		}
		if m.now-o.sentAt < wait {
			return
		}
	}
	c.orders[to] = &sentOrder{sentAt: m.now, pending: true}
	order := Order{Kind: k, Term: c.term, Holder: m.holder}
	if k == Promote {
		order.Primary = c.chosen
	}
	m.emit(SendOrder{Target: to, Order: order})
}

func (m *Machine) handleOrderResult(e OrderResult) {
	t := m.members[e.Target]
	if t == nil {
		return
	}
	c := m.change
	own := c != nil && e.Order.Term == c.term && e.Order.Holder == m.holder
	if own && c.orders[e.Target] != nil {
		c.orders[e.Target].pending = false
	}
	switch e.Outcome {
	case OrderOK:
		m.addFenced(e.Target, e.Status)
		t.observe(0, e.Status)
		if e.Order.Kind == Follow {
			m.report(ReportFollowed, e.Target, e.Order.Term, string(e.Order.Primary.ID))
		}
	case OrderRejected:
		t.observePromise(e.Promise, e.Holder)
		if own {
			m.handleRejection(e)
		}
	}
}

// handleRejection abandons the change if a target has promised a higher term, or if too many targets have promised this term to another holder.
func (m *Machine) handleRejection(e OrderResult) {
	c := m.change
	if e.Promise > c.term {
		m.abandon("outranked by a higher term")
		return
	}
	if e.Holder == m.holder {
		return
	}
	c.rejectedBy[e.Target] = true
	if m.attainablePromises() < m.rec.Majority() {
		m.abandon("outranked by another holder")
	}
}

// attainablePromises counts the targets that have promised the term to this daemon or may still do so.
func (m *Machine) attainablePromises() int {
	n := 0
	for id, t := range m.members {
		_, fenced := m.change.fenced[id]
		if id != m.change.avoid && (fenced || t.up() && !m.change.rejectedBy[id]) {
			n++
		}
	}
	return n
}

// sameTargets reports whether two records list the same members in the same order.
func sameTargets(a, b Record) bool {
	return slices.EqualFunc(a.Targets, b.Targets, func(x, y Target) bool { return x.ID == y.ID })
}
