package entry

import (
	"context"

	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// vmInterval is the time between two reads of the platform's VM list.
const vmInterval = 2 * clock.Second

// watchVMs reads the VM list at intervals until ctx ends, and passes the targets on leaving VMs to the control loop. A failed read
// changes nothing.
func (d *Daemon) watchVMs(ctx context.Context) {
	for {
		if vms, err := d.vms(ctx); err == nil {
			d.loop.SetLeaving(ctx, d.leavingTargets(vms))
		}
		if d.deps.Clock.Sleep(ctx, vmInterval) != nil {
			return
		}
	}
}

// vms reads the VM list from the platform.
func (d *Daemon) vms(ctx context.Context) ([]platform.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.StoreTimeout.Duration())
	defer cancel()
	return d.deps.Store.VMs(ctx)
}

// leavingTargets returns the targets whose VM is marked as leaving.
func (d *Daemon) leavingTargets(vms []platform.VM) []group.TargetID {
	leaving := make(map[string]bool)
	for _, vm := range vms {
		leaving[vm.Address] = vm.Leaving
	}
	var out []group.TargetID
	for _, c := range d.loop.Snapshot().Groups {
		for _, t := range c.View().Record.Targets {
			if leaving[t.Address] {
				out = append(out, t.ID)
			}
		}
	}
	return out
}
