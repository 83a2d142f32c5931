package target

import (
	"crypto/rand"

	"github.com/jackc/pgx/v5/pgproto3"
)

const keyBytes = 4

// parameterStatus is what a session is told at its start.
var parameterStatus = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "TimeZone", Value: "UTC"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// startUp answers the start of the session and reports whether it may go on.
func (s *session) startUp() bool {
	for {
		msg, err := s.wire.ReceiveStartupMessage()
		if err != nil || s.t.running(s.ctx) != nil {
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			s.t.cancel(m)
			return false
		case *pgproto3.StartupMessage:
			return s.admit()
		}
	}
}

// admit counts the session against the connection limit and greets it.
func (s *session) admit() bool {
	_, _ = rand.Read(s.key)
	if !s.t.register(s) {
		s.wire.Send(fatal(codeTooManyConnections, tooManyConnections).response())
		_ = s.flush()
		return false
	}
	s.wire.Send(&pgproto3.AuthenticationOk{})
	for i := range parameterStatus {
		s.wire.Send(&parameterStatus[i])
	}
	s.wire.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.key})
	return s.ready() == nil
}

func (t *Target) register(s *session) bool {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	if t.cfg.Connections > 0 && len(t.sessions) >= t.cfg.Connections {
		return false
	}
	t.lastPID++
	s.pid = t.lastPID
	s.epoch = t.epoch
	t.sessions[s] = true
	return true
}

func (t *Target) cancel(m *pgproto3.CancelRequest) {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	for s := range t.sessions {
		if s.pid == m.ProcessID && string(s.key) == string(m.SecretKey) && s.interrupt != nil {
			s.interrupt()
		}
	}
}
