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

// statement is one that the caller has prepared.
type statement struct {
	// name at targets; empty for the unnamed statement, which is parsed anew where it is missing.
	name    target.StatementName
	encoded []byte
	runs    []run
}

// run is one SQL statement that an exchange executes.
type run struct {
	session.Statement
	request service.RequestName
}

// step is one message of an extended exchange.
type step struct {
	kind     stepKind
	from, to int
	// stmt is what a parse, bind or describe refers to; nil when the caller has no such statement.
	stmt *statement
	// name that the caller gave to the statement of a Parse.
	name string
	// again is true for a Parse under a name that the caller already uses.
	again bool
	// done is true once the target has answered it.
	done bool
}

// exchange is all that a caller sends up to a Sync, or one simple query.
type exchange struct {
	simple bool
	// sql of a simple query.
	sql string
	// flush is true when a Flush ended it, so that no ReadyForQuery is due.
	flush bool
	buf   []byte
	steps []step
	runs  []run
	// refused is set when the exchange holds something that the proxy does not relay.
	refused error
}

// maxKeptBytes and maxKeptSteps are what a connection keeps allocated between exchanges.
const (
	maxKeptBytes = 64 << 10
	maxKeptSteps = 256
)

func (x *exchange) reset() {
	if cap(x.buf) > maxKeptBytes {
		x.buf = nil
	}
	if cap(x.steps) > maxKeptSteps {
		x.steps, x.runs = nil, nil
	}
	*x = exchange{buf: x.buf[:0], steps: x.steps[:0], runs: x.runs[:0]}
}

// add encodes a message into the exchange.
func (x *exchange) add(kind stepKind, msg pgproto3.FrontendMessage, stmt *statement) error {
	from := len(x.buf)
	buf, err := msg.Encode(x.buf)
	if err != nil {
		return err
	}
	x.buf = buf
	x.steps = append(x.steps, step{kind: kind, from: from, to: len(buf), stmt: stmt})
	return nil
}

// bytes of a step, as they go to a target.
func (x *exchange) bytes(s step) []byte { return x.buf[s.from:s.to] }

// asks reports whether the exchange asks a target for anything.
func (x *exchange) asks() bool {
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

// only returns the single statement that the exchange runs.
func (x *exchange) only() (run, bool) {
	if len(x.runs) != 1 {
		return run{}, false
	}
	return x.runs[0], true
}

// has reports whether a statement of that kind runs in the exchange.
func (x *exchange) has(k session.StatementKind) bool {
	for _, r := range x.runs {
		if r.Kind == k {
			return true
		}
	}
	return false
}

// mayCommit reports whether the exchange, inside a transaction, ends with something committed: by a COMMIT, or by itself behind a ROLLBACK.
func (x *exchange) mayCommit() bool {
	return x.has(session.Commit) || len(x.runs) > 1 && x.has(session.Rollback)
}

// reads reports whether all statements read by their form.
func (x *exchange) reads() bool {
	for i := range x.runs {
		r := &x.runs[i]
		if !r.Reads && !r.control() {
			return false
		}
	}
	return true
}

// parseRuns classifies the statements of a query; they share the name in its trailing comment.
func parseRuns(list []run, sql string) []run {
	name := comment.Request(sql)
	for _, s := range session.Split(sql) {
		list = append(list, run{Statement: session.Parse(s), request: name})
	}
	return list
}

// requestOf returns how the exchange counts: differing names make it an unnamed write, but for what only opens or ends a transaction.
func requestOf(s *service.Service, x *exchange) service.Request {
	if len(x.runs) == 0 {
		return requestOfSteps(s, x)
	}
	var name service.RequestName
	found := false
	for i := range x.runs {
		r := &x.runs[i]
		if r.request == "" && r.control() {
			continue
		}
		if found && r.request != name {
			return service.Unnamed("")
		}
		name, found = r.request, true
	}
	return s.Request(name)
}

// control reports whether the statement only opens or ends a transaction.
func (r *run) control() bool {
	return r.Kind == session.Begin || r.Kind == session.Commit || r.Kind == session.Rollback
}

// requestOfSteps counts an exchange that only prepares as the request that it prepares.
func requestOfSteps(s *service.Service, x *exchange) service.Request {
	for _, t := range x.steps {
		if t.stmt != nil && len(t.stmt.runs) > 0 {
			return s.Request(t.stmt.runs[0].request)
		}
	}
	return service.Unnamed("")
}
