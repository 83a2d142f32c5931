package caller

import (
	"errors"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
)

// textOID is the type of SHOW's column.
const textOID = 25

// answerLocally answers an exchange of one statement without a target.
func (c *conn) answerLocally(column, value, tag string) error {
	x, ans := &c.exchange, &c.answer
	if x.simple {
		c.addRow(column, value, true)
		ans.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		return c.finish(c.tx.status(), false)
	}
	for i := range x.steps {
		x.steps[i].done = true
		switch x.steps[i].kind {
		case stepParse:
			ans.add(&pgproto3.ParseComplete{})
		case stepBind:
			ans.add(&pgproto3.BindComplete{})
		case stepDescribeStatement:
			ans.add(&pgproto3.ParameterDescription{})
			c.addDescription(column)
		case stepDescribePortal:
			c.addDescription(column)
		case stepExecute:
			c.addRow(column, value, false)
			ans.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		default:
			ans.add(&pgproto3.CloseComplete{})
		}
	}
	return c.finish(c.tx.status(), false)
}

func (c *conn) addDescription(column string) {
	if column == "" {
		c.answer.add(&pgproto3.NoData{})
		return
	}
	c.answer.add(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(column), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1},
	}})
}

func (c *conn) addRow(column, value string, described bool) {
	if column == "" {
		return
	}
	if described {
		c.addDescription(column)
	}
	c.answer.add(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}

// answerClosed answers an exchange that only closes statements, or is empty.
func (c *conn) answerClosed() error { return c.answerLocally("", "", "") }

// answerToken takes or shows the session's token.
func (c *conn) answerToken() error {
	r, ok := c.exchange.only()
	if !ok {
		return c.refuse(unsupported(session.TokenParameter + " together with other statements"))
	}
	if r.Kind == session.ShowToken {
		return c.answerLocally(session.TokenParameter, c.session.Token(), "SHOW")
	}
	if err := c.session.Accept(r.Value); err != nil {
		return c.refuse(err)
	}
	return c.answerLocally("", "", "SET")
}

// opensTransaction reports whether the exchange is nothing but a BEGIN, which can wait for the first statement.
func (c *conn) opensTransaction() bool {
	r, ok := c.exchange.only()
	return ok && r.Kind == session.Begin && !c.tx.open
}

func (c *conn) answerBegin() error {
	r, _ := c.exchange.only()
	c.tx = transaction{open: true, begin: r.SQL}
	if r.request != "" {
		c.tx.request, c.tx.named = c.service.Request(r.request), true
	}
	return c.answerLocally("", "", "BEGIN")
}

// endsUnsent reports whether the exchange ends a transaction of which nothing was sent.
func (c *conn) endsUnsent() bool {
	r, ok := c.exchange.only()
	return ok && c.tx.begin != "" && (r.Kind == session.Commit || r.Kind == session.Rollback)
}

func (c *conn) answerUnsentEnd() error {
	r, _ := c.exchange.only()
	c.tx = transaction{}
	if r.Kind == session.Commit {
		return c.answerLocally("", "", "COMMIT")
	}
	return c.answerLocally("", "", "ROLLBACK")
}

// failedCode is the error of a statement in a failed transaction.
const failedCode refusal.Code = "25P02"

// answerFailed answers in a transaction that the proxy has failed: only its end is taken.
func (c *conn) answerFailed() error {
	r, ok := c.exchange.only()
	if ok && (r.Kind == session.Commit || r.Kind == session.Rollback) {
		c.tx = transaction{}
		return c.answerLocally("", "", "ROLLBACK")
	}
	return c.sendError(&refusal.Error{
		Code:    failedCode,
		Message: "current transaction is aborted, commands ignored until end of transaction block",
		Detail:  refusal.NotRunDetail,
		NotRun:  true,
	})
}

// preparesLocal reports whether the exchange only prepares statements that the proxy answers itself, and the column that they return.
func (c *conn) preparesLocal() (string, bool) {
	x := &c.exchange
	if x.simple || len(x.runs) > 0 {
		return "", false
	}
	column, found := "", false
	for _, s := range x.steps {
		if s.stmt == nil {
			continue
		}
		if len(s.stmt.runs) != 1 || !localKind(s.stmt.runs[0].Kind) {
			return "", false
		}
		if s.stmt.runs[0].Kind == session.ShowToken {
			column = session.TokenParameter
		}
		found = true
	}
	return column, found
}

func localKind(k session.StatementKind) bool {
	switch k {
	case session.SetToken, session.ShowToken, session.Begin, session.Commit, session.Rollback:
		return true
	default:
		return false
	}
}

// isGone reports whether the error says that the caller has closed its connection.
func isGone(err error) bool {
	return errors.Is(err, errGone) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
