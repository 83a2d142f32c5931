package edge

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/connection/relay"
	"github.com/cactusfork/cactusfork/internal/connection/socket"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform"
)

const (
	// peersTimeout is how long after the daemon's start sessions wait for the first list of daemons.
	peersTimeout = clock.Second
	// peerBackoff is how long a daemon that did not answer is not used.
	peerBackoff = 5 * clock.Second
	// restartWindow is how long after its start a daemon retries others that refuse connections.
	restartWindow = 3 * clock.Second
	// homeSearchTimeout bounds the search for a home; callers give up their startup after 2 s.
	homeSearchTimeout = clock.Second
	// homeStartupTimeout bounds the startup of a session at another daemon, in milliseconds.
	homeStartupTimeout clock.Millis = 400
)

// peerLimits are the time-outs after which a connection to a silent daemon is closed, in milliseconds.
var peerLimits = socket.Limits{Connect: 200, Unacknowledged: 700, KeepAlive: 1000}

// peers holds the daemons listed in the store; followPeers writes the list and sessions read it.
type peers struct {
	list atomic.Pointer[[]placement.Peer]
	// reads is how many lists of daemons were read.
	reads atomic.Int64

	mu sync.Mutex
	// backoffUntil is the time until which a daemon gets no sessions, and mirrorBackoffUntil the time until which it is not used as a mirror.
	backoffUntil       map[group.DaemonID]clock.Millis
	mirrorBackoffUntil map[group.DaemonID]clock.Millis
	// refusedSince is the time since which the home of a group has refused every statement, and servedAt is when it last served one.
	refusedSince map[group.ID]clock.Millis
	servedAt     map[group.ID]clock.Millis
}

func newPeers() *peers {
	p := &peers{
		backoffUntil: make(map[group.DaemonID]clock.Millis), mirrorBackoffUntil: make(map[group.DaemonID]clock.Millis),
		refusedSince: make(map[group.ID]clock.Millis), servedAt: make(map[group.ID]clock.Millis),
	}
	p.list.Store(&[]placement.Peer{})
	return p
}

// available returns the daemons that may get sessions now.
func (p *peers) available(now clock.Millis) []placement.Peer {
	return p.withoutBackoff(p.backoffUntil, now)
}

// withoutBackoff returns the daemons whose time in backoffs has passed or is absent. The caller must not change the list.
func (p *peers) withoutBackoff(backoffs map[group.DaemonID]clock.Millis, now clock.Millis) []placement.Peer {
	list := *p.list.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(backoffs, func(_ group.DaemonID, t clock.Millis) bool { return now >= t })
	if len(backoffs) == 0 {
		return list
	}
	available := make([]placement.Peer, 0, len(list))
	for _, peer := range list {
		if _, backedOff := backoffs[peer.ID]; !backedOff {
			available = append(available, peer)
		}
	}
	return available
}

// backOffMirror stops the use of a daemon as a mirror until the given time.
func (p *peers) backOffMirror(id group.DaemonID, until clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mirrorBackoffUntil[id] = until
}

// mirrorRole returns how this daemon reads the store and, for placement.MirrorClient, the daemon to read from.
func (d *Daemon) mirrorRole() (placement.Peer, placement.Role) {
	if d.set.Daemon.MirrorAddress == "" {
		return placement.Peer{}, placement.Standalone
	}
	return placement.Mirror(d.id, d.peers.withoutBackoff(d.peers.mirrorBackoffUntil, d.clk.Now()), group.DataCentre(d.set.Daemon.DataCentre))
}

// backOff stops new sessions to a daemon until the given time.
func (p *peers) backOff(id group.DaemonID, until clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffUntil[id] = until
}

// homes returns the daemons that serve the route for this one. It is empty if every daemon serves the group itself.
//
// Where connections belong to workspaces, sessions of a route that only the primary serves go to the homes in the primary's data centre,
// and those of a small workspace to one home for the whole fleet: there the connections of all data centres are shared. For the former,
// the bytes between data centres are the same as for a home in this one.
func (d *Daemon) homes(v *view, r *topology.Route, w *workspace.Workspace) []placement.Peer {
	peers, connections := d.peers.available(d.clk.Now()), v.config.Groups[r.Group].MaxConnections
	homes := placement.Homes(r.Group, peers, group.DataCentre(d.set.Daemon.DataCentre), connections)
	if len(homes) == 0 || w == nil {
		return homes
	}
	// While the best homes elsewhere do not answer, the others there may not either: their data centre may be cut off.
	all := *d.peers.list.Load()
	var remote []placement.Peer
	if r.Consistency == topology.Strong {
		if primary := v.workingPrimary(r.Group); primary != nil {
			remote = placement.Homes(r.Group, all, primary.meta.Load().DataCentre, connections)
		}
	} else if fleet := placement.FleetHomes(r.Group, all, connections); w.Limited && placement.HasOneHome(w.Limit, len(v.config.Groups), len(fleet)) {
		remote = []placement.Peer{placement.HomeFor(fleet, w.ID, rand.IntN)}
	}
	remote = slices.DeleteFunc(remote, func(p placement.Peer) bool { return !placement.Contains(peers, p.ID) })
	if len(remote) > 0 {
		return remote
	}
	return homes
}

