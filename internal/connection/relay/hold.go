package relay

import (
	"github.com/cactusfork/cactusfork/internal/request/statement"
)

// setupEntryBytes is charged for each value or prepared statement besides its text, for its entries in the maps of the session.
const setupEntryBytes = 512

// holdSetup draws what a SET or PREPARE makes the session keep from the account of the daemon. The refusal is nil if the session may
// keep it.
func (s *session) holdSetup(st *statement.Statement) *statement.Refusal {
	if st.Verb != statement.Set && st.Verb != statement.Prepare {
		return nil
	}
	more, entries := len(st.Text)+setupEntryBytes, len(s.setup)+1
	if old, ok := s.setup[setupKey{st.Verb, st.Name}]; ok {
		more -= len(old.Text) + setupEntryBytes
		entries--
	}
	limit := s.server.cfg.MaxSetupBytes
	if limit > 0 && s.setupBytes+more-setupEntryBytes*entries > limit {
		return &statement.Refusal{Code: statement.TooLarge, Text: "values and prepared statements of the session are too large"}
	}
	if s.wire.Memory.Draw(more) != nil {
		return &statement.Refusal{Code: statement.Busy, Text: "daemon is short of memory, come back in 1000 ms"}
	}
	if more < 0 {
		s.wire.Memory.Release(-more)
	}
	s.setupBytes += more
	return nil
}

// settleSetup corrects what the session has drawn, behind a statement that was refused or that dropped something.
func (s *session) settleSetup() {
	held := 0
	for _, st := range s.setup {
		held += len(st.Text) + setupEntryBytes
	}
	s.wire.Memory.Release(s.setupBytes - held)
	s.setupBytes = held
}
