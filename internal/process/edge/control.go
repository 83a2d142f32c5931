package edge

import (
	"context"
	"maps"
	"slices"

	"go.uber.org/zap"

	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/promotion"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/pkg/position"
)

const (
	// inboxSize is the number of messages that may wait for the control loop.
	inboxSize = 1024
	// tickInterval is the time between two checks of the groups, in milliseconds.
	tickInterval clock.Millis = 100
	// closeIdleInterval is the time between two rounds that end idle sessions while the daemon is isolated. It equals the interval of the balancer's health checks.
	closeIdleInterval = clock.Second
	// primaryReplyAge is the maximum age of a primary's last reply at which it counts as reachable while another primary fails, in milliseconds.
	primaryReplyAge clock.Millis = 300
	// lapseGrace is how long a target is kept after its entry has gone. Entries that lapsed during an outage of the store come back about 2 s after its return.
	lapseGrace clock.Millis = 2500
)

// Messages to the control loop.
type (
	// configUpdate is a configuration read from the store.
	configUpdate struct{ config *topology.Config }
	// entriesUpdate holds targets' entries read from the store; full is true when they are all that exist, and restored when the store was restored from a copy since the last update.
	entriesUpdate struct {
		entries  []topology.Target
		removed  []group.TargetID
		full     bool
		restored bool
		// since is the earliest time at which the changes may have occurred; 0 when that is unknown.
		since clock.Millis
	}
	// primaryProof reports a target that proved to be the primary.
	primaryProof struct {
		group  group.ID
		target group.TargetID
		term   position.Term
	}
	// readOnlyReply reports a target that refused an operation that only a primary accepts.
	readOnlyReply struct {
		group  group.ID
		target group.TargetID
	}
	// targetFailure reports a target that did not answer.
	targetFailure struct {
		group  group.ID
		target group.TargetID
	}
	// probeEnd reports the end of a probe of a group.
	probeEnd struct{ group group.ID }
	// changeEnd reports the end of an attempt to change a group's primary.
	changeEnd struct {
		group group.ID
		// retryDelay is the wait before the next attempt.
		retryDelay clock.Millis
		// storeDown is true when the store did not answer.
		storeDown bool
	}
	// storeState reports that the store became available or unavailable.
	storeState struct{ up bool }
)

// member is a target with the control loop's state of it.
type member struct {
	*target
	// primaryAt is when the target last proved to be the primary, or when its entry began to say so; 0 when neither holds.
	primaryAt clock.Millis
	// window is how many statements of this daemon may run at the target at once.
	window int
	// lapsedAt is when the target's entry disappeared from the store; 0 while it exists.
	lapsedAt clock.Millis
}

// groupState is the control loop's state of a group.
type groupState struct {
	id      group.ID
	members map[group.TargetID]*member
	// primary is the known primary; without one it is empty, and noPrimarySince is the time since when.
	primary        group.TargetID
	noPrimarySince clock.Millis
	// probing and changing are true while a probe or a change of primary runs.
	probing  bool
	changing bool
	// retryAt is the earliest time of the next change of primary.
	retryAt clock.Millis
	// action is the last decision about the primary.
	action promotion.Action
	// actAt is when this daemon carries out the action. The delay differs between daemons, so that one of them acts first.
	actAt clock.Millis
}

// controlLoop owns the state of all groups; one goroutine runs it.
type controlLoop struct {
	d      *Daemon
	inbox  chan any
	config *topology.Config
	groups map[group.ID]*groupState
	// storeSince is the time since which the store has been available; 0 while it is unavailable.
	storeSince clock.Millis
	// closeIdleAt is when idle sessions are ended next while the daemon is isolated.
	closeIdleAt clock.Millis
	auditor     auditor
	// limitsPeers and limitsConfig are the daemons and the configuration from which the limits at targets were last computed. limitsStale is true when a target was added since.
	limitsPeers  *[]placement.Peer
	limitsConfig *topology.Config
	limitsStale  bool
	// recheckSessions is true when the keys of the sessions have to be checked against a new configuration.
	recheckSessions bool
}

func newControlLoop(d *Daemon) *controlLoop {
	return &controlLoop{d: d, inbox: make(chan any, inboxSize), groups: make(map[group.ID]*groupState), auditor: auditor{maxTargets: make(map[group.ID]int)}}
}

// trySend sends a message that stems from traffic. It drops the message when the inbox is full, because a later message will report the same.
func (c *controlLoop) trySend(m any) {
	select {
	case c.inbox <- m:
	default:
		c.d.count("control-messages-dropped")
	}
}

// send sends a message that must not be lost. It blocks until the inbox has room or ctx ends.
func (c *controlLoop) send(ctx context.Context, m any) {
	select {
	case c.inbox <- m:
	case <-ctx.Done():
	}
}

