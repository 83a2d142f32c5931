package caller

import (
	"encoding/binary"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/memory"
	"github.com/cactusfork/cactusfork/internal/request/refusal"
)

const (
	// sessionBytes is the charge of a session. 280 idle ones took 16 KB of resident memory each, with a read buffer of 8 KiB.
	sessionBytes = 16 << 10
	// largeMessage is the length above which a message draws from the account. Shorter ones fit in the first buffer of a connection.
	largeMessage = 8 << 10
	// messageCopies is how many times a message is in memory at once: in a buffer that is up to twice as long, as text, and encoded for
	// the target.
	messageCopies = 4
	// statementCopies is the same for a prepared statement, which is kept as text and encoded, and preparedBytes is charged for its records.
	statementCopies = 2
	preparedBytes   = 256
	// maxLoginBytes bounds a message before the end of the login. Proofs of passwords have some hundred bytes.
	maxLoginBytes = 16 << 10
	// protocolMajor is the major version in a startup message.
	protocolMajor = 3
)

// messageMeter reads the messages of a caller and draws the memory of each large one from the account before its body is read. It
// returns no byte behind the end of a large message in the same call, so that no reader holds a byte of the next one.
type messageMeter struct {
	r      io.Reader
	holder *memory.Holder
	// typed is true behind the startup message, when messages begin with a type byte.
	typed bool
	// header holds the bytes of the current header.
	header []byte
	// left is how much of the body of the current message is not read yet.
	left int
	// large is true within a large message, and sawLarge once one began since the protocol's buffers were last dropped.
	large, sawLarge bool
	// begun counts the messages that have begun behind the startup message.
	begun int
	// drawn is what was drawn and not given back yet, and current the part of it for the message that is being read.
	drawn, current int
}

func newMessageMeter(r io.Reader, h *memory.Holder) *messageMeter {
	return &messageMeter{r: r, holder: h, header: make([]byte, 0, 8)}
}

// Read reads bytes of the messages.
func (m *messageMeter) Read(b []byte) (int, error) {
	if m.large && m.left > 0 {
		b = b[:min(len(b), m.left)]
	}
	n, err := m.r.Read(b)
	if drawErr := m.scan(b[:n]); drawErr != nil {
		return 0, drawErr
	}
	return n, err
}

// headerBytes is the length of a header: a type and a length, or before the startup message a length and a protocol version.
func (m *messageMeter) headerBytes() int {
	if m.typed {
		return 5
	}
	return 8
}

// scan follows the messages in b.
func (m *messageMeter) scan(b []byte) error {
	for len(b) > 0 {
		if m.left > 0 {
			n := min(m.left, len(b))
			m.left, b = m.left-n, b[n:]
			continue
		}
		n := min(m.headerBytes()-len(m.header), len(b))
		m.header, b = append(m.header, b[:n]...), b[n:]
		if len(m.header) < m.headerBytes() {
			return nil
		}
		if err := m.begin(); err != nil {
			return err
		}
	}
	return nil
}

// begin begins the body of a message whose header is complete.
func (m *messageMeter) begin() error {
	header := m.header
	m.header = m.header[:0]
	if !m.typed {
		m.left = max(0, int(binary.BigEndian.Uint32(header))-len(header))
		m.typed = binary.BigEndian.Uint16(header[4:]) == protocolMajor
		return nil
	}
	m.begun++
	m.current = 0
	length := int(binary.BigEndian.Uint32(header[1:]))
	m.left = max(0, length-4)
	m.large = length > largeMessage
	if !m.large {
		return nil
	}
	n := messageCopies * length
	if err := m.holder.Draw(n); err != nil {
		return refusal.Overloaded("daemon is short of memory")
	}
	m.drawn, m.current = m.drawn+n, n
	m.sawLarge = true
	return nil
}

// release gives back what was drawn for messages that have been read.
func (m *messageMeter) release() {
	if m.left == 0 {
		m.current = 0
	}
	m.holder.Release(m.drawn - m.current)
	m.drawn = m.current
}

// newBackend returns the protocol on the connection, whose messages draw from the account.
func (c *conn) newBackend(rw io.ReadWriter) *pgproto3.Backend {
	c.meter = newMessageMeter(rw, c.holder)
	b := pgproto3.NewBackend(c.meter, rw)
	b.SetMaxBodyLen(maxLoginBytes)
	return b
}

// releaseExchange gives back what the last exchange drew, with the buffers of its large messages.
func (c *conn) releaseExchange() {
	m := c.meter
	if m.drawn > 0 {
		m.release()
	}
	// The protocol keeps the buffer and the text of the last message of a kind. It holds no byte of a next one if it has returned all that
	// have begun.
	if m.sawLarge && m.left == 0 && len(m.header) == 0 && m.begun == c.received {
		c.backend = pgproto3.NewBackend(m, c.netConn)
		c.backend.SetMaxBodyLen(c.server.cfg.MaxMessageBytes)
		m.sawLarge = false
	}
}

// receive returns the next message behind the startup message.
func (c *conn) receive() (pgproto3.FrontendMessage, error) {
	msg, err := c.backend.Receive()
	c.received++
	return msg, err
}

// setPrepared records a prepared statement.
func (c *conn) setPrepared(name string, s *preparedStatement) {
	c.dropPrepared(name)
	c.prepared[name] = s
	c.preparedBytes += s.size()
}

// dropPrepared removes a prepared statement if there is one.
func (c *conn) dropPrepared(name string) {
	if s := c.prepared[name]; s != nil {
		c.preparedBytes -= s.size()
		delete(c.prepared, name)
	}
}

func (s *preparedStatement) size() int { return statementCopies*len(s.encoded) + preparedBytes }

// chargeState draws what the session keeps between exchanges: prepared statements and parameters.
func (c *conn) chargeState() error {
	held := c.preparedBytes + c.session.Settings().Size()
	if held > c.server.cfg.MaxStateBytes {
		return &refusal.Error{Code: "54000", Message: "prepared statements and parameters of the session are too large", Detail: refusal.NotRunDetail, NotRun: true}
	}
	if held > c.stateDrawn {
		if err := c.holder.Draw(held - c.stateDrawn); err != nil {
			return refusal.Overloaded("daemon is short of memory")
		}
	} else {
		c.holder.Release(c.stateDrawn - held)
	}
	c.stateDrawn = held
	return nil
}
