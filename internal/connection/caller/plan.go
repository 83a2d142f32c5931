package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/target"
)

// planned is one answer that is due, in order.
type planned struct {
	kind stepKind
	// step is the index of the caller's message; below 0 for one of the proxy's own, whose answer the caller does not see.
	step int
	// local is true when nothing was sent, since the target has the statement already.
	local bool
	// name of the statement that is parsed or closed at the target.
	name target.StatementName
}

const ownStep = -1

// plan sends the steps of an exchange to a target and keeps what answers are due.
type plan struct {
	list []planned
	next int
}

func (p *plan) reset() { p.list, p.next = p.list[:0], 0 }

func (p *plan) due(d planned) { p.list = append(p.list, d) }

// current returns the answer that is due, or nil.
func (p *plan) current() *planned {
	if p.next >= len(p.list) {
		return nil
	}
	return &p.list[p.next]
}

// send buffers the steps for the target, with what it lacks in front of them; begin, if any, opens a transaction first.
func (p *plan) send(t *target.Conn, x *exchange, begin string) {
	var unnamed *statement
	if begin != "" {
		p.open(t, begin)
	}
	for i := range x.steps {
		s := &x.steps[i]
		switch s.kind {
		case stepParse:
			unnamed = p.sendParse(t, x, i, unnamed)
			continue
		case stepBind, stepDescribeStatement:
			unnamed = p.provide(t, s.stmt, unnamed)
		case stepCloseStatement:
			p.due(planned{kind: s.kind, step: i, local: true})
			continue
		}
		t.SendEncoded(x.bytes(*s), 0)
		p.due(planned{kind: s.kind, step: i})
	}
	t.Send(&pgproto3.Sync{})
}

// open sends a BEGIN up to the same Sync as the steps, so that none of them runs should it fail.
func (p *plan) open(t *target.Conn, begin string) {
	t.Send(&pgproto3.Parse{Query: begin})
	t.Send(&pgproto3.Bind{})
	t.Send(&pgproto3.Execute{})
	for _, k := range []stepKind{stepParse, stepBind, stepExecute} {
		p.due(planned{kind: k, step: ownStep})
	}
}

func (p *plan) sendParse(t *target.Conn, x *exchange, i int, unnamed *statement) *statement {
	s := &x.steps[i]
	if s.again {
		unnamed = p.provide(t, s.stmt, unnamed)
	} else if s.stmt.name != "" && t.HasPrepared(s.stmt.name) {
		p.due(planned{kind: stepParse, step: i, local: true})
		return unnamed
	}
	if s.stmt.name == "" {
		unnamed = s.stmt
	} else if !s.again {
		p.hold(t, s.stmt.name)
	}
	t.SendEncoded(x.bytes(*s), 0)
	d := planned{kind: stepParse, step: i}
	if !s.again {
		d.name = s.stmt.name
	}
	p.due(d)
	return unnamed
}

// provide parses a statement at the target unless it is there.
func (p *plan) provide(t *target.Conn, s, unnamed *statement) *statement {
	if s == nil || s == unnamed || s.name != "" && t.HasPrepared(s.name) {
		return unnamed
	}
	if s.name != "" {
		p.hold(t, s.name)
	}
	t.SendEncoded(s.encoded, 0)
	p.due(planned{kind: stepParse, step: ownStep, name: s.name})
	if s.name == "" {
		return s
	}
	return unnamed
}

// hold notes a statement as prepared and closes the one that gives way to it.
func (p *plan) hold(t *target.Conn, n target.StatementName) {
	old, full := t.AddPrepared(n)
	if !full {
		return
	}
	t.Send(&pgproto3.Close{ObjectType: 'S', Name: string(old)})
	p.due(planned{kind: stepCloseStatement, step: ownStep, name: old})
}

// abandon notes that the target skips everything that is still due, and reports whether the connection's prepared statements are still known.
func (p *plan) abandon(t *target.Conn) bool {
	known := true
	for _, d := range p.list[p.next:] {
		switch {
		case d.local:
		case d.kind == stepParse && d.name != "":
			t.RemovePrepared(d.name)
		case d.kind == stepCloseStatement:
			known = false
		}
	}
	p.next = len(p.list)
	return known
}
