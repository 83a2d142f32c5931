package caller

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"
)

// reply is what goes to the caller, held back until it may.
type reply struct {
	buf []byte
	// forwarded is true once any of it was written to the caller.
	forwarded bool
	hasError  bool
	errorCode string
	// committed is true once a COMMIT was answered inside the exchange.
	committed      bool
	rolledBack     bool
	deallocatedAll bool
	// completions is how many statements were answered.
	completions int
	status      byte
}

func (a *reply) reset() {
	if cap(a.buf) > maxRetainedBytes {
		a.buf = nil
	}
	*a = reply{buf: a.buf[:0]}
}

// add encodes a message; messages of a target always encode.
func (a *reply) add(msg pgproto3.BackendMessage) {
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

// noteCommandTag notes what a command tag says about the transaction and the prepared statements.
func (a *reply) noteCommandTag(t []byte) {
	switch {
	case bytes.Equal(t, tagCommit):
		a.committed = true
	case bytes.Equal(t, tagRollback):
		a.rolledBack = true
	case bytes.Equal(t, tagDiscardAll), bytes.Equal(t, tagDeallocateAll):
		a.deallocatedAll = true
	}
}
