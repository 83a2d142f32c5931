package edge

import (
	"context"
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/promotion"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// inbox is the number of messages that may wait for the control loop.
	inbox = 1024
	// tick is the time between two looks at the groups, in milliseconds.
	tick clock.Millis = 100
	// shedEvery is the time between two ends of all resting sessions while the daemon is isolated: that between two questions of the balancer.
	shedEvery = clock.Second
	// suspectAge is for how long a primary's last answer shows that it can be reached while another cannot, in milliseconds.
	suspectAge clock.Millis = 300
	// lapseGrace is how long a target is kept whose entry is gone: entries that lapsed while the store was away come back about 2 s after its return.
	lapseGrace clock.Millis = 2500
)

// The messages that the control loop takes.
type (
	// configRead is a configuration from the store.
	configRead struct{ config *topology.Config }
	// entriesRead are entries from the store; whole is true when they are all there are.
	entriesRead struct {
		entries []topology.Target
		removed []group.TargetID
		whole   bool
		// since is after when the changes came; 0 when that is not known.
		since clock.Millis
	}
	// ledBy is a target that has shown to lead.
	ledBy struct {
		group  group.ID
		target group.TargetID
		term   position.Term
	}
	// deposed is a target that has refused what only a primary does.
	deposed struct {
		group  group.ID
		target group.TargetID
	}
	// failed is a target that did not answer.
	failed struct {
		group  group.ID
		target group.TargetID
	}
	// probed is the end of a round of questions to a group.
	probed struct{ group group.ID }
	// changed is the end of a promotion.
	changed struct {
		group group.ID
		// pause is how long to wait before the next try.
		pause clock.Millis
		// storeAway is true when the store did not answer.
		storeAway bool
	}
	// storeSeen is the return or the loss of the store.
	storeSeen struct{ up bool }
)

// member is a target in the control state.
type member struct {
	*target
	// ledAt is when the target last showed, or first said, that it is the primary; 0 when it did not.
	ledAt clock.Millis
	// window is how many statements this daemon may have at work there.
	window int
	// lapsedAt is when the entry went; 0 while it is there.
	lapsedAt clock.Millis
}

// groupState is a group in the control state.
type groupState struct {
	id         group.ID
	members    map[group.TargetID]*member
	leader     group.TargetID
	leaderless clock.Millis
	probing    bool
	changing   bool
	pauseUntil clock.Millis
	action     promotion.Action
	// actAt is when this daemon acts, so that of many one comes first.
	actAt clock.Millis
}

// control owns the control state; one goroutine runs it.
type control struct {
	d      *Daemon
	in     chan any
	config *topology.Config
	groups map[group.ID]*groupState
	// storeSince is since when the store has answered; 0 while it does not.
	storeSince clock.Millis
	// shedAt is when resting sessions are ended next while the daemon is isolated.
	shedAt  clock.Millis
	auditor auditor
	// sharedBy and sharedIn are the daemons and the configuration by which the targets were last shared, and unshared is true while a target has come since.
	sharedBy *[]placement.Peer
	sharedIn *topology.Config
	unshared bool
}

func newControl(d *Daemon) *control {
	return &control{d: d, in: make(chan any, inbox), groups: make(map[group.ID]*groupState), auditor: auditor{most: make(map[group.ID]int)}}
}

// tell hands a message to the loop; one about traffic is dropped when the loop is behind, as the next will say the same.
func (c *control) tell(m any) {
	select {
	case c.in <- m:
	default:
		c.d.count("control-messages-dropped")
	}
}

// send hands over a message that must not be lost.
func (c *control) send(ctx context.Context, m any) {
	select {
	case c.in <- m:
	case <-ctx.Done():
	}
}

// run works until ctx ends.
func (c *control) run(ctx context.Context) {
	next := c.d.clk.After(tick)
	for {
		select {
		case m := <-c.in:
			c.take(ctx, m)
		case <-next:
			c.tick(ctx)
			next = c.d.clk.After(tick)
		case <-ctx.Done():
			return
		}
	}
}

func (c *control) take(ctx context.Context, m any) {
	now := c.d.clk.Now()
	switch m := m.(type) {
	case configRead:
		c.takeConfig(m.config)
	case entriesRead:
		c.takeEntries(&m, now)
	case ledBy:
		c.takeLead(&m, now)
	case deposed:
		if g := c.groups[m.group]; g != nil && g.members[m.target] != nil {
			g.members[m.target].ledAt = 0
		}
	case storeSeen:
		c.storeSince = 0
		if !m.up {
			return
		}
		c.storeSince = now
		for _, g := range c.groups {
			for _, t := range g.members {
				if t.lapsedAt > 0 {
					t.lapsedAt = now
				}
			}
		}
		return
	case probed:
		if g := c.groups[m.group]; g != nil {
			g.probing = false
		}
		return
	case changed:
		if g := c.groups[m.group]; g != nil {
			g.changing, g.pauseUntil = false, now+m.pause
		}
		if m.storeAway && c.storeSince > 0 {
			c.storeSince = now
		}
		return
	case failed:
		c.watch(ctx, c.groups[m.group], now)
		return
	}
	c.publish(now)
}

