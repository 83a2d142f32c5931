package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/comment"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

type stepKind byte

const (
	stepParse stepKind = iota + 1
	stepBind
	stepDescribeStatement
	stepDescribePortal
	stepExecute
	stepCloseStatement
	stepClosePortal
)

// preparedStatement is one that the caller has prepared.
type preparedStatement struct {
	// name at targets; empty for the unnamed statement, which is parsed anew where it is missing.
	name       target.StatementName
	encoded    []byte
	statements []sqlStatement
}

// sqlStatement is one SQL statement that an exchange executes.
type sqlStatement struct {
	session.Statement
	requestName service.RequestName
}

// step is one message of an extended exchange.
type step struct {
	kind       stepKind
	start, end int
	// stmt is what a parse, bind or describe refers to; nil when the caller has no such statement.
	stmt *preparedStatement
	// name that the caller gave to the statement of a Parse.
	name string
	// redefinesName is true for a Parse under a name that the caller already uses.
	redefinesName bool
	// completed is true once the target has answered it.
	completed bool
}

// exchange is all that a caller sends up to a Sync, or one simple query.
type exchange struct {
	simple bool
	// sql of a simple query.
	sql string
	// endedByFlush is true when a Flush ended it, so that no ReadyForQuery is due.
	endedByFlush bool
	buf          []byte
	steps        []step
	statements   []sqlStatement
	// refusalErr is set when the exchange holds something that the proxy does not relay.
	refusalErr error
}

// maxKeptBytes and maxKeptSteps are what a connection keeps allocated between exchanges.
const (
	maxRetainedBytes = 64 << 10
	maxRetainedSteps = 256
)

func (x *exchange) reset() {
	if cap(x.buf) > maxRetainedBytes {
		x.buf = nil
	}
	if cap(x.steps) > maxRetainedSteps {
		x.steps, x.statements = nil, nil
	}
	*x = exchange{buf: x.buf[:0], steps: x.steps[:0], statements: x.statements[:0]}
}

// add encodes a message into the exchange.
func (x *exchange) add(kind stepKind, msg pgproto3.FrontendMessage, stmt *preparedStatement) error {
	start := len(x.buf)
	buf, err := msg.Encode(x.buf)
	if err != nil {
		return err
	}
	x.buf = buf
	x.steps = append(x.steps, step{kind: kind, start: start, end: len(buf), stmt: stmt})
	return nil
}

// bytes of a step, as they go to a target.
func (x *exchange) bytes(s step) []byte { return x.buf[s.start:s.end] }

// needsTarget reports whether the exchange asks a target for anything.
func (x *exchange) needsTarget() bool {
	if x.simple {
		return true
	}
	for _, s := range x.steps {
		if s.kind != stepCloseStatement {
			return true
		}
	}
	return false
}

// single returns the single statement that the exchange runs.
func (x *exchange) single() (sqlStatement, bool) {
	if len(x.statements) != 1 {
		return sqlStatement{}, false
	}
	return x.statements[0], true
}

// contains reports whether a statement of that kind runs in the exchange.
func (x *exchange) contains(k session.StatementKind) bool {
	for _, r := range x.statements {
		if r.Kind == k {
			return true
		}
	}
	return false
}

// mayCommit reports whether the exchange, inside a transaction, ends with something committed: by a COMMIT, or by itself behind a ROLLBACK.
func (x *exchange) mayCommit() bool {
	return x.contains(session.Commit) || len(x.statements) > 1 && x.contains(session.Rollback)
}

// isReadOnly reports whether all statements read by their form.
func (x *exchange) isReadOnly() bool {
	for i := range x.statements {
		r := &x.statements[i]
		if !r.Reads && !r.isTransactionControl() {
			return false
		}
	}
	return true
}

// parseStatements classifies the statements of a query; they share the name in its trailing comment.
func parseStatements(statements []sqlStatement, sql string) []sqlStatement {
	name := comment.Request(sql)
	for _, s := range session.Split(sql) {
		statements = append(statements, sqlStatement{Statement: session.Parse(s), requestName: name})
	}
	return statements
}

// requestOf returns how the exchange counts: differing names make it an unnamed write, but for what only opens or ends a transaction.
func requestOf(s *service.Service, x *exchange) service.Request {
	if len(x.statements) == 0 {
		return requestOfPrepared(s, x)
	}
	var name service.RequestName
	found := false
	for i := range x.statements {
		r := &x.statements[i]
		if r.requestName == "" && r.isTransactionControl() {
			continue
		}
		if found && r.requestName != name {
			return service.Unnamed("")
		}
		name, found = r.requestName, true
	}
	return s.Request(name)
}

// isTransactionControl reports whether the statement only opens or ends a transaction.
func (r *sqlStatement) isTransactionControl() bool {
	return r.Kind == session.Begin || r.Kind == session.Commit || r.Kind == session.Rollback
}

// requestOfPrepared counts an exchange that only prepares as the request that it prepares.
func requestOfPrepared(s *service.Service, x *exchange) service.Request {
	for _, t := range x.steps {
		if t.stmt != nil && len(t.stmt.statements) > 0 {
			return s.Request(t.stmt.statements[0].requestName)
		}
	}
	return service.Unnamed("")
}
