package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/target"
)

// expectedReply describes the reply to one step of the exchange.
type expectedReply struct {
	kind stepKind
	// stepIndex is the index of the caller's step in the exchange. It is proxyStep for a step that the proxy added, whose reply the caller does not see.
	stepIndex int
	// local is true if the step was not sent, since the target need not execute it: the statement is already parsed, or stays prepared for others.
	local bool
	// name is the name of the statement that the step parses or closes at the target.
	name target.StatementName
}

const proxyStep = -1

// plan sends the steps of an exchange to a target and records the expected replies in order.
type plan struct {
	expected []expectedReply
	// next is the index of the next reply that is due.
	next int
}

func (p *plan) reset() { p.expected, p.next = p.expected[:0], 0 }

func (p *plan) expect(d expectedReply) { p.expected = append(p.expected, d) }

// current returns the reply that is due next, or nil if none is.
func (p *plan) current() *expectedReply {
	if p.next >= len(p.expected) {
		return nil
	}
	return &p.expected[p.next]
}

// send buffers the steps for the target, each after a Parse of its statement if the target lacks that. A begin that is not empty opens a transaction first.
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

// sendBegin sends a BEGIN before the same Sync as the steps, so that the target skips the steps if the BEGIN fails.
func (p *plan) sendBegin(t *target.Conn, begin string) {
	t.Send(&pgproto3.Parse{Query: begin})
	t.Send(&pgproto3.Bind{})
	t.Send(&pgproto3.Execute{})
	for _, k := range []stepKind{stepParse, stepBind, stepExecute} {
		p.expect(expectedReply{kind: k, stepIndex: proxyStep})
	}
}

// sendParse sends the caller's Parse in step i unless the target has the statement. It returns the statement that is now the unnamed one.
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

// ensureParsed sends a Parse of s unless the target has s. It returns the statement that is now the unnamed one.
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

// addPrepared records a statement as prepared and closes the one that is evicted for it, if any.
func (p *plan) addPrepared(t *target.Conn, n target.StatementName) {
	evicted, full := t.AddPrepared(n)
	if !full {
		return
	}
	t.Send(&pgproto3.Close{ObjectType: 'S', Name: string(evicted)})
	p.expect(expectedReply{kind: stepCloseStatement, stepIndex: proxyStep, name: evicted})
}

// skipRemaining records that the target skips all steps whose replies are still due. It reports whether the set of statements prepared at the target is still known, which it is not if a Close of an evicted statement is skipped.
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
