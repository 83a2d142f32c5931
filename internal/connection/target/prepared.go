package target

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
)

// maxPreparedStatements is the number of statements that stay prepared on one connection.
const maxPreparedStatements = 256

// StatementName is the name under which the proxy prepares a statement at a target.
type StatementName string

// NameOf returns the proxy's name for a statement; the name depends only on the query and its parameter types.
func NameOf(m *pgproto3.Parse) StatementName {
	h := xxhash.New()
	_, _ = h.WriteString(m.Query)
	var b [4]byte
	for _, oid := range m.ParameterOIDs {
		binary.BigEndian.PutUint32(b[:], oid)
		_, _ = h.Write(b[:])
	}
	return StatementName(fmt.Sprintf("cactusfork_%016x_%d", h.Sum64(), len(m.Query)))
}

// preparedStatements records the statements that are prepared on a connection, oldest first.
type preparedStatements struct {
	names map[StatementName]bool
	order []StatementName
}

func newPreparedStatements() preparedStatements {
	return preparedStatements{names: map[StatementName]bool{}}
}

// HasPrepared reports whether the statement is prepared on this connection.
func (c *Conn) HasPrepared(n StatementName) bool { return c.prepared.names[n] }

// AddPrepared records that the statement is being prepared. If that evicts the oldest statement, it returns that statement and true, and the statement has to be closed at the target.
func (c *Conn) AddPrepared(n StatementName) (StatementName, bool) {
	p := &c.prepared
	if p.names[n] {
		return "", false
	}
	p.names[n] = true
	p.order = append(p.order, n)
	if len(p.order) <= maxPreparedStatements {
		return "", false
	}
	evicted := p.order[0]
	p.order = p.order[1:]
	delete(p.names, evicted)
	return evicted, true
}

// RemovePrepared records that the statement is not prepared on this connection, since its Parse did not run.
func (c *Conn) RemovePrepared(n StatementName) {
	p := &c.prepared
	if !p.names[n] {
		return
	}
	delete(p.names, n)
	for i, v := range p.order {
		if v == n {
			p.order = append(p.order[:i], p.order[i+1:]...)
			return
		}
	}
}

// ClearPrepared records that the target has deallocated all prepared statements.
func (c *Conn) ClearPrepared() { c.prepared = newPreparedStatements() }
