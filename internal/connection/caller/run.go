package caller

import (
	"errors"

	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
	"github.com/cactusfork/cactusfork/internal/request/route"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

// serveExchange handles the exchange that was read and sends the reply; an error ends the connection.
func (c *conn) serveExchange() error {
	err := c.dispatch()
	c.dropUnparsed()
	if !c.tx.open {
		clear(c.portals)
	}
	return err
}

// dispatch replies locally to an exchange that needs no target, refuses an unsupported one, and relays any other.
func (c *conn) dispatch() error {
	x := &c.exchange
	c.reply.reset()
	if column, ok := c.preparesLocally(); ok {
		return c.replyLocally(column, "", "")
	}
	switch {
	case x.refusalErr != nil:
		return c.refuse(x.refusalErr)
	case c.tx.failed:
		return c.replyInFailedTransaction()
	case !x.needsTarget():
		return c.replyWithoutStatements()
	case x.contains(session.Unsupported):
		return c.refuse(unsupported("this statement"))
	case x.contains(session.SetToken), x.contains(session.ShowToken):
		return c.replyToTokenStatement()
	case c.mixesSetting():
		return c.refuse(unsupported("SET in one exchange with other statements"))
	case x.contains(session.RollbackTo) && c.session.Settings().HasPending():
		return c.refuse(unsupported("ROLLBACK TO behind SET"))
	case c.opensTransaction():
		return c.replyToBegin()
	case c.endsUnsentTransaction():
		return c.replyToUnsentEnd()
	default:
		return c.relay()
	}
}

// mixesSetting reports whether the exchange combines a SET or RESET with other statements.
func (c *conn) mixesSetting() bool {
	x := &c.exchange
	return len(x.statements) > 1 && (x.contains(session.SetParameter) || x.contains(session.ResetParameter))
}

// relay runs the exchange on one lease after another until it has a reply, a refusal or an unknown outcome.
func (c *conn) relay() error {
	if c.tx.lease != nil {
		return c.finishAttempt(c.runNext(c.tx.lease, c.tx.request))
	}
	c.classifyRequest()
	need, err := c.routeNeed(c.tx.request)
	if err != nil {
		return c.refuse(err)
	}
	o := AcquireOptions{User: c.user, Arrived: c.tx.arrived, Transaction: c.tx.open}
	for {
		lease, err := c.acquireLease(need, o)
		if err != nil {
			return c.refuse(err)
		}
		o.Attempt++
		c.holdLease(lease, o.Attempt)
		d := c.runFirst(lease, need)
		if d.kind != decisionRetry || o.Attempt >= c.server.cfg.MaxAttempts {
			return c.finishAttempt(d)
		}
		o.Avoid = append(o.Avoid, lease.Target)
		o.Code = d.err.Code
		c.releaseLease(d.reuse, 0, d.err.Code)
		c.reply.reset()
	}
}

// classifyRequest sets the request as which the exchange, or the transaction that it starts, is routed and reported.
func (c *conn) classifyRequest() {
	c.tx.arrived = c.server.cfg.Clock.Now()
	if c.tx.open && c.tx.requestNamed {
		return
	}
	// If the service has moved to another group, an existing session keeps the old definition; only new sessions use the new group.
	if s, ok := c.server.deps.Service(c.service.Name); ok && s.Group == c.session.Group() {
		c.service = s
	}
	c.tx.request = requestOf(c.service, &c.exchange)
}

// routeNeed returns the requirements of the request on a target. The first read of a session without a floor takes a sample as its floor.
func (c *conn) routeNeed(r service.Request) (route.Need, error) {
	n := route.Need{Request: r, DataCentre: c.server.cfg.DataCentre}
	if r.Kind == service.Read && !c.session.HasFloor() {
		p, err := c.server.deps.Floor(c.ctx, c.session.Group())
		if err != nil {
			return n, c.refusalFor(err, "no sample of the group")
		}
		c.session.RaiseFloor(p)
	}
	n.Floor = c.session.Floor()
	return n, nil
}

// refusalFor returns the refusal for an error that occurred before anything was sent: err itself if it is one, a deadline if the exchange was aborted, else a refusal with message.
func (c *conn) refusalFor(err error, message string) *refusal.Error {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return refused
	}
	if c.ctx.Err() != nil {
		return c.interruptedError()
	}
	return refusal.NoPrimary(message)
}

// interruptedError returns the refusal of a request that was aborted before anything was sent.
func (c *conn) interruptedError() *refusal.Error {
	return refusal.Deadline("cancelled, timed out or draining")
}

func (c *conn) acquireLease(n route.Need, o AcquireOptions) (*Lease, error) {
	l, err := c.server.deps.Acquire(c.ctx, c.service, n, o)
	if err != nil {
		return nil, c.refusalFor(err, "no target")
	}
	return l, nil
}

// holdLease sets the lease that cancel requests, timeouts and draining act upon. It closes the target connection if the exchange has been aborted already.
func (c *conn) holdLease(l *Lease, attempts int) {
	c.tx.lease, c.tx.attempts = l, attempts
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = l
	c.noReuse = false
	if c.ctx.Err() != nil {
		c.noReuse = true
		l.Conn.Close()
	}
}

// releaseLease returns the lease's connection and reports the outcome; a result of 0 means that another attempt follows and there is nothing to report yet.
func (c *conn) releaseLease(reuse bool, r Result, code string) {
	l := c.tx.lease
	c.mu.Lock()
	reuse = reuse && !c.noReuse
	c.lease = nil
	c.mu.Unlock()
	c.tx.lease = nil
	if !reuse {
		l.Conn.MarkBroken()
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
	if c.server.deps.Report != nil {
		c.server.deps.Report(o)
	}
}

// dropUnparsed removes the caller's statements whose Parse did not succeed.
func (c *conn) dropUnparsed() {
	for _, s := range c.exchange.steps {
		if s.kind == stepParse && !s.completed && !s.redefinesName && c.prepared[s.name] == s.stmt {
			c.dropPrepared(s.name)
		}
	}
}
