package target

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
)

// maxPreparedStatements is how many statements are kept prepared on one connection.
const maxPreparedStatements = 256

// StatementName is the name under which the proxy prepares a statement on a target.
type StatementName string

// NameOf returns the proxy's name of a statement: the same for the same query and parameter types.
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

// preparedStatements keeps which statements a connection holds, in the order of their preparation.
type preparedStatements struct {
	names map[StatementName]bool
	order []StatementName
}

func newPreparedStatements() preparedStatements {
	return preparedStatements{names: map[StatementName]bool{}}
}

// HasPrepared reports whether the statement is prepared on this connection.
func (c *Conn) HasPrepared(n StatementName) bool { return c.prepared.names[n] }

// AddPrepared notes that the statement is being prepared, and returns the one that gives way to it, if any.
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

// RemovePrepared notes that the statement is not prepared on this connection after all.
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

// ClearPrepared notes that the target has forgotten all prepared statements.
func (c *Conn) ClearPrepared() { c.prepared = newPreparedStatements() }
