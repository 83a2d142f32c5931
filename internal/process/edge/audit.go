package edge

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// auditDelay is for how long a group must lack a primary or a target before the entries are read anew: longer than entries that lapsed with the store take to come back, and than a change of primary.
	auditDelay = 4 * clock.Second
	// maxAuditDelay bounds the wait between audits, which doubles while they find nothing: a target may be lost for good.
	maxAuditDelay = 64 * clock.Second
)

// auditor says when the belief about the targets is to be compared with the store, though no change was told: a change that was lost or misread would else be missed for as long as the daemon runs.
type auditor struct {
	// maxTargets is how many targets a group had at most.
	maxTargets map[group.ID]int
	// nextAt is when the entries are read anew unless all groups are whole before; 0 while they are.
	nextAt clock.Millis
	delay  clock.Millis
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

// groupSummary is what is believed of a group.
type groupSummary struct {
	id      group.ID
	targets int
	// hasPrimary is true when one target is believed to be the primary.
	hasPrimary bool
}

// groupSummaries returns what is believed of the configured groups.
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

// requestAudit has the entries read anew where a group lacks something for long.
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
