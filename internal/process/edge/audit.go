package edge

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// firstAudit is for how long a group must lack a primary or a target before the entries are read anew: longer than entries that lapsed with the store take to come back, and than a change of primary.
	firstAudit = 4 * clock.Second
	// lastAudit bounds the wait between audits, which doubles while they find nothing: a target may be lost for good.
	lastAudit = 64 * clock.Second
)

// auditor says when the belief about the targets is to be compared with the store, though no change was told: a change that was lost or misread would else be missed for as long as the daemon runs.
type auditor struct {
	// most is how many targets a group had at most.
	most map[group.ID]int
	// next is when the entries are read anew unless all groups are whole before; 0 while they are.
	next clock.Millis
	wait clock.Millis
}

// due takes the state of the configured groups and reports whether an audit is due.
func (a *auditor) due(groups []groupCount, now clock.Millis) bool {
	whole := true
	for _, g := range groups {
		a.most[g.id] = max(a.most[g.id], g.targets)
		whole = whole && g.primary && g.targets == a.most[g.id]
	}
	switch {
	case whole:
		a.next, a.wait = 0, 0
	case a.next == 0:
		a.wait = firstAudit
		a.next = now + a.wait
	case now >= a.next:
		a.wait = min(2*a.wait, lastAudit)
		a.next = now + a.wait
		return true
	}
	return false
}

// groupCount is what is believed of a group.
type groupCount struct {
	id      group.ID
	targets int
	// primary is true when one target is believed to be the primary.
	primary bool
}

// counts returns what is believed of the configured groups.
func (c *control) counts() []groupCount {
	list := make([]groupCount, 0, len(c.config.Groups))
	for id := range c.config.Groups {
		n := groupCount{id: id}
		if g := c.groups[id]; g != nil {
			n.primary = g.leader != ""
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

// audit has the entries read anew where a group lacks something for long.
func (c *control) audit(now clock.Millis) {
	f := c.d.entries.Load()
	if c.config == nil || c.storeSince == 0 || f == nil {
		return
	}
	if c.auditor.due(c.counts(), now) {
		c.d.count("audits")
		f.doubted.Store(true)
	}
}
