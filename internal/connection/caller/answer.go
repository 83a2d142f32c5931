package caller

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"
)

// reply is the reply to an exchange, which is held back until it may go to the caller.
type reply struct {
	buf []byte
	// forwarded is true once any part of the reply was written to the caller.
	forwarded bool
	// hasError is true once the reply holds an error of the target, and errorCode its SQLSTATE.
	hasError  bool
	errorCode string
	// committed is true once the target has completed a COMMIT of the exchange.
	committed  bool
	rolledBack bool
	// deallocatedAll is true once the target has dropped all its prepared statements.
	deallocatedAll bool
	// completions is the number of statements of a simple query that the target has completed.
	completions int
	// status is the transaction status of the target's ReadyForQuery.
	status byte
}

func (a *reply) reset() {
	if cap(a.buf) > maxRetainedBytes {
		a.buf = nil
	}
	*a = reply{buf: a.buf[:0]}
}

// add appends a message; encoding cannot fail for messages that a target has sent.
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

// noteCommandTag records what a command tag implies for the transaction and the prepared statements.
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
