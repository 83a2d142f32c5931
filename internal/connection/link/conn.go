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
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// maxPrepared is how many prepared statements a connection keeps before it forgets them all.
const maxPrepared = 128

// ErrNotInForce means that a target has refused a session value or a prepared statement.
var ErrNotInForce = errors.New("target refused what the session has set")

// Prepared is a statement shape that a caller has prepared.
type Prepared struct {
	Shape  statement.Shape
	Writes bool
	// name is equal for equal shapes.
	name string
}

// NewPrepared returns the shape under the name that it has at targets.
func NewPrepared(shape statement.Shape, writes bool) *Prepared {
	kind := "r"
	if writes {
		kind = "w"
	}
	return &Prepared{Shape: shape, Writes: writes, name: kind + strconv.FormatUint(xxhash.Sum64String(string(shape)), 36)}
}

// Name is the name that the statement has at targets.
func (p *Prepared) Name() string { return p.name }

// Conn is one connection to a target; it is for one goroutine at a time.
type Conn struct {
	Target group.TargetID
	wire   Wire
	tcp    net.Conn
	clk    *clock.Clock
	values Values
	names  map[string]bool
	// sent is when the last command went out, and answered when the last answer came.
	sent     clock.Millis
	answered clock.Millis
	broken   bool
	// pending is the number of answers that are still due.
	pending int
}

// newConn returns a connection whose startup has succeeded.
func newConn(id group.TargetID, w Wire, tcp net.Conn, clk *clock.Clock) *Conn {
	return &Conn{Target: id, wire: w, tcp: tcp, clk: clk, names: make(map[string]bool), answered: clk.Now()}
}

// Rested is how long ago the last answer came.
func (c *Conn) Rested() clock.Millis { return c.clk.Now() - c.answered }

// Sent is when the last command went out.
func (c *Conn) Sent() clock.Millis { return c.sent }

// Broken reports whether the connection can carry nothing more.
func (c *Conn) Broken() bool { return c.broken }

// Pending is the number of answers that are still due.
func (c *Conn) Pending() int { return c.pending }

// Break makes the connection unusable and closes it.
func (c *Conn) Break() {
	c.broken = true
	_ = c.wire.Close() // nothing is owed on a broken connection
}

// Send writes commands; their answers have to be received in order.
func (c *Conn) Send(until clock.Millis, commands ...Command) error {
	c.pending += len(commands)
	c.sent = c.clk.Now()
	if err := c.wire.Send(c.clk.Deadline(until), commands...); err != nil {
		c.Break()
		return err
	}
	return nil
}

// Receive reads the next answer; a time-out leaves the connection as it is.
func (c *Conn) Receive(until clock.Millis) (Reply, error) {
	r, err := c.wire.Receive(c.clk.Deadline(until))
	if socket.IsTimeout(err) {
		return r, err
	}
	if err != nil {
		c.Break()
		return r, err
	}
	c.pending--
	c.answered = c.clk.Now()
	return r, nil
}

// Setup returns the commands that put the session's values, and a prepared statement that may be nil, in force; they count as in force from then on.
func (c *Conn) Setup(v *Values, p *Prepared) []Command {
	list, forgotten := v.commands(&c.values)
	if len(list) > 0 {
		c.values = v.clone()
	}
	if forgotten {
		clear(c.names)
	}
	if p != nil && !c.names[p.name] {
		if len(c.names) >= maxPrepared {
			list = append([]Command{{Kind: Reset}}, c.all(v)...)
			clear(c.names)
		}
		c.names[p.name] = true
		list = append(list, Command{Kind: Prepare, Name: p.name, Text: string(p.Shape), Writes: p.Writes})
	}
	return list
}

// all sets every value anew.
func (c *Conn) all(v *Values) []Command {
	list, _ := v.commands(&Values{})
	return list
}

// Forget notes that the target does not know the prepared statement.
func (c *Conn) Forget(p *Prepared) { delete(c.names, p.name) }

// Run sends commands behind the setup and returns the answer to the last one; a refused setup breaks the connection.
func (c *Conn) Run(until clock.Millis, setup []Command, last Command) (Reply, error) {
	if err := c.Send(until, append(setup, last)...); err != nil {
		return Reply{}, err
	}
	return c.ReceiveLast(until)
}

// ReceiveLast reads all answers that are due and returns the last one; all before it must have succeeded.
func (c *Conn) ReceiveLast(until clock.Millis) (Reply, error) {
	for {
		r, err := c.Receive(until)
		if err != nil || c.pending == 0 {
			return r, err
		}
		if !r.Completed {
			c.Break()
			return r, fmt.Errorf("%s %s: %w", r.Code, r.Text, ErrNotInForce)
		}
	}
}

// ProveLead asks the target to begin and end a transaction, which only the primary does and which takes no slot; it returns the answer to the begin, whose point holds all that was acknowledged before.
func (c *Conn) ProveLead(until clock.Millis) (Reply, error) {
	if err := c.Send(until, Command{Kind: Begin}, Command{Kind: Rollback}); err != nil {
		return Reply{}, err
	}
	begun, err := c.Receive(until)
	if err == nil {
		begun.Body = nil // valid until the next answer only
		_, err = c.Receive(until)
	}
	if err != nil {
		c.Break()
		return Reply{}, fmt.Errorf("prove the lead: %w", err)
	}
	return begun, nil
}

// usable reports whether an idle connection is open and nothing has come on it unasked.
func (c *Conn) usable() bool {
	return !c.broken && c.pending == 0 && !c.wire.Pending() && socket.Quiet(c.tcp)
}