// run handles messages and ticks until ctx ends.
func (c *controlLoop) run(ctx context.Context) {
	next := c.d.clk.After(tickInterval)
	for {
		select {
		case m := <-c.inbox:
			c.handle(ctx, m)
		case <-next:
			c.tick(ctx)
			next = c.d.clk.After(tickInterval)
		case <-ctx.Done():
			return
		}
	}
}

func (c *controlLoop) handle(ctx context.Context, m any) {
	now := c.d.clk.Now()
	switch m := m.(type) {
	case configUpdate:
		c.handleConfig(m.config)
	case entriesUpdate:
		c.handleEntries(&m, now)
	case primaryProof:
		c.handlePrimaryProof(&m, now)
	case readOnlyReply:
		if g := c.groups[m.group]; g != nil && g.members[m.target] != nil {
			g.members[m.target].primaryAt = 0
		}
	case storeState:
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
	case probeEnd:
		if g := c.groups[m.group]; g != nil {
			g.probing = false
		}
		return
	case changeEnd:
		if g := c.groups[m.group]; g != nil {
			g.changing, g.retryAt = false, now+m.retryDelay
		}
		if m.storeDown && c.storeSince > 0 {
			c.storeSince = now
		}
		return
	case targetFailure:
		c.checkPrimary(ctx, c.groups[m.group], now)
		return
	}
	c.publishView(now)
	if c.recheckSessions {
		c.recheckSessions = false
		c.d.server.Recheck()
	}
}

// handleConfig applies a configuration that is newer than the present one.
func (c *controlLoop) handleConfig(cfg *topology.Config) {
	if c.config != nil && cfg.Version <= c.config.Version {
		if cfg.Version < c.config.Version {
			c.d.log.Info("older configuration ignored", zap.Uint64("version", uint64(cfg.Version)), zap.Uint64("current", uint64(c.config.Version)))
		}
		return
	}
	c.d.log.Info("configuration applied", zap.Uint64("version", uint64(cfg.Version)), zap.Int("routes", len(cfg.Routes)))
	c.config = cfg
	routes := make(map[string]bool, len(cfg.Routes))
	for _, r := range cfg.Routes {
		routes[r.Name] = true
	}
	c.d.costs.Keep(func(route string) bool { return routes[route] })
	c.d.logWorkspaces(cfg)
	c.recheckSessions = cfg.Workspaces != nil
}

func (c *controlLoop) handleEntries(m *entriesUpdate, now clock.Millis) {
	present := make(map[group.TargetID]bool, len(m.entries))
	for i := range m.entries {
		present[m.entries[i].ID] = true
		c.handleEntry(&m.entries[i], m, now)
	}
	lapsedSince := m.since
	if m.restored {
		// A copy may be older than the entry, whose target then writes it again.
		lapsedSince = now
	}
	for _, g := range c.groups {
		for id, t := range g.members {
			if t.lapsedAt == 0 && (slices.Contains(m.removed, id) || m.full && !present[id]) {
				t.lapsedAt = now
				t.setLeaving(true, lapsedSince)
				c.d.log.Info("target entry removed from store", zap.String("target", string(id)), zap.String("group", string(g.id)))
			}
		}
	}
}

// handleEntry updates a target from an entry of an update. A target whose address or start time changed is replaced by a new one.
func (c *controlLoop) handleEntry(e *topology.Target, m *entriesUpdate, now clock.Millis) {
	g := c.groups[e.Group]
	if g == nil {
		g = &groupState{id: e.Group, members: make(map[group.TargetID]*member)}
		c.groups[e.Group] = g
	}
	for id, other := range c.groups {
		if t := other.members[e.ID]; t != nil && id != e.Group {
			c.removeTarget(other, e.ID)
		}
	}
	known := g.members[e.ID]
	if known != nil && isOlderEntry(e, known.meta.Load(), m.full) {
		c.d.log.Info("older target entry ignored", zap.String("target", string(e.ID)), zap.Stringer("revision", store.Version(e.Revision)), zap.Stringer("current", store.Version(known.meta.Load().Revision)))
		return
	}
	if known != nil {
		previous := known.meta.Load()
		if previous.Address != e.Address || previous.StartedAt != 0 && e.StartedAt != 0 && previous.StartedAt != e.StartedAt {
			c.removeTarget(g, e.ID)
			known = nil
		}
	}
	if known == nil {
		known = &member{target: c.d.newTarget(e)}
		c.limitsStale = true
		g.members[e.ID] = known
		if e.Primary {
			known.primaryAt = now
		}
		// When it began to leave is unknown: its entry may have lapsed meanwhile, or this daemon has just started.
		known.setLeaving(e.Draining, 0)
		c.logEntry("target added", e)
		return
	}
	previous := known.meta.Load()
	known.lapsedAt = 0
	known.setLeaving(e.Draining, m.since)
	switch {
	case e.Primary && !previous.Primary:
		known.primaryAt = now
	case !e.Primary && previous.Primary:
		known.primaryAt = 0
	}
	if previous.Primary != e.Primary || previous.Draining != e.Draining {
		c.logEntry("target entry changed", e)
	}
	known.meta.Store(e)
}