// takeConfig puts a configuration in force unless it is older than that in force.
func (c *control) takeConfig(cfg *topology.Config) {
	if c.config != nil && cfg.Version <= c.config.Version {
		return
	}
	c.d.log.Info("configuration in force", zap.Uint64("version", uint64(cfg.Version)), zap.Int("routes", len(cfg.Routes)))
	c.config = cfg
}

func (c *control) takeEntries(m *entriesRead, now clock.Millis) {
	present := make(map[group.TargetID]bool, len(m.entries))
	for i := range m.entries {
		present[m.entries[i].ID] = true
		c.takeEntry(&m.entries[i], m.since, now)
	}
	for _, g := range c.groups {
		for id, t := range g.members {
			if t.lapsedAt == 0 && (slices.Contains(m.removed, id) || m.whole && !present[id]) {
				t.lapsedAt = now
				t.leave(true, m.since)
				c.d.log.Info("entry is gone", zap.String("target", string(id)), zap.String("group", string(g.id)))
			}
		}
	}
}

// takeEntry brings a target up to date by an entry that changed after since; one that has moved or started anew is another one.
func (c *control) takeEntry(e *topology.Target, since, now clock.Millis) {
	g := c.groups[e.Group]
	if g == nil {
		g = &groupState{id: e.Group, members: make(map[group.TargetID]*member)}
		c.groups[e.Group] = g
	}
	for id, other := range c.groups {
		if t := other.members[e.ID]; t != nil && id != e.Group {
			c.drop(other, e.ID)
		}
	}
	old := g.members[e.ID]
	if old != nil && old.meta.Load().Revision > e.Revision {
		return
	}
	if old != nil {
		was := old.meta.Load()
		if was.Address != e.Address || was.Born != 0 && e.Born != 0 && was.Born != e.Born {
			c.drop(g, e.ID)
			old = nil
		}
	}
	if old == nil {
		old = &member{target: c.d.newTarget(e)}
		c.unshared = true
		g.members[e.ID] = old
		if e.Primary {
			old.ledAt = now
		}
		old.leave(e.Draining, since)
		c.logEntry("target found", e)
		return
	}
	was := old.meta.Load()
	old.lapsedAt = 0
	old.leave(e.Draining, since)
	switch {
	case e.Primary && !was.Primary:
		old.ledAt = now
	case !e.Primary && was.Primary:
		old.ledAt = 0
	}
	if was.Primary != e.Primary || was.Draining != e.Draining {
		c.logEntry("target changed", e)
	}
	old.meta.Store(e)
}

func (c *control) logEntry(what string, e *topology.Target) {
	c.d.log.Info(what, zap.String("target", string(e.ID)), zap.String("group", string(e.Group)),
		zap.Bool("primary", e.Primary), zap.Bool("draining", e.Draining), zap.Uint64("revision", uint64(e.Revision)))
}

func (c *control) drop(g *groupState, id group.TargetID) {
	g.members[id].pool.Close()
	delete(g.members, id)
	c.d.log.Info("target dropped", zap.String("target", string(id)), zap.String("group", string(g.id)))
}

func (c *control) takeLead(m *ledBy, now clock.Millis) {
	g := c.groups[m.group]
	if g == nil || g.members[m.target] == nil {
		return
	}
	g.members[m.target].ledAt = now
}

// tick drops what has lapsed, and looks at every group's primary.
func (c *control) tick(ctx context.Context) {
	now := c.d.clk.Now()
	dropped := false
	for _, g := range c.groups {
		for id, t := range g.members {
			t.pool.Sweep()
			if t.lapsedAt > 0 && now-t.lapsedAt > lapseGrace && c.d.storeUp.Load() {
				c.drop(g, id)
				dropped = true
			}
		}
	}
	if dropped {
		c.publish(now)
	}
	for _, g := range c.groups {
		c.watch(ctx, g, now)
	}
	c.suspect(ctx, now)
	c.isolate(now)
	c.share()
	c.audit(now)
}

// suspect asks the primaries that were not heard of lately while another group's primary fails: what cuts this daemon off from one may cut it off from all, and it must not wait for traffic to show that.
func (c *control) suspect(ctx context.Context, now clock.Millis) {
	failing := false
	for _, g := range c.groups {
		failing = failing || g.action == promotion.Probe
	}
	if !failing {
		return
	}
	for _, g := range c.groups {
		m := g.members[g.leader]
		// A daemon that forwards a group's sessions has no connections to its targets.
		if m == nil || g.action != promotion.Nothing || g.probing || g.changing || m.pool.Opened() == 0 || m.answeredSince(now-suspectAge) {
			continue
		}
		g.probing = true
		go func() {
			c.d.confirm(ctx, g.id, m.target)
			c.send(ctx, probed{group: g.id})
		}()
	}
}

