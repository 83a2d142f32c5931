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

// preparedStatement is a statement that the caller has prepared, possibly the unnamed one.
type preparedStatement struct {
	// name is the statement's name at targets. It is empty for the unnamed statement, which is parsed again in each exchange that uses it.
	name target.StatementName
	// encoded is the Parse message with the name at targets, in wire format.
	encoded []byte
	// statements are the SQL statements of the query.
	statements []sqlStatement
}

// sqlStatement is one SQL statement with the request name of its query.
type sqlStatement struct {
	session.Statement
	requestName service.RequestName
}

// step is one message of an exchange.
type step struct {
	kind stepKind
	// start and end delimit the message in the exchange's buf.
	start, end int
	// stmt is the prepared statement to which the message refers; nil if the caller has no such statement.
	stmt *preparedStatement
	// name is the caller's name for the statement of a Parse.
	name string
	// redefinesName is true for a Parse with a name that the caller already uses.
	redefinesName bool
	// completed is true once the target, or the proxy for it, has replied to the message.
	completed bool
}

// exchange is one simple query, or all messages of the extended protocol up to a Sync or Flush.
type exchange struct {
	simple bool
	// sql is the text of a simple query.
	sql string
	// endedByFlush is true if a Flush ended the exchange, so that the caller expects no ReadyForQuery.
	endedByFlush bool
	// buf holds the messages in wire format, with the statement names at targets.
	buf   []byte
	steps []step
	// statements are the SQL statements that the exchange executes.
	statements []sqlStatement
	// refusalErr is not nil if the exchange holds a message that the proxy does not relay.
	refusalErr error
}

// maxRetainedBytes and maxRetainedSteps bound the buffers that a connection keeps allocated between exchanges.
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

// add appends a message to the exchange.
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

// bytes returns the message of a step as it is sent to a target.
func (x *exchange) bytes(s step) []byte { return x.buf[s.start:s.end] }

// needsTarget reports whether the exchange holds anything but the closing of prepared statements, to which the proxy itself replies.
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

// single returns the statement of an exchange that executes exactly one.
func (x *exchange) single() (sqlStatement, bool) {
	if len(x.statements) != 1 {
		return sqlStatement{}, false
	}
	return x.statements[0], true
}

// contains reports whether the exchange executes a statement of that kind.
func (x *exchange) contains(k session.StatementKind) bool {
	for _, s := range x.statements {
		if s.Kind == k {
			return true
		}
	}
	return false
}

// mayCommit reports whether an exchange inside a transaction may commit something: by a COMMIT, or by a statement after a ROLLBACK, which commits by itself.
func (x *exchange) mayCommit() bool {
	return x.contains(session.Commit) || len(x.statements) > 1 && x.contains(session.Rollback)
}

// isReadOnly reports whether the syntax of all statements is read-only, apart from transaction control.
func (x *exchange) isReadOnly() bool {
	for i := range x.statements {
		s := &x.statements[i]
		if !s.Reads && !s.isTransactionControl() {
			return false
		}
	}
	return true
}

// parseStatements appends the classified statements of a query, which share the request name in the query's trailing comment.
func parseStatements(statements []sqlStatement, sql string) []sqlStatement {
	name := comment.RequestName(sql)
	for _, s := range session.Split(sql) {
		statements = append(statements, sqlStatement{Statement: session.Parse(s), requestName: name})
	}
	return statements
}

// requestOf returns the request as which the exchange is routed. Statements with different names make it an unnamed write; transaction control without a name is ignored.
func requestOf(s *service.Service, x *exchange) service.Request {
	if len(x.statements) == 0 {
		return requestOfPrepared(s, x)
	}
	var name service.RequestName
	found := false
	for i := range x.statements {
		stmt := &x.statements[i]
		if stmt.requestName == "" && stmt.isTransactionControl() {
			continue
		}
		if found && stmt.requestName != name {
			return service.Unnamed("")
		}
		name, found = stmt.requestName, true
	}
	return s.Request(name)
}

// isTransactionControl reports whether the statement is a BEGIN, COMMIT or ROLLBACK.
func (s *sqlStatement) isTransactionControl() bool {
	return s.Kind == session.Begin || s.Kind == session.Commit || s.Kind == session.Rollback
}

// requestOfPrepared returns the request of an exchange that executes nothing: that of the first statement to which it refers.
func requestOfPrepared(s *service.Service, x *exchange) service.Request {
	for _, t := range x.steps {
		if t.stmt != nil && len(t.stmt.statements) > 0 {
			return s.Request(t.stmt.statements[0].requestName)
		}
	}
	return service.Unnamed("")
}