// isOlderEntry reports whether an entry is older than the known one of its target. A list of a later era may show the entry as of the copy from which the store was restored; listed tells whether e is from a list.
func isOlderEntry(e, known *topology.Target, listed bool) bool {
	if listed && store.Version(e.Revision).Era() > store.Version(known.Revision).Era() {
		return e.WrittenBefore(known)
	}
	return e.Revision < known.Revision
}

func (c *controlLoop) logEntry(msg string, e *topology.Target) {
	c.d.log.Info(msg, zap.String("target", string(e.ID)), zap.String("group", string(e.Group)),
		zap.Bool("primary", e.Primary), zap.Bool("draining", e.Draining), zap.Stringer("revision", store.Version(e.Revision)))
}

func (c *controlLoop) removeTarget(g *groupState, id group.TargetID) {
	g.members[id].pool.Close()
	delete(g.members, id)
	c.d.log.Info("target removed", zap.String("target", string(id)), zap.String("group", string(g.id)))
}

func (c *controlLoop) handlePrimaryProof(m *primaryProof, now clock.Millis) {
	g := c.groups[m.group]
	if g == nil || g.members[m.target] == nil {
		return
	}
	g.members[m.target].primaryAt = now
}

// tick removes the targets whose entries have been gone for lapseGrace, and checks every group's primary.
func (c *controlLoop) tick(ctx context.Context) {
	now := c.d.clk.Now()
	removed := false
	for _, g := range c.groups {
		for id, t := range g.members {
			t.pool.Sweep()
			if t.lapsedAt > 0 && now-t.lapsedAt > lapseGrace && c.d.storeUp.Load() {
				c.removeTarget(g, id)
				removed = true
			}
		}
	}
	if removed {
		c.publishView(now)
	}
	for _, g := range c.groups {
		c.checkPrimary(ctx, g, now)
	}
	c.probeIdlePrimaries(ctx, now)
	c.updateIsolation(now)
	c.updateLimits()
	c.requestAudit(now)
}

// probeIdlePrimaries probes the primaries without a recent reply while another group's primary fails. A fault that cuts this daemon off from one primary may cut it off from all, and its detection must not depend on traffic.
func (c *controlLoop) probeIdlePrimaries(ctx context.Context, now clock.Millis) {
	failing := false
	for _, g := range c.groups {
		failing = failing || g.action == promotion.Probe
	}
	if !failing {
		return
	}
	for _, g := range c.groups {
		m := g.members[g.primary]
		// A daemon that forwards a group's sessions has no connections to the group's targets.
		if m == nil || g.action != promotion.Nothing || g.probing || g.changing || m.pool.OpenConns() == 0 || m.repliedSince(now-primaryReplyAge) {
			continue
		}
		g.probing = true
		go func() {
			_, _ = c.d.verifyPrimary(ctx, g.id, m.target) // it records a failure itself
			c.send(ctx, probeEnd{group: g.id})
		}()
	}
}

