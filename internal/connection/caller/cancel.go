package caller

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/target"
)

// cancelSecretBytes is the length of the secret of a cancel key in protocol 3.0.
const cancelSecretBytes = 4

// cancelKey lets a caller cancel what its connection runs.
type cancelKey struct {
	id     uint32
	secret [cancelSecretBytes]byte
}

func newCancelKey(id uint32) cancelKey {
	k := cancelKey{id: id}
	// It never fails: the program would end first.
	_, _ = rand.Read(k.secret[:])
	return k
}

func (k cancelKey) message() *pgproto3.BackendKeyData {
	return &pgproto3.BackendKeyData{ProcessID: k.id, SecretKey: k.secret[:]}
}

func (k cancelKey) matches(m *pgproto3.CancelRequest) bool {
	return k.id == m.ProcessID && subtle.ConstantTimeCompare(k.secret[:], m.SecretKey) == 1
}

// errCancelled means that the caller has asked to cancel.
var errCancelled = errors.New("cancelled by the caller")

// handleCancel passes a cancel request on; one whose key fits nothing is dropped without an answer.
func (s *Server) handleCancel(ctx context.Context, m *pgproto3.CancelRequest) {
	s.mu.Lock()
	c := s.conns[m.ProcessID]
	s.mu.Unlock()
	if c == nil || !c.key.matches(m) {
		return
	}
	c.cancelExchange(ctx)
}

// cancelExchange asks the target to cancel, or ends the wait for one.
func (c *conn) cancelExchange(ctx context.Context) {
	if t := c.markCancelled(); t != nil {
		// A target that cannot be reached goes on: the caller may ask again.
		_ = t.Cancel(ctx)
	}
}

// markCancelled returns the connection whose exchange is to be cancelled, which must then serve no other: the cancel may come late.
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
