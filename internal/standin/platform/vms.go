package platform

import (
	api "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// vmList shows each state once its lag has passed.
type vmList struct {
	lag     clock.Millis
	shown   []api.VM
	pending []vmState
}

type vmState struct {
	due clock.Millis
	vms []api.VM
}

// at returns the newest state that is due.
func (l *vmList) at(now clock.Millis) []api.VM {
	for len(l.pending) > 0 && l.pending[0].due <= now {
		l.shown = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return l.shown
}

// SetVMs sets the true list, which callers see once the lag has passed.
func (s *Server) SetVMs(vms []api.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clk.Now()
	s.vms.at(now)
	copied := append([]api.VM{}, vms...)
	s.vms.pending = append(s.vms.pending, vmState{due: now + s.vms.lag, vms: copied})
}

// SetVMLag sets how far the list lags behind from now on.
func (s *Server) SetVMLag(lag clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.lag = lag
}