// updateLimits sets the number of connections and of concurrent statements that this daemon may have at each target. A group with few homes gets a smaller window at each of them.
func (c *controlLoop) updateLimits() {
	if c.config == nil {
		return
	}
	list := c.d.peers.list.Load()
	if list == c.limitsPeers && c.config == c.limitsConfig && !c.limitsStale {
		return
	}
	c.limitsPeers, c.limitsConfig, c.limitsStale = list, c.config, false
	peers := *list
	dataCentre := group.DataCentre(c.d.set.Daemon.DataCentre)
	dataCentres := make(map[group.DataCentre]bool)
	for _, p := range peers {
		dataCentres[p.DataCentre] = true
	}
	for id, g := range c.groups {
		connections := c.config.Groups[id].MaxConnections
		localHomes := placement.Homes(id, peers, dataCentre, connections)
		servedElsewhere := len(localHomes) > 0 && !placement.Contains(localHomes, c.d.id)
		homes := len(localHomes) * len(dataCentres)
		holders := homes
		if holders == 0 {
			holders = len(peers)
		}
		earlyLimit := placement.InitialConnections(connections, holders)
		for _, t := range g.members {
			t.pool.SetEarlyLimit(earlyLimit)
			t.pool.SetServedElsewhere(servedElsewhere)
			if c.config.Workspaces != nil {
				local := t.meta.Load().DataCentre
				locals := len(placement.Homes(id, peers, local, connections))
				if homes == 0 {
					locals = 0 // every daemon serves the group
				}
				all := holders
				if homes > 0 {
					all = len(placement.FleetHomes(id, peers, connections))
				}
				t.pool.SetWorkspaceLimit(placement.ConnectionShare(connections, local == dataCentre, locals, all-locals))
			} else {
				t.pool.SetWorkspaceLimit(0)
			}
			t.setChoosers(holders)
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

// updateIsolation leaves callers to other daemons while this daemon is cut off from the primaries.
func (c *controlLoop) updateIsolation(now clock.Millis) {
	var since []clock.Millis
	v := c.d.view.Load()
	for id, g := range v.groups {
		if c.configured(id) {
			since = append(since, max(g.unreachableSince(), c.d.peers.homeOutageSince(id)))
		}
	}
	isolated := placement.Isolated(since, now, c.d.isolated.Load())
	if c.d.isolated.Swap(isolated) == isolated {
		if isolated && now >= c.closeIdleAt {
			// Callers that connected before the balancer noticed still hold their connections.
			c.closeIdleAt = now + closeIdleInterval
			c.d.server.CloseIdle()
		}
		return
	}
	c.d.server.SetIsolated(isolated)
	c.d.log.Warn("isolation changed", zap.Bool("isolated", isolated), zap.Any("without-primary-since", since), zap.Int("sessions", c.d.server.Len()))
	if isolated {
		c.closeIdleAt = now + closeIdleInterval
		c.d.server.CloseIdle()
	}
}

// configured reports whether the present configuration names the group.
func (c *controlLoop) configured(id group.ID) bool {
	if c.config == nil {
		return false
	}
	_, ok := c.config.Groups[id]
	return ok
}

// electPrimary returns the target with the latest evidence that it is the primary, or "" without any.
func (g *groupState) electPrimary() group.TargetID {
	var best *member
	for _, t := range g.members {
		if t.primaryAt == 0 {
			continue
		}
		if best == nil || t.primaryAt > best.primaryAt || t.primaryAt == best.primaryAt && t.meta.Load().Revision > best.meta.Load().Revision {
			best = t
		}
	}
	if best == nil {
		return ""
	}
	return best.meta.Load().ID
}

// publishView makes the present state visible to sessions.
func (c *controlLoop) publishView(now clock.Millis) {
	v := &view{config: c.config, groups: make(map[group.ID]*groupView, len(c.groups))}
	for id, g := range c.groups {
		if primary := g.electPrimary(); primary != g.primary {
			c.d.log.Info("group primary changed", zap.String("group", string(id)), zap.String("target", string(primary)), zap.String("before", string(g.primary)))
			g.primary = primary
		}
		switch {
		case g.primary != "":
			g.noPrimarySince = 0
		case g.noPrimarySince == 0:
			g.noPrimarySince = now
		}
		gv := &groupView{id: id, primary: g.primary, noPrimarySince: g.noPrimarySince}
		for _, k := range slices.Sorted(maps.Keys(g.members)) {
			gv.targets = append(gv.targets, g.members[k].target)
		}
		v.groups[id] = gv
	}
	c.d.view.Store(v)
}

// actionDelay returns how long this daemon waits for others to act on a group first.
func (c *controlLoop) actionDelay(g group.ID) clock.Millis {
	return promotion.ActionDelay(c.d.id, g, len(*c.d.peers.list.Load()))
}

// checkPrimary decides what to do about the group's primary and starts the action.
func (c *controlLoop) checkPrimary(ctx context.Context, g *groupState, now clock.Millis) {
	if g == nil || g.changing || !c.configured(g.id) {
		return
	}
	list := make([]promotion.Member, 0, len(g.members))
	for id, t := range g.members {
		list = append(list, t.member(id == g.primary))
	}
	action := promotion.Decide(list, now, g.noPrimarySince, c.storeSince, c.d.promotion)
	if action != g.action {
		c.d.log.Info("group decision changed", zap.String("group", string(g.id)), zap.Stringer("action", action), zap.String("primary", string(g.primary)), zap.Any("targets", list))
		g.action, g.actAt = action, now+c.actionDelay(g.id)
	}
	gv := c.d.view.Load().groups[g.id]
	switch action {
	case promotion.Probe:
		if !g.probing && gv != nil {
			g.probing = true
			go c.d.probeGroup(ctx, gv)
		}
	case promotion.Replace, promotion.HandOver:
		if now >= max(g.retryAt, g.actAt) && gv != nil {
			g.changing = true
			go c.d.changePrimary(ctx, gv, action)
		}
	}
}
