package quota

import (
	"context"
	"fmt"
	"sync"

	"github.com/cactusfork/cactusfork/internal/request/placement"
	"github.com/cactusfork/cactusfork/internal/request/quota"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/topology"
	"github.com/cactusfork/cactusfork/internal/version/workspace"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// admitTimeout bounds how long an operation waits for a token, in milliseconds: two silent issuers and one that answers.
	admitTimeout clock.Millis = 300
	// askTimeout bounds the wait for an issuer, in milliseconds; round trips between data centres take up to 3 ms.
	askTimeout clock.Millis = 100
	// maxAsks bounds the workspaces of one request. With the longest names the request stays below the limit of the mirror address.
	maxAsks = 32
	// logInterval is the time between two reports of refusals of one workspace, in milliseconds.
	logInterval clock.Millis = 500
)

// View is the fleet as a daemon knows it.
type View struct {
	// Fleet holds the daemons that issue tokens. It is nil while they are not known.
	Fleet *quota.Fleet
	// Share is used when no other daemon can be asked: this daemon alone issues one of that many parts of each limit to itself.
	// It is 0 while there are others.
	Share int
}

// Refusal describes a refused operation for the log.
type Refusal struct {
	Workspace workspace.ID
	Version   topology.Version
	Limit     workspace.Limit
	// Issuers are the daemons that were asked last.
	Issuers []group.DaemonID
	// Unchecked is true when no issuer answered.
	Unchecked  bool
	RetryAfter clock.Millis
}

// Config holds what a Client needs from the daemon.
type Config struct {
	Self       group.DaemonID
	DataCentre group.DataCentre
	Clock      *clock.Clock
	// Issuer is the daemon's own one.
	Issuer *Issuer
	View   func() View
	// Send asks the issuer at an address, in the order of the asks.
	Send func(ctx context.Context, address string, asks []quota.Ask) ([]quota.Grant, error)
	// Count increments a counter.
	Count func(name string)
	// Report is called for some of the refusals.
	Report func(r *Refusal)
}

// Client takes tokens for the operations of a daemon. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu    sync.Mutex
	stock *quota.Stock
	flows map[workspace.ID]*flow
	lanes map[group.DaemonID]*lane
	// sweptAt is when idle flows were last dropped.
	sweptAt clock.Millis
}

// flow is a workspace whose operations wait for tokens, or that is asked for.
type flow struct {
	w       *workspace.Workspace
	version topology.Version
	// asking is true while a round of asks runs.
	asking  bool
	waiting []*waiter
	// asked holds the issuers of the last round; issuers and fleet those that can be asked.
	asked   []group.DaemonID
	fleet   *quota.Fleet
	issuers [][]placement.Peer
	// usedAt is when an operation came last, and reportAt when the next refusal may be reported.
	usedAt, reportAt clock.Millis
}

// waiter is an operation that waits; done gets its result.
type waiter struct{ done chan error }

// lane sends the asks for one issuer, one request at a time.
type lane struct {
	calls   []*call
	sending bool
}

// call is an ask that waits for its turn or its answer.
type call struct {
	f      *flow
	target quota.Target
	asked  int
	sentAt clock.Millis
	grant  quota.Grant
	err    error
	done   chan struct{}
}

// NewClient returns a client without tokens.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, stock: quota.NewStock(), flows: make(map[workspace.ID]*flow), lanes: make(map[group.DaemonID]*lane)}
}

// Take takes a token for one operation of the workspace. It waits until the deadline, and for admitTimeout at most. Its error is a
// *statement.Refusal or that of ctx.
func (c *Client) Take(ctx context.Context, w *workspace.Workspace, version topology.Version, deadline clock.Millis) error {
	if !w.Limited {
		return nil
	}
	now := c.cfg.Clock.Now()
	own, err := c.start(context.WithoutCancel(ctx), now, w, version)
	if own == nil {
		return err
	}
	select {
	case err = <-own.done:
		return err
	case <-c.cfg.Clock.After(min(deadline-now, admitTimeout)):
		err = nil
	case <-ctx.Done():
		err = ctx.Err()
	}
	return c.abandon(w.ID, own, err)
}

