package caller

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"
)

// answer is what goes to the caller, held back until it may.
type answer struct {
	buf []byte
	// forwarded is true once any of it was written to the caller.
	forwarded bool
	errored   bool
	code      string
	// committed is true once a COMMIT was answered inside the exchange.
	committed  bool
	rolledBack bool
	forgotten  bool
	// completions is how many statements were answered.
	completions int
	status      byte
}

func (a *answer) reset() {
	if cap(a.buf) > maxKeptBytes {
		a.buf = nil
	}
	*a = answer{buf: a.buf[:0]}
}

// add encodes a message; messages of a target always encode.
func (a *answer) add(msg pgproto3.BackendMessage) {
	buf, err := msg.Encode(a.buf)
	if err != nil {
		return
	}
	a.buf = buf
}

var (
	tagCommit        = []byte("COMMIT")
	tagRollback      = []byte("ROLLBACK")
	tagDiscardAll    = []byte("DISCARD ALL")
	tagDeallocateAll = []byte("DEALLOCATE ALL")
)

// tag notes what a command tag says about the transaction and the prepared statements.
func (a *answer) tag(t []byte) {
	switch {
	case bytes.Equal(t, tagCommit):
		a.committed = true
	case bytes.Equal(t, tagRollback):
		a.rolledBack = true
	case bytes.Equal(t, tagDiscardAll), bytes.Equal(t, tagDeallocateAll):
		a.forgotten = true
	}
}
