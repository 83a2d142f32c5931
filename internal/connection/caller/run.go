package caller

import (
	"errors"

	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

// serveExchange answers the exchange that was collected; an error ends the connection.
func (c *conn) serveExchange() error {
	err := c.dispatch()
	c.forgetUnparsed()
	if !c.tx.open {
		clear(c.portals)
	}
	return err
}

func (c *conn) dispatch() error {
	x := &c.exchange
	c.answer.reset()
	if column, ok := c.preparesLocal(); ok {
		return c.answerLocally(column, "", "")
	}
	switch {
	case x.refused != nil:
		return c.refuse(x.refused)
	case c.tx.failed:
		return c.answerFailed()
	case !x.asks():
		return c.answerClosed()
	case x.has(session.Unsupported):
		return c.refuse(unsupported("this statement"))
	case x.has(session.SetToken), x.has(session.ShowToken):
		return c.answerToken()
	case c.settingMixed():
		return c.refuse(unsupported("SET in one exchange with other statements"))
	case x.has(session.RollbackTo) && c.session.Settings().Pending():
		return c.refuse(unsupported("ROLLBACK TO behind SET"))
	case c.opensTransaction():
		return c.answerBegin()
	case c.endsUnsent():
		return c.answerUnsentEnd()
	default:
		return c.relay()
	}
}

// settingMixed reports whether a SET or RESET shares its exchange with other statements.
func (c *conn) settingMixed() bool {
	x := &c.exchange
	return len(x.runs) > 1 && (x.has(session.SetParameter) || x.has(session.ResetParameter))
}

// relay runs the exchange on leases until it is answered, refused or unknown.
func (c *conn) relay() error {
	if c.tx.lease != nil {
		return c.conclude(c.attempt(c.tx.lease, c.tx.request))
	}
	c.classify()
	need, err := c.need(c.tx.request)
	if err != nil {
		return c.refuse(err)
	}
	o := AcquireOptions{User: c.user, Arrived: c.tx.arrived, Transaction: c.tx.open}
	for {
		lease, err := c.acquire(need, o)
		if err != nil {
			return c.refuse(err)
		}
		o.Attempt++
		c.hold(lease, o.Attempt)
		v := c.attemptFirst(lease, need)
		if v.kind != repeat || o.Attempt >= c.server.cfg.MaxAttempts {
			return c.conclude(v)
		}
		o.Avoid = append(o.Avoid, lease.Target)
		o.Code = v.err.Code
		c.giveBack(v.reuse, 0, v.err.Code)
		c.answer.reset()
	}
}

// classify settles as what the exchange, or the transaction that it starts, counts.
func (c *conn) classify() {
	c.tx.arrived = c.server.cfg.Clock.Now()
	if c.tx.open && c.tx.named {
		return
	}
	// A service that has moved to another group is new to callers that log in.
	if s, ok := c.server.seams.Service(c.service.Name); ok && s.Group == c.session.Group() {
		c.service = s
	}
	c.tx.request = requestOf(c.service, &c.exchange)
}

// need returns what the request asks of a target; the first read of a session without a floor takes a sample.
func (c *conn) need(r service.Request) (route.Need, error) {
	n := route.Need{Request: r, DataCentre: c.server.cfg.DataCentre}
	if r.Kind == service.Read && !c.session.Floored() {
		p, err := c.server.seams.Floor(c.ctx, c.session.Group())
		if err != nil {
			return n, c.cause(err, "no sample of the group")
		}
		c.session.Raise(p)
	}
	n.Floor = c.session.Floor()
	return n, nil
}

// cause turns an error from before anything was sent into a refusal.
func (c *conn) cause(err error, what string) *refusal.Error {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return refused
	}
	if c.ctx.Err() != nil {
		return c.interrupted()
	}
	return refusal.NoPrimary(what)
}

// interrupted is the refusal of a request that was cut before anything was sent.
func (c *conn) interrupted() *refusal.Error {
	return refusal.Deadline("cancelled, timed out or draining")
}

func (c *conn) acquire(n route.Need, o AcquireOptions) (*Lease, error) {
	l, err := c.server.seams.Acquire(c.ctx, c.service, n, o)
	if err != nil {
		return nil, c.cause(err, "no target")
	}
	return l, nil
}

// hold makes the lease known to cancel and to the server's limits.
func (c *conn) hold(l *Lease, attempts int) {
	c.tx.lease, c.tx.attempts = l, attempts
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = l
	c.tainted = false
	if c.ctx.Err() != nil {
		c.tainted = true
		l.Conn.Close()
	}
}

// giveBack releases the lease; a result of 0 means that another attempt follows.
func (c *conn) giveBack(reuse bool, r Result, code string) {
	l := c.tx.lease
	c.mu.Lock()
	reuse = reuse && !c.tainted
	c.lease = nil
	c.mu.Unlock()
	c.tx.lease = nil
	if !reuse {
		l.Conn.Break()
	}
	o := c.outcome(r, code)
	o.Target, o.Replica = l.Target, !l.Primary
	l.Release(reuse, o)
	if r != 0 {
		c.report(o)
	}
}

func (c *conn) outcome(r Result, code string) Outcome {
	return Outcome{
		Service:     c.service.Name,
		Request:     c.tx.request.Name,
		Kind:        c.tx.request.Kind,
		Result:      r,
		Code:        code,
		Attempts:    c.tx.attempts,
		Arrived:     c.tx.arrived,
		Finished:    c.server.cfg.Clock.Now(),
		Weight:      c.tx.request.Weight,
		Application: c.application,
		Connection:  c.key.id,
	}
}

func (c *conn) report(o Outcome) {
	if c.server.seams.Report != nil {
		c.server.seams.Report(o)
	}
}

// forgetUnparsed drops the statements whose Parse did not succeed.
func (c *conn) forgetUnparsed() {
	for _, s := range c.exchange.steps {
		if s.kind == stepParse && !s.done && !s.again && c.statements[s.name] == s.stmt {
			delete(c.statements, s.name)
		}
	}
}