// start takes a token at once, refuses the operation, or returns it as a waiter.
func (c *Client) start(ctx context.Context, now clock.Millis, w *workspace.Workspace, version topology.Version) (*waiter, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flow(now, w, version)
	c.stock.Record(now, w)
	if len(f.waiting) == 0 && c.stock.Use(now, w) {
		c.cfg.Count("quota-granted")
		if !f.asking && c.stock.Low(now, w) {
			c.startRound(ctx, now, f)
		}
		return nil, nil
	}
	if !f.asking && !c.startRound(ctx, now, f) {
		return nil, c.refuse(now, f)
	}
	own := &waiter{done: make(chan error, 1)}
	f.waiting = append(f.waiting, own)
	return own, nil
}

// startRound starts a round of asks, and reports whether there is an issuer to ask.
func (c *Client) startRound(ctx context.Context, now clock.Millis, f *flow) bool {
	if _, ok := c.stock.Next(now, f.w, f.issuers); !ok {
		return false
	}
	f.asking, f.asked = true, nil
	go c.round(ctx, f)
	return true
}

// abandon ends the wait of an operation whose time is over. A token that it got meanwhile is used, unless ctx has ended.
func (c *Client) abandon(id workspace.ID, own *waiter, ctxErr error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case err := <-own.done:
		if err == nil && ctxErr != nil {
			now := c.cfg.Clock.Now()
			c.stock.Return(now, id, now)
			return ctxErr
		}
		return err
	default:
	}
	f := c.flows[id]
	for i, o := range f.waiting {
		if o == own {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
			break
		}
	}
	if ctxErr != nil {
		return ctxErr
	}
	return c.refuse(c.cfg.Clock.Now(), f)
}

// flow returns the flow of a workspace, up to date.
func (c *Client) flow(now clock.Millis, w *workspace.Workspace, version topology.Version) *flow {
	f := c.flows[w.ID]
	if f == nil {
		c.sweep(now)
		f = &flow{}
		c.flows[w.ID] = f
	}
	f.usedAt = now
	if f.w == nil || version >= f.version {
		// An operation may have found its workspace in an earlier configuration. Its limit must not pass for that of the newest one.
		f.w, f.version = w, version
	}
	v := c.cfg.View()
	switch {
	case v.Share > 0:
		// The parts of the limit are those of Share, see ask.
		f.fleet, f.issuers = nil, [][]placement.Peer{{{ID: c.cfg.Self, DataCentre: c.cfg.DataCentre}}}
	case v.Fleet == nil:
		f.fleet, f.issuers = nil, nil
	case v.Fleet != f.fleet:
		f.fleet, f.issuers = v.Fleet, v.Fleet.Issuers(w.ID, c.cfg.DataCentre)
	}
	return f
}

// sweep drops the flows that have not been used for a window, once in a window.
func (c *Client) sweep(now clock.Millis) {
	if now < c.sweptAt+quota.DefaultWindow {
		return
	}
	c.sweptAt = now
	for id, f := range c.flows {
		if !f.asking && len(f.waiting) == 0 && now >= f.usedAt+quota.DefaultWindow {
			delete(c.flows, id)
		}
	}
}

// refuse returns the refusal of an operation.
func (c *Client) refuse(now clock.Millis, f *flow) error {
	r := Refusal{Workspace: f.w.ID, Version: f.version, Limit: f.w.Limit, Issuers: f.asked}
	retry, ok := c.stock.RetryAfter(now, f.w, f.issuers)
	r.RetryAfter, r.Unchecked = retry, !ok
	text := fmt.Sprintf("%s, come back in %d ms", statement.ReasonOverLimit, retry)
	if ok {
		c.cfg.Count("quota-refused")
	} else {
		c.cfg.Count("quota-unchecked")
		r.RetryAfter = quota.UncheckedRetry
		text = fmt.Sprintf("%s, come back in %d ms", statement.ReasonUncheckedLimit, r.RetryAfter)
	}
	if now >= f.reportAt {
		f.reportAt = now + logInterval
		c.cfg.Report(&r)
	}
	return &statement.Refusal{Code: statement.Busy, Text: text}
}

