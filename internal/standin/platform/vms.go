package platform

import (
	api "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// vmList is a list of VMs that shows each change only after a lag.
type vmList struct {
	lag     clock.Millis
	visible []api.VM
	pending []vmState
}

// vmState is a list of VMs that becomes visible at due.
type vmState struct {
	due clock.Millis
	vms []api.VM
}

// at returns the newest list that is due at now.
func (l *vmList) at(now clock.Millis) []api.VM {
	for len(l.pending) > 0 && l.pending[0].due <= now {
		l.visible = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return l.visible
}

// SetVMs sets the list of VMs, which becomes visible after the lag.
func (s *Server) SetVMs(vms []api.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Now()
	s.vms.at(now)
	copied := append([]api.VM{}, vms...)
	s.vms.pending = append(s.vms.pending, vmState{due: now + s.vms.lag, vms: copied})
}

// SetVMLag sets the lag of later calls to SetVMs.
func (s *Server) SetVMLag(lag clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.lag = lag
}
