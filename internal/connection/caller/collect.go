package caller

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
)

// errTerminated means that the caller said goodbye.
var errTerminated = errors.New("caller terminated")

// unsupportedCode is the SQLSTATE of what the proxy does not relay.
const unsupportedCode refusal.Code = "0A000"

func unsupported(what string) *refusal.Error {
	return &refusal.Error{
		Code:    unsupportedCode,
		Message: what + " is not supported through the proxy",
		Detail:  refusal.NotRunDetail,
		NotRun:  true,
	}
}

// collect reads messages until the exchange is complete.
func (c *conn) collect() error {
	c.exchange.reset()
	for {
		msg, err := c.back.Receive()
		if err != nil {
			return fmt.Errorf("read from caller: %w", err)
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return errTerminated
		}
		if c.skipping {
			if _, ok := msg.(*pgproto3.Sync); !ok {
				continue
			}
		}
		done, err := c.take(msg)
		if err != nil || done {
			return err
		}
		if c.tooMuch() {
			return &refusal.Error{Code: "54000", Message: "exchange is too long", Detail: refusal.NotRunDetail, NotRun: true}
		}
	}
}

// maxSteps bounds the messages of an exchange, the prepared statements and the portals of a caller.
const maxSteps = 1 << 14

// tooMuch reports whether the caller has sent more than the connection is to keep.
func (c *conn) tooMuch() bool {
	x := &c.exchange
	return len(x.buf) > c.server.cfg.MaxExchange || len(x.steps) > maxSteps ||
		len(c.statements) > maxSteps || len(c.portals) > maxSteps
}

// take adds a message to the exchange and reports whether that completes it.
func (c *conn) take(msg pgproto3.FrontendMessage) (bool, error) {
	x := &c.exchange
	switch m := msg.(type) {
	case *pgproto3.Query:
		x.simple, x.sql = true, m.String
		x.runs = parseRuns(x.runs, m.String)
		return true, x.add(0, m, nil)
	case *pgproto3.Parse:
		return false, c.takeParse(m)
	case *pgproto3.Bind:
		return false, c.takeBind(m)
	case *pgproto3.Describe:
		return false, c.takeDescribe(m)
	case *pgproto3.Execute:
		if p := c.portals[m.Portal]; p != nil {
			x.runs = append(x.runs, p.runs...)
		}
		return false, x.add(stepExecute, m, c.portals[m.Portal])
	case *pgproto3.Close:
		return false, c.takeClose(m)
	case *pgproto3.Sync:
		return true, nil
	case *pgproto3.Flush:
		return c.takeFlush(), nil
	case *pgproto3.FunctionCall:
		x.refused = unsupported("function call")
		return true, nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// What is left of a copy that was refused.
		return false, nil
	default:
		return false, fmt.Errorf("unexpected %T", msg)
	}
}

// takeFlush ends the exchange early where that has no effect at a target: inside a transaction, or when nothing was executed.
func (c *conn) takeFlush() bool {
	x := &c.exchange
	if len(x.steps) == 0 {
		return false
	}
	if len(x.runs) > 0 && !c.tx.open {
		x.refused = unsupported("flush behind execute outside a transaction")
		return false
	}
	x.flush = true
	return true
}

func (c *conn) takeParse(m *pgproto3.Parse) error {
	held, again := c.statements[m.Name]
	again = again && m.Name != ""
	if again {
		// The same name at a target makes the target refuse it.
		m.Name = string(held.name)
		err := c.exchange.add(stepParse, m, held)
		c.exchange.steps[len(c.exchange.steps)-1].again = true
		return err
	}
	s := &statement{runs: parseRuns(nil, m.Query)}
	name := m.Name
	if name != "" {
		s.name = target.NameOf(m)
	}
	m.Name = string(s.name)
	if err := c.exchange.add(stepParse, m, s); err != nil {
		return err
	}
	last := &c.exchange.steps[len(c.exchange.steps)-1]
	last.name = name
	s.encoded = append([]byte(nil), c.exchange.bytes(*last)...)
	c.statements[name] = s
	return nil
}

func (c *conn) takeBind(m *pgproto3.Bind) error {
	s := c.statements[m.PreparedStatement]
	c.portals[m.DestinationPortal] = s
	if s != nil {
		m.PreparedStatement = string(s.name)
	}
	return c.exchange.add(stepBind, m, s)
}

func (c *conn) takeDescribe(m *pgproto3.Describe) error {
	if m.ObjectType != 'S' {
		return c.exchange.add(stepDescribePortal, m, c.portals[m.Name])
	}
	s := c.statements[m.Name]
	if s != nil {
		m.Name = string(s.name)
	}
	return c.exchange.add(stepDescribeStatement, m, s)
}

func (c *conn) takeClose(m *pgproto3.Close) error {
	if m.ObjectType != 'S' {
		delete(c.portals, m.Name)
		return c.exchange.add(stepClosePortal, m, nil)
	}
	delete(c.statements, m.Name)
	return c.exchange.add(stepCloseStatement, m, nil)
}