// round asks issuers until no operation of the workspace waits or none is left to ask. It asks once if none waits.
func (c *Client) round(ctx context.Context, f *flow) {
	for c.next(ctx, f) {
	}
}

// next asks the next issuer, and reports whether the round goes on.
func (c *Client) next(ctx context.Context, f *flow) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.stock.Next(c.cfg.Clock.Now(), f.w, f.issuers)
	if !ok {
		now := c.cfg.Clock.Now()
		for _, o := range f.waiting {
			o.done <- c.refuse(now, f)
		}
		f.waiting = nil
		c.endRound(f)
		return false
	}
	// A round lasts as long as operations wait, and a log line names the last issuers.
	f.asked = append(f.asked[max(0, len(f.asked)+1-quota.MaxParts):], t.Peer.ID)
	own := &call{f: f, target: t, done: make(chan struct{})}
	c.mu.Unlock()
	c.ask(ctx, own)
	c.mu.Lock()
	now := c.cfg.Clock.Now()
	if own.err != nil {
		c.cfg.Count("quota-ask-failures")
		c.stock.Silent(now, f.w, &t)
	} else {
		c.stock.Answer(now, own.sentAt, f.w, &t, own.asked, own.grant)
	}
	for len(f.waiting) > 0 && c.stock.Use(now, f.w) {
		c.cfg.Count("quota-granted")
		f.waiting[0].done <- nil
		f.waiting = f.waiting[1:]
	}
	if len(f.waiting) == 0 {
		c.endRound(f)
		return false
	}
	return true
}

func (c *Client) endRound(f *flow) {
	f.asking = false
	c.stock.EndRound(c.cfg.Clock.Now(), f.w)
}

// ask sends an ask to an issuer together with others that wait for it, and waits for the answer. This daemon is asked directly.
func (c *Client) ask(ctx context.Context, own *call) {
	if own.target.Peer.ID == c.cfg.Self {
		c.mu.Lock()
		a := c.describe(own)
		c.mu.Unlock()
		own.grant = c.cfg.Issuer.Take(a)
		return
	}
	id := own.target.Peer.ID
	c.mu.Lock()
	l := c.lanes[id]
	if l == nil {
		l = &lane{}
		c.lanes[id] = l
	}
	l.calls = append(l.calls, own)
	if !l.sending {
		l.sending = true
		go c.send(ctx, id, l)
	}
	c.mu.Unlock()
	<-own.done
}

// describe returns the ask of a call as of now.
func (c *Client) describe(own *call) quota.Ask {
	f := own.f
	own.sentAt = c.cfg.Clock.Now()
	own.asked = c.stock.Want(own.sentAt, f.w, len(f.waiting))
	parts := len(f.issuers)
	if f.fleet == nil {
		parts = c.cfg.View().Share
	}
	return quota.Ask{Workspace: f.w.ID, Tokens: own.asked, Version: uint64(f.version), Limit: f.w.Limit, Parts: parts, Force: own.target.Force}
}

// send sends the asks of a lane until none waits.
func (c *Client) send(ctx context.Context, id group.DaemonID, l *lane) {
	for {
		c.mu.Lock()
		n := min(len(l.calls), maxAsks)
		if n == 0 {
			delete(c.lanes, id)
			c.mu.Unlock()
			return
		}
		batch := l.calls[:n]
		l.calls = append([]*call(nil), l.calls[n:]...)
		asks := make([]quota.Ask, n)
		for i, own := range batch {
			asks[i] = c.describe(own)
		}
		c.mu.Unlock()
		c.cfg.Count("quota-asks")
		ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
		grants, err := c.cfg.Send(ctx, batch[0].target.Peer.MirrorAddress, asks)
		cancel()
		if err == nil && len(grants) != n {
			err = fmt.Errorf("got %d grants for %d asks", len(grants), n)
		}
		for i, own := range batch {
			own.err = err
			if err == nil {
				own.grant = grants[i]
			}
			close(own.done)
		}
	}
}

// Return gives back the token of an operation that was not run; arrived is when the operation came.
func (c *Client) Return(w workspace.ID, arrived clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stock.Return(c.cfg.Clock.Now(), w, arrived)
}
