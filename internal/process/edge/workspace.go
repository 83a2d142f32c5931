package edge

import (
	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/relay"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// identify returns the workspace for which a session may use the route, or why it may not. A daemon whose configuration may be out of
// date does not say that a key is unknown, because a newer version may hold it.
func (d *Daemon) identify(s *relay.Startup, forwarded bool, r *topology.Route) (*workspace.Workspace, *statement.Refusal) {
	cfg := d.view.Load().config
	if cfg == nil || cfg.Workspaces == nil {
		return nil, nil
	}
	if forwarded {
		w := cfg.Workspaces.Get(s.Workspace)
		if w == nil && (s.Workspace != "" || !r.Public) {
			return nil, &statement.Refusal{Code: statement.Busy, Text: statement.ReasonUnknownWorkspace + ", come back in 500 ms"}
		}
		return w, nil
	}
	w := cfg.Workspaces.Find(s.Key)
	if w != nil || r.Public {
		return w, nil
	}
	if !d.configCurrent() {
		d.count("keys-unverified")
		return nil, &statement.Refusal{Code: statement.Busy, Text: "configuration may be out of date, come back in 500 ms"}
	}
	d.count("keys-unknown")
	return nil, &statement.Refusal{Code: statement.NoAuthority, Text: "key is not known"}
}

// configCurrent reports whether the configuration was the newest one within the time that a new one may take to be applied.
func (d *Daemon) configCurrent() bool {
	return d.clk.Now()-clock.Millis(d.configSyncedAt.Load()) < d.set.Platform.ConfigApply
}

// logWorkspaces logs what a configuration says of workspaces and the parts of it that are left out.
func (d *Daemon) logWorkspaces(cfg *topology.Config) {
	for _, err := range cfg.Rejected {
		d.warn("part of the configuration is malformed", err)
	}
	if cfg.Workspaces != nil {
		d.log.Info("workspaces applied", zap.Uint64("version", uint64(cfg.Version)), zap.Int("workspaces", cfg.Workspaces.Len()), zap.Int("keys", cfg.Workspaces.Keys()))
	}
}