// servesGroup reports whether this daemon serves the group for its data centre.
func (d *Daemon) servesGroup(g group.ID) bool {
	v := d.view.Load()
	if v.config == nil || d.set.Daemon.PeerAddress == "" || d.isolated.Load() {
		return true
	}
	homes := placement.Homes(g, d.peers.available(d.clk.Now()), group.DataCentre(d.set.Daemon.DataCentre), v.config.Groups[g].MaxConnections)
	return len(homes) == 0 || placement.Contains(homes, d.id)
}

// servesRoute reports whether the daemon at may serve the route for this one; "" is this one. While this daemon is isolated, every daemon may, so that sessions stay where they are.
func (d *Daemon) servesRoute(r *topology.Route, w *workspace.Workspace, at group.DaemonID) bool {
	v := d.view.Load()
	if v.config == nil || d.set.Daemon.PeerAddress == "" || d.isolated.Load() {
		return true
	}
	homes := d.homes(v, r, w)
	if at == "" {
		return len(homes) == 0 || placement.Contains(homes, d.id)
	}
	return placement.Contains(homes, at)
}

// awaitPeers waits for the first list of daemons if this daemon has just started.
func (d *Daemon) awaitPeers(ctx context.Context) error {
	for d.peers.reads.Load() == 0 && d.clk.Now() < d.startedAt+peersTimeout {
		if err := d.clk.Sleep(ctx, selectRetryPause); err != nil {
			return err
		}
	}
	return nil
}

// connectHome opens a session at a home of the route: a daemon that serves the group for others. It returns nil when this daemon has to serve the group itself, because it is a home or found none in time.
func (d *Daemon) connectHome(ctx context.Context, r *topology.Route, w *workspace.Workspace) *relay.Home {
	v := d.view.Load()
	if v.config == nil || d.set.Daemon.PeerAddress == "" || !d.hasRoomForHome() {
		return nil
	}
	if d.awaitPeers(ctx) != nil {
		return nil
	}
	for deadline := d.clk.Now() + homeSearchTimeout; d.clk.Now() < deadline; {
		homes := d.homes(v, r, w)
		if len(homes) == 0 || placement.Contains(homes, d.id) {
			return nil
		}
		l := link.Login{Name: string(r.Database)}
		if w != nil {
			l.Workspace, l.Version = w.ID, uint64(v.config.Version)
		}
		p := placement.HomeFor(homes, l.Workspace, rand.IntN)
		h, err := d.dialHome(ctx, &p, l)
		if err == nil {
			return h
		}
		var refused *statement.Refusal
		if errors.As(err, &refused) && refused.Code == statement.Busy {
			// The home answers, and does not know the workspace yet. Until it does, this daemon serves the session.
			return nil
		}
		d.log.Warn("home did not accept session", zap.String("home", string(p.ID)), zap.String("group", string(r.Group)), zap.Error(err))
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, syscall.ECONNREFUSED) && d.clk.Now() < d.startedAt+restartWindow {
			// Daemons that were stopped together do not come back at the same moment.
			_ = d.clk.Sleep(ctx, selectRetryPause) // the next attempt to connect sees the end of ctx
			continue
		}
		d.backOffHome(p.ID)
	}
	return nil
}

func (d *Daemon) dialHome(ctx context.Context, p *placement.Peer, l link.Login) (*relay.Home, error) {
	tcp, err := d.peerDialer.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return nil, err
	}
	w := platform.Targets(d.bounds.account)(tcp)
	d.countHome(&w)
	r, err := w.Startup(l, d.clk.Deadline(d.clk.Now()+homeStartupTimeout))
	if err == nil && r.Code != statement.OK {
		err = &statement.Refusal{Code: r.Code, Text: r.Text}
	}
	if err != nil {
		_ = w.Close() // nothing was sent for a caller
		return nil, err
	}
	return &relay.Home{ID: p.ID, Wire: w, TCP: tcp}, nil
}

// recordHomeReply records the time since which a group's home has served nothing. A home refuses a statement only after it has waited for a primary, so the outage began no later than the statement arrived.
func (d *Daemon) recordHomeReply(g group.ID, arrived clock.Millis, refused bool) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	switch {
	case !refused:
		delete(d.peers.refusedSince, g)
		d.peers.servedAt[g] = d.clk.Now()
	case d.peers.refusedSince[g] == 0:
		d.peers.refusedSince[g] = max(arrived, d.peers.servedAt[g])
	}
}

// homeOutageSince returns the time since which a group's home has refused every statement; 0 while it serves.
func (p *peers) homeOutageSince(g group.ID) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusedSince[g]
}

// handleHomeClosed backs off a daemon that ended a forwarded session. While this daemon is isolated it does not, because the fault may be its own, and sessions have to find the home again afterwards.
func (d *Daemon) handleHomeClosed(id group.DaemonID) {
	if !d.isolated.Load() {
		d.backOffHome(id)
	}
}

// backOffHome counts the loss of a home and backs the daemon off for peerBackoff.
func (d *Daemon) backOffHome(id group.DaemonID) {
	d.count("homes-lost")
	d.peers.backOff(id, d.clk.Now()+peerBackoff)
}
