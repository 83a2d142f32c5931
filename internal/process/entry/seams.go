package entry

import (
	"context"
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/process/config"
	"github.com/cactusfork/cactusfork/internal/process/control"
	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/token"
)

func (d *Daemon) controlConfig() *control.Config {
	return &control.Config{
		Self:         d.cfg.ID,
		Machine:      d.cfg.Machine,
		Probe:        d.cfg.Probe,
		OrderTimeout: d.cfg.Probe.Timeout * 2,
		StoreTimeout: d.cfg.StoreTimeout,
		PeersTimeout: d.cfg.Probe.Timeout,
	}
}

func (d *Daemon) controlDependencies() control.Dependencies {
	return control.Dependencies{
		Dial:             d.targets.dial,
		Order:            d.targets.order,
		RequestPeerViews: d.requestPeerViews,
		Store:            d.deps.Store,
		Random:           rand.Float64,
		Load:             d.targets.load,
		Report:           d.event,
	}
}

func (d *Daemon) requestPeerViews(ctx context.Context, id group.ID, t group.TargetID) []control.PeerView {
	var out []control.PeerView
	for _, v := range d.mesh.RequestViews(ctx, id, t, maxViewPeers) {
		out = append(out, control.PeerView{Daemon: v.Daemon, Reachability: reachabilities[v.Reach]})
	}
	return out
}

// reachabilities maps the reach in a peer's view to the answer that the group's state machine expects.
var reachabilities = map[peer.Reach]group.Reachability{
	peer.Unknown:     group.Unknown,
	peer.Reachable:   group.Reachable,
	peer.Unreachable: group.Unreachable,
}

func (d *Daemon) holderConfig() config.Config {
	cfg := config.Defaults(d.cfg.ID, d.cfg.DataCentre)
	if d.cfg.Watchers > 0 {
		cfg.Watchers = d.cfg.Watchers
	}
	return cfg
}

func (d *Daemon) holderDependencies() config.Dependencies {
	return config.Dependencies{
		Store:          d.deps.Store,
		Live:           func() []peer.Member { return d.mesh.Live() },
		FetchFromPeers: func(ctx context.Context) ([]platform.Object, error) { return d.mesh.FetchObjects(ctx) },
		Jitter:         rand.Float64,
		Validate:       validate,
		Report: func(key platform.Key, v platform.Version, err error) {
			d.deps.Log.Warn("published object rejected", zap.String("key", string(key)), zap.Uint64("version", uint64(v)), zap.Error(err))
		},
		NotifyPeers: func(ctx context.Context) { _ = d.mesh.ExchangeNow(ctx) },
	}
}

func (d *Daemon) peerDependencies() peer.Dependencies {
	return peer.Dependencies{
		Seeds:          d.seeds,
		View:           d.viewFor,
		Objects:        func(held []peer.KeyVersion) []platform.Object { return d.holder.Newer(held) },
		Digest:         func() peer.Digest { return d.holder.Digest() },
		Demand:         d.demand,
		ApplyObjects:   func(objects []platform.Object) { d.holder.Apply(objects) },
		MembersChanged: d.membersChanged,
	}
}

func (d *Daemon) callerDependencies() caller.Dependencies {
	deps := caller.Dependencies{
		Service:     d.router.service,
		Allowed:     d.deps.Access.Allowed,
		Credentials: d.deps.Access.Credentials,
		TLS:         d.deps.Access.CallerTLS,
		RequireTLS:  d.deps.Access.RequireTLS,
		Tokens:      func() *token.Keys { return d.deps.Tokens },
		Acquire:     d.router.acquire,
		Floor:       d.router.floor,
		Confirm:     d.router.confirm,
		Report:      d.meter.recordOutcome,
	}
	if d.deps.Access.Alter != nil {
		d.deps.Access.Alter(&deps)
	}
	return deps
}
