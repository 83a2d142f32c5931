package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/target"
)

// expectedReply is one answer that is due, in order.
type expectedReply struct {
	kind stepKind
	// stepIndex is the index of the caller's message; below 0 for one of the proxy's own, whose answer the caller does not see.
	stepIndex int
	// local is true when nothing was sent, since the target has the statement already.
	local bool
	// name of the statement that is parsed or closed at the target.
	name target.StatementName
}

const proxyStep = -1

// plan sends the steps of an exchange to a target and keeps what answers are due.
type plan struct {
	expected []expectedReply
	next     int
}

func (p *plan) reset() { p.expected, p.next = p.expected[:0], 0 }

func (p *plan) expect(d expectedReply) { p.expected = append(p.expected, d) }

// current returns the answer that is due, or nil.
func (p *plan) current() *expectedReply {
	if p.next >= len(p.expected) {
		return nil
	}
	return &p.expected[p.next]
}

// send buffers the steps for the target, with what it lacks in front of them; begin, if any, opens a transaction first.
func (p *plan) send(t *target.Conn, x *exchange, begin string) {
	var unnamed *preparedStatement
	if begin != "" {
		p.sendBegin(t, begin)
	}
	for i := range x.steps {
		s := &x.steps[i]
		switch s.kind {
		case stepParse:
			unnamed = p.sendParse(t, x, i, unnamed)
			continue
		case stepBind, stepDescribeStatement:
			unnamed = p.ensureParsed(t, s.stmt, unnamed)
		case stepCloseStatement:
			p.expect(expectedReply{kind: s.kind, stepIndex: i, local: true})
			continue
		}
		t.SendEncoded(x.bytes(*s), 0)
		p.expect(expectedReply{kind: s.kind, stepIndex: i})
	}
	t.Send(&pgproto3.Sync{})
}

// sendBegin sends a BEGIN up to the same Sync as the steps, so that none of them runs should it fail.
func (p *plan) sendBegin(t *target.Conn, begin string) {
	t.Send(&pgproto3.Parse{Query: begin})
	t.Send(&pgproto3.Bind{})
	t.Send(&pgproto3.Execute{})
	for _, k := range []stepKind{stepParse, stepBind, stepExecute} {
		p.expect(expectedReply{kind: k, stepIndex: proxyStep})
	}
}

func (p *plan) sendParse(t *target.Conn, x *exchange, i int, unnamed *preparedStatement) *preparedStatement {
	s := &x.steps[i]
	if s.redefinesName {
		unnamed = p.ensureParsed(t, s.stmt, unnamed)
	} else if s.stmt.name != "" && t.HasPrepared(s.stmt.name) {
		p.expect(expectedReply{kind: stepParse, stepIndex: i, local: true})
		return unnamed
	}
	if s.stmt.name == "" {
		unnamed = s.stmt
	} else if !s.redefinesName {
		p.addPrepared(t, s.stmt.name)
	}
	t.SendEncoded(x.bytes(*s), 0)
	d := expectedReply{kind: stepParse, stepIndex: i}
	if !s.redefinesName {
		d.name = s.stmt.name
	}
	p.expect(d)
	return unnamed
}

// ensureParsed parses a statement at the target unless it is there.
func (p *plan) ensureParsed(t *target.Conn, s, unnamed *preparedStatement) *preparedStatement {
	if s == nil || s == unnamed || s.name != "" && t.HasPrepared(s.name) {
		return unnamed
	}
	if s.name != "" {
		p.addPrepared(t, s.name)
	}
	t.SendEncoded(s.encoded, 0)
	p.expect(expectedReply{kind: stepParse, stepIndex: proxyStep, name: s.name})
	if s.name == "" {
		return s
	}
	return unnamed
}

// addPrepared notes a statement as prepared and closes the one that gives way to it.
func (p *plan) addPrepared(t *target.Conn, n target.StatementName) {
	evicted, full := t.AddPrepared(n)
	if !full {
		return
	}
	t.Send(&pgproto3.Close{ObjectType: 'S', Name: string(evicted)})
	p.expect(expectedReply{kind: stepCloseStatement, stepIndex: proxyStep, name: evicted})
}

// skipRemaining notes that the target skips everything that is still due, and reports whether the connection's prepared statements are still known.
func (p *plan) skipRemaining(t *target.Conn) bool {
	known := true
	for _, d := range p.expected[p.next:] {
		switch {
		case d.local:
		case d.kind == stepParse && d.name != "":
			t.RemovePrepared(d.name)
		case d.kind == stepCloseStatement:
			known = false
		}
	}
	p.next = len(p.expected)
	return known
}