// share bounds what this daemon has at work at each target where a group has few homes.
func (c *control) share() {
	if c.config == nil {
		return
	}
	list := c.d.peers.list.Load()
	if list == c.sharedBy && c.config == c.sharedIn && !c.unshared {
		return
	}
	c.sharedBy, c.sharedIn, c.unshared = list, c.config, false
	peers := *list
	here := group.DataCentre(c.d.set.Daemon.DataCentre)
	centres := make(map[group.DataCentre]bool)
	for _, p := range peers {
		centres[p.DataCentre] = true
	}
	for id, g := range c.groups {
		connections := c.config.Groups[id].Connections
		near := placement.Homes(id, peers, here, connections)
		visiting := len(near) > 0 && !placement.Contains(near, c.d.id)
		homes := len(near) * len(centres)
		holders := homes
		if holders == 0 {
			holders = len(peers)
		}
		early := placement.Early(connections, holders)
		for _, t := range g.members {
			t.pool.SetEarly(early)
			t.pool.SetVisiting(visiting)
			window := t.meta.Load().Slots
			if homes > 0 {
				window = placement.Window(window, homes)
			}
			if t.window != window {
				t.window = window
				t.gate.SetSlots(window)
			}
		}
	}
}

// isolate leaves the callers to other daemons while this one is cut off from the primaries.
func (c *control) isolate(now clock.Millis) {
	var since []clock.Millis
	v := c.d.view.Load()
	for id, g := range v.groups {
		if c.configured(id) {
			since = append(since, max(g.cutOffSince(), c.d.peers.outage(id)))
		}
	}
	isolated := placement.Isolated(since, now, c.d.isolated.Load())
	if c.d.isolated.Swap(isolated) == isolated {
		if isolated && now >= c.shedAt {
			// Those that came before the balancer knew hold their connections.
			c.shedAt = now + shedEvery
			c.d.server.Shed()
		}
		return
	}
	c.d.server.SetAway(isolated)
	c.d.log.Warn("isolation", zap.Bool("isolated", isolated), zap.Any("without-primary-since", since), zap.Int("sessions", c.d.server.Len()))
	if isolated {
		c.shedAt = now + shedEvery
		c.d.server.Shed()
	}
}

// configured reports whether the configuration in force names the group.
func (c *control) configured(id group.ID) bool {
	if c.config == nil {
		return false
	}
	_, ok := c.config.Groups[id]
	return ok
}

// elect returns the target with the latest evidence that it leads.
func (g *groupState) elect() group.TargetID {
	var best *member
	for _, t := range g.members {
		if t.ledAt == 0 {
			continue
		}
		if best == nil || t.ledAt > best.ledAt || t.ledAt == best.ledAt && t.meta.Load().Revision > best.meta.Load().Revision {
			best = t
		}
	}
	if best == nil {
		return ""
	}
	return best.meta.Load().ID
}

// publish gives traffic the present state.
func (c *control) publish(now clock.Millis) {
	v := &view{config: c.config, groups: make(map[group.ID]*groupView, len(c.groups))}
	for id, g := range c.groups {
		if leader := g.elect(); leader != g.leader {
			c.d.log.Info("primary", zap.String("group", string(id)), zap.String("target", string(leader)), zap.String("before", string(g.leader)))
			g.leader = leader
		}
		switch {
		case g.leader != "":
			g.leaderless = 0
		case g.leaderless == 0:
			g.leaderless = now
		}
		gv := &groupView{id: id, leader: g.leader, leaderless: g.leaderless}
		for _, k := range slices.Sorted(maps.Keys(g.members)) {
			gv.targets = append(gv.targets, g.members[k].target)
		}
		v.groups[id] = gv
	}
	c.d.view.Store(v)
}

// turn is how long this daemon lets others act on a group first.
func (c *control) turn(g group.ID) clock.Millis {
	return promotion.Turn(c.d.id, g, len(*c.d.peers.list.Load()))
}

// watch decides about the group's primary and starts what is to be done.
func (c *control) watch(ctx context.Context, g *groupState, now clock.Millis) {
	if g == nil || g.changing || !c.configured(g.id) {
		return
	}
	list := make([]promotion.Member, 0, len(g.members))
	for id, t := range g.members {
		list = append(list, t.member(id == g.leader))
	}
	action := promotion.Decide(list, now, g.leaderless, c.storeSince, c.d.promotion)
	if action != g.action {
		c.d.log.Info("judged", zap.String("group", string(g.id)), zap.Stringer("action", action), zap.String("primary", string(g.leader)), zap.Any("targets", list))
		g.action, g.actAt = action, now+c.turn(g.id)
	}
	gv := c.d.view.Load().groups[g.id]
	switch action {
	case promotion.Probe:
		if !g.probing && gv != nil {
			g.probing = true
			go c.d.probe(ctx, gv)
		}
	case promotion.Replace, promotion.HandOver:
		if now >= max(g.pauseUntil, g.actAt) && gv != nil {
			g.changing = true
			go c.d.change(ctx, gv, action)
		}
	}
}
