package caller

import (
	"errors"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
)

// textOID is the object ID of type text, which the column of SHOW has.
const textOID = 25

// replyLocally replies to an exchange of at most one statement without a target. The result is one row of value if column is not empty.
func (c *conn) replyLocally(column, value, tag string) error {
	x, rep := &c.exchange, &c.reply
	if x.simple {
		c.addRow(column, value, true)
		rep.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		return c.finishReply(c.tx.status(), false)
	}
	for i := range x.steps {
		x.steps[i].completed = true
		switch x.steps[i].kind {
		case stepParse:
			rep.add(&pgproto3.ParseComplete{})
		case stepBind:
			rep.add(&pgproto3.BindComplete{})
		case stepDescribeStatement:
			rep.add(&pgproto3.ParameterDescription{})
			c.addDescription(column)
		case stepDescribePortal:
			c.addDescription(column)
		case stepExecute:
			c.addRow(column, value, false)
			rep.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		default:
			rep.add(&pgproto3.CloseComplete{})
		}
	}
	return c.finishReply(c.tx.status(), false)
}

// addDescription adds a description of one text column, or NoData if column is empty.
func (c *conn) addDescription(column string) {
	if column == "" {
		c.reply.add(&pgproto3.NoData{})
		return
	}
	c.reply.add(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(column), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1},
	}})
}

// addRow adds a row of one value, after its description if described is true; it adds nothing if column is empty.
func (c *conn) addRow(column, value string, described bool) {
	if column == "" {
		return
	}
	if described {
		c.addDescription(column)
	}
	c.reply.add(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}

// replyWithoutStatements replies to an exchange that is empty or only closes prepared statements.
func (c *conn) replyWithoutStatements() error { return c.replyLocally("", "", "") }

// replyToTokenStatement replies to a SET or SHOW of the session's token.
func (c *conn) replyToTokenStatement() error {
	stmt, ok := c.exchange.single()
	if !ok {
		return c.refuse(unsupported(session.TokenParameter + " together with other statements"))
	}
	if stmt.Kind == session.ShowToken {
		return c.replyLocally(session.TokenParameter, c.session.Token(), "SHOW")
	}
	if err := c.session.AcceptToken(stmt.Value); err != nil {
		return c.refuse(err)
	}
	return c.replyLocally("", "", "SET")
}

// opensTransaction reports whether the exchange consists of just a BEGIN, which is sent to a target only with the next statement.
func (c *conn) opensTransaction() bool {
	stmt, ok := c.exchange.single()
	return ok && stmt.Kind == session.Begin && !c.tx.open
}

func (c *conn) replyToBegin() error {
	stmt, _ := c.exchange.single()
	c.tx = transaction{open: true, pendingBegin: stmt.SQL}
	if stmt.requestName != "" {
		c.tx.request, c.tx.requestNamed = c.service.Request(stmt.requestName), true
	}
	return c.replyLocally("", "", "BEGIN")
}

// endsUnsentTransaction reports whether the exchange consists of just the end of a transaction of which nothing was sent.
func (c *conn) endsUnsentTransaction() bool {
	stmt, ok := c.exchange.single()
	return ok && c.tx.pendingBegin != "" && (stmt.Kind == session.Commit || stmt.Kind == session.Rollback)
}

func (c *conn) replyToUnsentEnd() error {
	stmt, _ := c.exchange.single()
	c.tx = transaction{}
	if stmt.Kind == session.Commit {
		return c.replyLocally("", "", "COMMIT")
	}
	return c.replyLocally("", "", "ROLLBACK")
}

// inFailedTransactionCode is the SQLSTATE of a statement in a failed transaction.
const inFailedTransactionCode refusal.Code = "25P02"

// replyInFailedTransaction replies to an exchange in a transaction that the proxy has failed; only COMMIT and ROLLBACK alone are accepted, and both roll back.
func (c *conn) replyInFailedTransaction() error {
	stmt, ok := c.exchange.single()
	if ok && (stmt.Kind == session.Commit || stmt.Kind == session.Rollback) {
		c.tx = transaction{}
		return c.replyLocally("", "", "ROLLBACK")
	}
	return c.sendError(&refusal.Error{
		Code:    inFailedTransactionCode,
		Message: "current transaction is aborted, commands ignored until end of transaction block",
		Detail:  refusal.NotRunDetail,
		NotRun:  true,
	})
}

// preparesLocally reports whether the exchange only prepares statements that the proxy itself replies to, and returns their result column.
func (c *conn) preparesLocally() (string, bool) {
	x := &c.exchange
	if x.simple || len(x.statements) > 0 {
		return "", false
	}
	column, found := "", false
	for _, s := range x.steps {
		if s.stmt == nil {
			continue
		}
		if len(s.stmt.statements) != 1 || !isLocalKind(s.stmt.statements[0].Kind) {
			return "", false
		}
		if s.stmt.statements[0].Kind == session.ShowToken {
			column = session.TokenParameter
		}
		found = true
	}
	return column, found
}

func isLocalKind(k session.StatementKind) bool {
	switch k {
	case session.SetToken, session.ShowToken, session.Begin, session.Commit, session.Rollback:
		return true
	default:
		return false
	}
}

// isConnectionClosed reports whether the error means that the caller has closed its connection.
func isConnectionClosed(err error) bool {
	return errors.Is(err, errCallerGone) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
