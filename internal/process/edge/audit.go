package edge

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// auditDelay is how long a group must lack a primary or a target before the targets' entries are listed again. It is longer than a change of primary takes, and longer than entries that lapsed with an outage of the store take to come back.
	auditDelay = 4 * clock.Second
	// maxAuditDelay bounds the delay between audits. The delay doubles while a group stays incomplete, because a target may be lost for good.
	maxAuditDelay = 64 * clock.Second
)

// auditor decides when the known targets are compared with the store although no change was reported. Without audits, a lost or misread change would stay unnoticed for as long as the daemon runs.
type auditor struct {
	// maxTargets is the largest number of targets known of each group so far.
	maxTargets map[group.ID]int
	// nextAt is when the entries are listed again unless all groups are complete before; 0 while they are complete.
	nextAt clock.Millis
	// delay is the present delay between audits.
	delay clock.Millis
}

// due takes the state of the configured groups and reports whether an audit is due.
func (a *auditor) due(groups []groupSummary, now clock.Millis) bool {
	complete := true
	for _, g := range groups {
		a.maxTargets[g.id] = max(a.maxTargets[g.id], g.targets)
		complete = complete && g.hasPrimary && g.targets == a.maxTargets[g.id]
	}
	switch {
	case complete:
		a.nextAt, a.delay = 0, 0
	case a.nextAt == 0:
		a.delay = auditDelay
		a.nextAt = now + a.delay
	case now >= a.nextAt:
		a.delay = min(2*a.delay, maxAuditDelay)
		a.nextAt = now + a.delay
		return true
	}
	return false
}

// groupSummary is the known state of a group.
type groupSummary struct {
	id      group.ID
	targets int
	// hasPrimary is true when a primary is known.
	hasPrimary bool
}

// groupSummaries returns the known state of the configured groups.
func (c *controlLoop) groupSummaries() []groupSummary {
	list := make([]groupSummary, 0, len(c.config.Groups))
	for id := range c.config.Groups {
		n := groupSummary{id: id}
		if g := c.groups[id]; g != nil {
			n.hasPrimary = g.primary != ""
			for _, t := range g.members {
				if t.lapsedAt == 0 {
					n.targets++
				}
			}
		}
		list = append(list, n)
	}
	return list
}

// requestAudit has the entries listed again when a group has been incomplete for long.
func (c *controlLoop) requestAudit(now clock.Millis) {
	f := c.d.entries.Load()
	if c.config == nil || c.storeSince == 0 || f == nil {
		return
	}
	if c.auditor.due(c.groupSummaries(), now) {
		c.d.count("audits")
		f.auditRequested.Store(true)
	}
}
