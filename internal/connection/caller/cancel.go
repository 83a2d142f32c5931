package caller

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/target"
)

// cancelSecretBytes is the length of a cancel key's secret in protocol 3.0.
const cancelSecretBytes = 4

// cancelKey identifies a connection in a cancel request and authenticates the request.
type cancelKey struct {
	id     uint32
	secret [cancelSecretBytes]byte
}

func newCancelKey(id uint32) cancelKey {
	k := cancelKey{id: id}
	// rand.Read never returns an error: it crashes the program instead.
	_, _ = rand.Read(k.secret[:])
	return k
}

func (k cancelKey) message() *pgproto3.BackendKeyData {
	return &pgproto3.BackendKeyData{ProcessID: k.id, SecretKey: k.secret[:]}
}

func (k cancelKey) matches(m *pgproto3.CancelRequest) bool {
	return k.id == m.ProcessID && subtle.ConstantTimeCompare(k.secret[:], m.SecretKey) == 1
}

// errCancelled means that the caller sent a cancel request.
var errCancelled = errors.New("cancelled by the caller")

// handleCancel forwards a cancel request to the target of its connection; a request with a wrong key is ignored without a reply.
func (s *Server) handleCancel(ctx context.Context, m *pgproto3.CancelRequest) {
	s.mu.Lock()
	c := s.conns[m.ProcessID]
	s.mu.Unlock()
	if c == nil || !c.key.matches(m) {
		return
	}
	c.cancelExchange(ctx)
}

// cancelExchange sends a cancel request to the target of the running exchange, or ends the wait for a lease.
func (c *conn) cancelExchange(ctx context.Context) {
	if t := c.markCancelled(); t != nil {
		// If the target cannot be reached, the statement continues, and the caller may send another cancel request.
		_ = t.Cancel(ctx)
	}
}

// markCancelled returns the target connection of the running exchange, or nil. It excludes that connection from reuse, since a late cancel request would hit the next exchange on it.
func (c *conn) markCancelled() *target.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseExecuting {
		return nil
	}
	if c.lease == nil {
		c.cancel(errCancelled)
		return nil
	}
	c.noReuse = true
	return c.lease.Conn
}
