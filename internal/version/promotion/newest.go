package promotion

import (
	"slices"

	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

// NewestTerm is the newest term that a group is known to have had, and the targets known to hold log of it.
//
// It handles daemons that have not seen that term themselves, as they have just started, were cut off or only forward sessions. Without
// it, such a daemon has a target of an earlier term promoted, which discards the commits of the newest one.
type NewestTerm struct {
	Term    position.Term `json:"term,omitempty"`
	Holders []Holder      `json:"term-holders,omitempty"`
}

// Merge returns what both say together: the newer term, or the holders of both if they name the same one.
func (n NewestTerm) Merge(o NewestTerm) NewestTerm {
	if n.Term < o.Term {
		n, o = o, n
	}
	merged := NewestTerm{Term: n.Term, Holders: slices.Clone(n.Holders)}
	if n.Term == o.Term {
		for _, h := range o.Holders {
			merged.Holders = addHolder(merged.Holders, h)
		}
	}
	slices.SortFunc(merged.Holders, compareHolders)
	return merged
}

// Equal reports whether both name the same term and holders.
func (n NewestTerm) Equal(o NewestTerm) bool {
	return n.Term == o.Term && slices.Equal(n.Holders, o.Holders)
}

// Unsettled describes promotions that were requested and got no answer. They may have been executed, or may still be.
type Unsettled struct {
	// Targets are the targets that such a promotion may concern.
	Targets []Holder
	// Unknown is true if it may concern others, too.
	Unknown bool
}

// mayConcern reports whether one of the promotions may have made the member the primary.
func (u *Unsettled) mayConcern(m *Member) bool {
	// A promotion without the cooperation of the primary does not concern the primary.
	return u.Unknown && !m.Leader || slices.ContainsFunc(u.Targets, m.holder().Matches)
}

// absent returns the targets that the promotions may concern and that are not registered.
func (u *Unsettled) absent(members []Member) []Holder {
	var list []Holder
	for _, h := range u.Targets {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.holder().Matches(h) }) {
			list = append(list, h)
		}
	}
	return list
}

// Choice is the outcome of ChooseSuccessor.
type Choice struct {
	// Index is that of the target to promote; -1 if there is none.
	Index int
	// Newest is the newest term that the group may have had, with its holders.
	Newest NewestTerm
	// Earlier is true if the target to promote is, or may be, of an earlier term than the newest one.
	Earlier bool
	// Lost are the targets whose commits are lost with the promotion, if Earlier is true.
	Lost []Holder
	// Waiting are registered targets that may hold the newest term and prevent a promotion.
	Waiting []Holder
}

// ChooseSuccessor returns the target to promote without the cooperation of the primary. The members are all targets that are registered.
//
// A target of an earlier term than the newest one is chosen only if no registered target may hold the newest term: each has reported its
// position, and none reports that term. A registered target that does not report may have received log of it since the record was
// written, so that it counts as a holder. The target of an unsettled promotion counts as one as well, since it may have led a newer term.
// The caller has to wait until the holders are lost for good, see Absence.
func ChooseSuccessor(members []Member, known NewestTerm, unsettled Unsettled) Choice {
	c := Choice{Index: -1, Newest: known}
	for i := range members {
		if m := &members[i]; !m.Unreported {
			c.Newest = c.Newest.Merge(NewestTerm{Term: m.Received.Term, Holders: []Holder{m.holder()}})
		}
	}
	for i := range members {
		if m := &members[i]; m.Unreported && unsettled.mayConcern(m) {
			c.Waiting = append(c.Waiting, m.holder())
		}
	}
	if len(c.Waiting) > 0 {
		return c
	}
	if c.Index = BestCandidate(members, c.Newest.Term); c.Index >= 0 {
		c.Lost = unsettled.absent(members)
		c.Earlier = len(c.Lost) > 0
		return c
	}
	for i := range members {
		if m := &members[i]; m.Unreported || m.Received.Term >= c.Newest.Term {
			c.Waiting = append(c.Waiting, m.holder())
		}
	}
	if len(c.Waiting) > 0 {
		return c
	}
	c.Index = BestCandidate(members, 0)
	c.Earlier = c.Index >= 0
	if c.Earlier {
		c.Lost = append(unsettled.absent(members), c.Newest.Holders...)
	}
	return c
}

// Absence measures for how long a group has had no registered target that may hold its newest term. The zero value is ready for use.
type Absence struct {
	term  position.Term
	since clock.Millis
}

// Observe records a choice made at now and returns for how long, without a gap, all choices have been of an earlier term.
// Times before storeSince, from which on this daemon reaches the store, do not count: entries that lapse in an outage come back behind it.
func (a *Absence) Observe(c *Choice, now, storeSince clock.Millis) clock.Millis {
	if !c.Earlier || storeSince == 0 {
		*a = Absence{}
		return 0
	}
	if a.since == 0 || a.term != c.Newest.Term {
		*a = Absence{term: c.Newest.Term, since: now}
	}
	return now - max(a.since, storeSince)
}

// maxRecorders is how many daemons write back a record that a restore of the store has lost. It covers several that have failed
// themselves, and bounds the calls to a store that has just returned.
const maxRecorders = 8

// RecorderDelay returns how long after a restore of the store a daemon checks the record of a group, in milliseconds, and false if it
// leaves that to others. The daemons are ordered by a hash, so that one of them writes and the others only read.
func RecorderDelay(d group.DaemonID, g group.ID, daemons []group.DaemonID) (clock.Millis, bool) {
	own, rank := ActionDelay(d, g, len(daemons)), 0
	for _, o := range daemons {
		if o != d && ActionDelay(o, g, len(daemons)) < own {
			rank++
		}
	}
	return clock.Millis(rank) * delayPerDaemon, rank < maxRecorders
}
