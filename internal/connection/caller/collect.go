package caller

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/target"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
)

// errTerminated means that the caller sent Terminate.
var errTerminated = errors.New("caller sent Terminate")

// unsupportedCode is the SQLSTATE for statements and messages that the proxy does not relay.
const unsupportedCode refusal.Code = "0A000"

// unsupported refuses what the proxy does not relay.
func unsupported(what string) *refusal.Error {
	return &refusal.Error{
		Code:    unsupportedCode,
		Message: what + " is not supported through the proxy",
		Detail:  refusal.NotRunDetail,
		NotRun:  true,
	}
}

// readExchange reads the caller's messages until the exchange is complete.
func (c *conn) readExchange() error {
	c.exchange.reset()
	c.reply.reset()
	c.releaseExchange()
	if err := c.chargeState(); err != nil {
		return err
	}
	for {
		msg, err := c.receive()
		if err != nil {
			return fmt.Errorf("read from caller: %w", err)
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return errTerminated
		}
		if c.skipToSync {
			if _, ok := msg.(*pgproto3.Sync); !ok {
				continue
			}
		}
		done, err := c.handleMessage(msg)
		if err != nil || done {
			return err
		}
		if c.exceedsLimits() {
			return &refusal.Error{Code: "54000", Message: "exchange is too long", Detail: refusal.NotRunDetail, NotRun: true}
		}
	}
}

// maxSteps limits, each for itself, the messages of an exchange and the prepared statements and portals of a connection.
const maxSteps = 1 << 14

// exceedsLimits reports whether the exchange or the caller's statements and portals exceed what a connection may hold.
func (c *conn) exceedsLimits() bool {
	x := &c.exchange
	return len(x.buf) > c.server.cfg.MaxExchangeBytes || len(x.steps) > maxSteps ||
		len(c.prepared) > maxSteps || len(c.portals) > maxSteps
}

// handleMessage adds a message to the exchange and reports whether the exchange is complete.
func (c *conn) handleMessage(msg pgproto3.FrontendMessage) (bool, error) {
	x := &c.exchange
	switch m := msg.(type) {
	case *pgproto3.Query:
		x.simple, x.sql = true, m.String
		x.statements = parseStatements(x.statements, m.String)
		return true, x.add(0, m, nil)
	case *pgproto3.Parse:
		return false, c.addParse(m)
	case *pgproto3.Bind:
		return false, c.addBind(m)
	case *pgproto3.Describe:
		return false, c.addDescribe(m)
	case *pgproto3.Execute:
		if p := c.portals[m.Portal]; p != nil {
			x.statements = append(x.statements, p.statements...)
		}
		return false, x.add(stepExecute, m, c.portals[m.Portal])
	case *pgproto3.Close:
		return false, c.addClose(m)
	case *pgproto3.Sync:
		return true, nil
	case *pgproto3.Flush:
		return c.handleFlush(), nil
	case *pgproto3.FunctionCall:
		x.refusalErr = unsupported("function call")
		return true, nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// The caller sends these after a COPY that was refused.
		return false, nil
	default:
		return false, fmt.Errorf("unexpected message %T from caller", msg)
	}
}

// handleFlush reports whether a Flush ends the exchange. It may do so inside a transaction or if nothing was executed, since the Sync that the target then receives commits nothing.
func (c *conn) handleFlush() bool {
	x := &c.exchange
	if len(x.steps) == 0 {
		return false
	}
	if len(x.statements) > 0 && !c.tx.open {
		x.refusalErr = unsupported("flush behind execute outside a transaction")
		return false
	}
	x.endedByFlush = true
	return true
}

// addParse adds a Parse under the proxy's name for the statement and records the statement.
func (c *conn) addParse(m *pgproto3.Parse) error {
	existing, redefinesName := c.prepared[m.Name]
	redefinesName = redefinesName && m.Name != ""
	if redefinesName {
		// The Parse goes to the target under a name that exists there, so that the target replies with its own error.
		m.Name = string(existing.name)
		err := c.exchange.add(stepParse, m, existing)
		c.exchange.steps[len(c.exchange.steps)-1].redefinesName = true
		return err
	}
	s := &preparedStatement{statements: parseStatements(nil, m.Query)}
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
	c.setPrepared(name, s)
	return nil
}

func (c *conn) addBind(m *pgproto3.Bind) error {
	s := c.prepared[m.PreparedStatement]
	c.portals[m.DestinationPortal] = s
	if s != nil {
		m.PreparedStatement = string(s.name)
	}
	return c.exchange.add(stepBind, m, s)
}

func (c *conn) addDescribe(m *pgproto3.Describe) error {
	if m.ObjectType != 'S' {
		return c.exchange.add(stepDescribePortal, m, c.portals[m.Name])
	}
	s := c.prepared[m.Name]
	if s != nil {
		m.Name = string(s.name)
	}
	return c.exchange.add(stepDescribeStatement, m, s)
}

func (c *conn) addClose(m *pgproto3.Close) error {
	if m.ObjectType != 'S' {
		delete(c.portals, m.Name)
		return c.exchange.add(stepClosePortal, m, nil)
	}
	c.dropPrepared(m.Name)
	return c.exchange.add(stepCloseStatement, m, nil)
}
