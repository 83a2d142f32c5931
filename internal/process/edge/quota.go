package edge

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/socket"
	"github.com/cactusfork/cactusfork/internal/process/quota"
	"github.com/cactusfork/cactusfork/internal/request/placement"
	issuing "github.com/cactusfork/cactusfork/internal/request/quota"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// maxWorkspaceLines bounds the status page of the workspaces.
const maxWorkspaceLines = 200

// quotas are a daemon's parts in the limits of workspaces.
type quotas struct {
	issuer *quota.Issuer
	client *quota.Client
	// fleet holds the issuers of the list of daemons that was used last.
	fleet atomic.Pointer[listedFleet]
}

// listedFleet is what a list of daemons means for quotas.
type listedFleet struct {
	list *[]placement.Peer
	view quota.View
}

func newQuotas(d *Daemon) *quotas {
	q := &quotas{issuer: quota.NewIssuer(d.clk, d.set.Quota.Window, issuing.Tolerance{
		Overage: float64(d.set.Quota.OveragePercent) / 100, Slack: float64(d.set.Quota.Slack),
	})}
	q.client = quota.NewClient(quota.Config{
		Self: d.id, DataCentre: group.DataCentre(d.set.Daemon.DataCentre), Clock: d.clk, Issuer: q.issuer, View: d.quotaView,
		Send: quota.Sender(socket.Dialer(peerLimits).DialContext), Count: d.count, Report: d.logQuotaRefusal,
	})
	return q
}

// admit takes one operation out of the limit of a workspace.
func (d *Daemon) admit(ctx context.Context, w *workspace.Workspace, deadline clock.Millis) error {
	return d.quota.client.Take(ctx, w, topology.Version(w.Version), deadline)
}

// refund gives back an operation that was not run.
func (d *Daemon) refund(w *workspace.Workspace, arrived clock.Millis) {
	if w.Limited {
		d.quota.client.Return(w.ID, arrived)
	}
}

// quotaView returns the daemons that issue tokens.
//
// While the list of daemons is unknown or, at the first start of a whole fleet, incomplete, no limit can be checked: daemons that know
// only themselves would each grant the whole. A daemon whose own entry is not listed yet asks those that are. Daemons without mirror
// addresses can't ask each other, so each grants itself an equal part.
func (d *Daemon) quotaView() quota.View {
	if d.set.Daemon.PeerAddress == "" {
		return quota.View{Share: 1} // it knows of no other daemon
	}
	if d.peers.reads.Load() == 0 || d.isFirstFleetStart() {
		return quota.View{}
	}
	list := d.peers.list.Load()
	if f := d.quota.fleet.Load(); f != nil && f.list == list {
		return f.view
	}
	f := &listedFleet{list: list, view: viewOf(*list, d.id)}
	d.quota.fleet.Store(f)
	return f.view
}

// viewOf returns what a list of daemons means for the quotas of the daemon with the ID.
func viewOf(list []placement.Peer, self group.DaemonID) quota.View {
	for i := range list {
		if list[i].MirrorAddress != "" {
			return quota.View{Fleet: issuing.NewFleet(list)}
		}
	}
	if placement.Contains(list, self) {
		return quota.View{Share: len(list)}
	}
	return quota.View{Share: len(list) + 1}
}

// logQuotaRefusal logs some of the refusals.
func (d *Daemon) logQuotaRefusal(r *quota.Refusal) {
	d.log.Info("operation over the limit of its workspace", zap.String("workspace", string(r.Workspace)), zap.Float64("per-second", r.Limit.PerSecond),
		zap.Float64("burst", r.Limit.Burst), zap.Uint64("version", uint64(r.Version)), zap.Any("issuers", r.Issuers), zap.Bool("unchecked", r.Unchecked),
		zap.Int64("retry-after-ms", int64(r.RetryAfter)))
}

// writeWorkspaces writes what this daemon issues to the busiest workspaces, one line each.
func (d *Daemon) writeWorkspaces(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintln(w, "workspace version per-second burst parts part-per-second used-per-second used") // a write error means that the client has disconnected
	for _, s := range d.quota.issuer.Busiest(maxWorkspaceLines) {
		used := 0.0
		if s.PerSecond > 0 {
			used = s.Used / s.PerSecond
		}
		_, _ = fmt.Fprintf(w, "%s %d %g %g %d %.2f %.2f %.0f%%\n", s.Workspace, s.Version, s.Limit.PerSecond, s.Limit.Burst, s.Parts, s.PerSecond, s.Used, 100*used)
	}
}
