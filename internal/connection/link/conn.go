package link

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusfork/cactusfork/internal/connection/socket"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// maxPrepared is the number of prepared statements on a connection at which a Reset drops them all.
const maxPrepared = 128

// ErrSetupRefused means that a target has refused to set a session value or to prepare a statement. The connection stays usable.
var ErrSetupRefused = errors.New("target refused a value or prepared statement of the session")

// Prepared is a statement shape that a caller has prepared.
type Prepared struct {
	Shape  statement.Shape
	Writes bool
	// name is the same for equal shapes.
	name string
}

// NewPrepared returns the shape with the name that it has on target connections: a hash of the shape behind "r" or, if it
// writes, "w".
func NewPrepared(shape statement.Shape, writes bool) *Prepared {
	kind := "r"
	if writes {
		kind = "w"
	}
	return &Prepared{Shape: shape, Writes: writes, name: kind + strconv.FormatUint(xxhash.Sum64String(string(shape)), 36)}
}

// Name returns the name of the statement on target connections.
func (p *Prepared) Name() string { return p.name }

// Conn is one connection to a target. It must be used by one goroutine at a time.
type Conn struct {
	Target group.TargetID
	// workspace is the workspace of the connection; empty for one that carries statements without a workspace.
	workspace workspace.ID
	wire      Wire
	tcp       net.Conn
	clk       *clock.Clock
	// values are the session values in force on the connection, and prepared the names of its prepared statements.
	values   Values
	prepared map[string]bool
	// setupUnknown is true after a refused setup, which may be in force in part. The next setup starts with a Reset.
	setupUnknown bool
	// state is the transaction state of the last reply.
	state statement.State
	// lastSend is when the last command was sent, and lastReply when the last reply arrived.
	lastSend  clock.Millis
	lastReply clock.Millis
	// broken is true after the connection was closed.
	broken bool
	// pending is the number of outstanding replies.
	pending int
}

// newConn returns a connection whose startup has succeeded.
func newConn(id group.TargetID, ws workspace.ID, w Wire, tcp net.Conn, clk *clock.Clock) *Conn {
	return &Conn{Target: id, workspace: ws, wire: w, tcp: tcp, clk: clk, prepared: make(map[string]bool), lastReply: clk.Now()}
}

// IdleTime returns the time since the last reply.
func (c *Conn) IdleTime() clock.Millis { return c.clk.Now() - c.lastReply }

// LastSend returns when the last command was sent.
func (c *Conn) LastSend() clock.Millis { return c.lastSend }

// Broken reports whether the connection was closed by Break.
func (c *Conn) Broken() bool { return c.broken }

// Pending returns the number of outstanding replies.
func (c *Conn) Pending() int { return c.pending }

// Break closes the connection, which cannot be used afterwards.
func (c *Conn) Break() {
	c.broken = true
	_ = c.wire.Close() // the connection is not used again
}

// Send writes commands. Their replies have to be received in order.
func (c *Conn) Send(deadline clock.Millis, commands ...Command) error {
	c.pending += len(commands)
	c.lastSend = c.clk.Now()
	if err := c.wire.Send(c.clk.Deadline(deadline), commands...); err != nil {
		c.Break()
		return err
	}
	return nil
}

// Receive reads the next reply. The connection stays usable after a time-out; any other error breaks it.
func (c *Conn) Receive(deadline clock.Millis) (Reply, error) {
	r, err := c.wire.Receive(c.clk.Deadline(deadline))
	if socket.IsTimeout(err) {
		return r, err
	}
	if err != nil {
		c.Break()
		return r, err
	}
	c.pending--
	c.lastReply = c.clk.Now()
	c.state = r.State
	return r, nil
}

// Setup puts the values v and, unless p is nil, the prepared statement p in force on the connection. It returns only after the
// target has confirmed them, because a statement that is sent together with a setup runs even if the target refuses the setup. The
// error of a refusal wraps ErrSetupRefused; any other error breaks the connection.
func (c *Conn) Setup(deadline clock.Millis, v *Values, p *Prepared) error {
	commands := c.setupCommands(v, p)
	if len(commands) == 0 {
		return nil
	}
	before := c.state
	if err := c.Send(deadline, commands...); err != nil {
		return fmt.Errorf("send setup: %w", err)
	}
	var refused error
	for range commands {
		r, err := c.Receive(deadline)
		if err != nil {
			c.Break()
			return fmt.Errorf("receive reply to setup: %w", err)
		}
		if !r.Completed && refused == nil {
			refused = fmt.Errorf("%s %s: %w", r.Code, r.Text, ErrSetupRefused)
		}
	}
	c.setupUnknown = refused != nil
	if refused != nil && c.state != before {
		c.Break()
	}
	return refused
}

// setupCommands returns the commands that put v and p in force, and records them as in force.
func (c *Conn) setupCommands(v *Values, p *Prepared) []Command {
	list, reset := v.commands(&c.values)
	if c.setupUnknown {
		list, reset = c.resetAll(v), true
	}
	if len(list) > 0 {
		c.values = v.clone()
	}
	if reset {
		clear(c.prepared)
	}
	if p != nil && !c.prepared[p.name] {
		if len(c.prepared) >= maxPrepared {
			list = c.resetAll(v)
			clear(c.prepared)
		}
		c.prepared[p.name] = true
		list = append(list, Command{Kind: Prepare, Name: p.name, Text: string(p.Shape), Writes: p.Writes})
	}
	return list
}

// resetAll returns the commands that drop all values and prepared statements and then set every value of v.
func (c *Conn) resetAll(v *Values) []Command {
	list, _ := v.commands(&Values{})
	return append([]Command{{Kind: Reset}}, list...)
}

// Forget records that the target does not know the prepared statement.
func (c *Conn) Forget(p *Prepared) { delete(c.prepared, p.name) }

// Run sends a command and returns the reply to it.
func (c *Conn) Run(deadline clock.Millis, command Command) (Reply, error) {
	if err := c.Send(deadline, command); err != nil {
		return Reply{}, err
	}
	return c.Receive(deadline)
}

// ProvePrimary begins and ends a transaction, which only the primary accepts and which takes no slot. It returns the reply to
// the BEGIN. The point of this reply covers all commits that were acknowledged before.
func (c *Conn) ProvePrimary(deadline clock.Millis) (Reply, error) {
	if err := c.Send(deadline, Command{Kind: Begin}, Command{Kind: Rollback}); err != nil {
		return Reply{}, err
	}
	reply, err := c.Receive(deadline)
	if err == nil {
		reply.Body = nil // valid only until the next reply is read
		_, err = c.Receive(deadline)
	}
	if err != nil {
		c.Break()
		return Reply{}, fmt.Errorf("prove primary: %w", err)
	}
	return reply, nil
}

// usable reports whether an idle connection is open and has no outstanding reply and no unsolicited input.
func (c *Conn) usable() bool {
	return !c.broken && c.pending == 0 && !c.wire.Buffered() && socket.IsIdle(c.tcp)
}
