package target

import (
	"crypto/rand"

	"github.com/jackc/pgx/v5/pgproto3"
)

// keyBytes is the length of the secret key for cancel requests.
const keyBytes = 4

// parameterStatus lists the parameters that the target reports at the start of a session.
var parameterStatus = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// startUp handles the start-up messages and reports whether the session is established. It refuses encryption and handles cancel
// requests, which end the connection.
func (s *session) startUp() bool {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil || s.target.waitWhilePaused(s.ctx) != nil {
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			s.target.cancel(m)
			return false
		case *pgproto3.StartupMessage:
			return s.admit()
		}
	}
}

// admit registers the session if the connection limit allows it, sends the start-up reply and reports whether the session is
// established.
func (s *session) admit() bool {
	_, _ = rand.Read(s.key)
	if !s.target.register(s) {
		s.backend.Send(fatal(codeTooManyConnections, tooManyConnections).response())
		_ = s.flush()
		return false
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for i := range parameterStatus {
		s.backend.Send(&parameterStatus[i])
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.key})
	return s.ready() == nil
}

func (t *Target) register(s *session) bool {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	if t.cfg.Connections > 0 && len(t.sessions) >= t.cfg.Connections {
		return false
	}
	t.lastPID++
	s.pid = t.lastPID
	s.epoch = t.epoch
	t.sessions[s] = true
	return true
}

// cancel interrupts the running statement of the session that the request identifies.
func (t *Target) cancel(m *pgproto3.CancelRequest) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	for s := range t.sessions {
		if s.pid == m.ProcessID && string(s.key) == string(m.SecretKey) && s.interrupt != nil {
			s.interrupt()
		}
	}
}
