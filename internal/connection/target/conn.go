package target

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Address says where a database server listens and as whom the proxy logs in.
type Address struct {
	// HostPort is the server's host:port.
	HostPort string
	User     string
	Database string
	// Password answers a SCRAM or cleartext request; it may be empty.
	Password string
	// TLS encrypts the connection; nil means plain TCP.
	TLS *tls.Config
	// Dial opens the connection to HostPort; nil means over TCP.
	Dial func(ctx context.Context, hostPort string) (net.Conn, error)
}

// connect opens a connection without logging in.
func (a Address) connect(ctx context.Context) (net.Conn, error) {
	if a.Dial != nil {
		return a.Dial(ctx, a.HostPort)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", a.HostPort)
}

// maxMessageBytes is the longest message taken from a target, in bytes.
const maxMessageBytes = 64 << 20

// ErrBroken means that the connection was cut or closed and must not be used again.
var ErrBroken = errors.New("target connection is broken")

// Conn is one connection to a database server; one goroutine at a time may use it, but Cancel and Close are always safe.
type Conn struct {
	address    Address
	netConn    net.Conn
	frontend   *pgproto3.Frontend
	parameters map[string]string
	cancelKey  pgproto3.BackendKeyData
	prepared   preparedStatements
	settings   string
	txStatus   byte
	// pendingReady is how many ReadyForQuery messages are due.
	pendingReady int
	// encoded is reused by SendEncoded.
	encoded encodedMessages
	broken  atomic.Bool
}

// Dial opens a connection and logs in; it ends with ctx.
func Dial(ctx context.Context, a Address) (*Conn, error) {
	netConn, err := a.connect(ctx)
	if err != nil {
		return nil, fmt.Errorf("dial target: %w", err)
	}
	c := &Conn{address: a, netConn: netConn, parameters: map[string]string{}, prepared: newPreparedStatements()}
	unbind := c.BindContext(ctx)
	defer unbind()
	if err := c.handshake(ctx); err != nil {
		c.Close()
		return nil, fmt.Errorf("open target session: %w", err)
	}
	return c, nil
}

func (c *Conn) handshake(ctx context.Context) error {
	if c.address.TLS != nil {
		if err := c.startTLS(ctx); err != nil {
			return err
		}
	}
	c.frontend = pgproto3.NewFrontend(c.netConn, c.netConn)
	c.frontend.SetMaxBodyLen(maxMessageBytes)
	return c.logIn()
}

func (c *Conn) startTLS(ctx context.Context) error {
	msg, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return fmt.Errorf("encode tls request: %w", err)
	}
	if _, err := c.netConn.Write(msg); err != nil {
		return fmt.Errorf("ask for tls: %w", err)
	}
	reply := make([]byte, 1)
	if _, err := c.netConn.Read(reply); err != nil {
		return fmt.Errorf("read tls answer: %w", err)
	}
	if reply[0] != 'S' {
		return errors.New("target refuses tls")
	}
	tlsConn := tls.Client(c.netConn, c.address.TLS)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return fmt.Errorf("tls handshake: %w", err)
	}
	c.netConn = tlsConn
	return nil
}

// BindContext cuts the connection when ctx ends, until the returned function is called.
func (c *Conn) BindContext(ctx context.Context) func() {
	if ctx.Done() == nil {
		return func() {}
	}
	if ctx.Err() != nil {
		// AfterFunc alone would leave it to chance whether the exchange still gets through.
		c.Close()
		return func() {}
	}
	netConn := c.netConn
	stop := context.AfterFunc(ctx, func() { _ = netConn.SetDeadline(time.Unix(1, 0)) })
	return func() {
		if !stop() {
			c.broken.Store(true)
		}
	}
}

// Send buffers a message for the target until Flush.
func (c *Conn) Send(msg pgproto3.FrontendMessage) {
	switch msg.(type) {
	case *pgproto3.Query, *pgproto3.Sync:
		c.pendingReady++
	}
	c.frontend.Send(msg)
}

// Flush writes what was buffered; after an error the connection is broken.
func (c *Conn) Flush() error {
	if c.broken.Load() {
		return ErrBroken
	}
	if err := c.frontend.Flush(); err != nil {
		c.broken.Store(true)
		return fmt.Errorf("write to target: %w", err)
	}
	return nil
}

// Receive returns the next message, valid until the next call; after an error the connection is broken.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	if c.broken.Load() {
		return nil, ErrBroken
	}
	msg, err := c.frontend.Receive()
	if err != nil {
		c.broken.Store(true)
		return nil, fmt.Errorf("read from target: %w", err)
	}
	switch m := msg.(type) {
	case *pgproto3.ReadyForQuery:
		c.txStatus = m.TxStatus
		c.pendingReady--
	case *pgproto3.ParameterStatus:
		c.parameters[m.Name] = m.Value
	}
	return msg, nil
}

// Parameters returns the values that the target reported, by name.
func (c *Conn) Parameters() map[string]string { return c.parameters }

// Reusable reports whether the connection is idle, outside a transaction and owed nothing, so that it may serve someone else.
func (c *Conn) Reusable() bool {
	return !c.Broken() && c.txStatus == 'I' && c.pendingReady == 0 && c.frontend.ReadBufferLen() == 0
}

// TxStatus is the status byte of the last ReadyForQuery: I idle, T in a transaction, E in a failed one.
func (c *Conn) TxStatus() byte { return c.txStatus }

// Broken reports whether the connection must not be used again.
func (c *Conn) Broken() bool { return c.broken.Load() }

// Break marks the connection as one whose exchange was cut, so that it is closed and never reused.
func (c *Conn) Break() { c.broken.Store(true) }

// Settings names the state of the parameters that were set on the connection; empty means as after login.
func (c *Conn) Settings() string { return c.settings }

// SetSettings notes the state of the parameters.
func (c *Conn) SetSettings(s string) { c.settings = s }

// Close ends the connection at once.
func (c *Conn) Close() {
	c.broken.Store(true)
	_ = c.netConn.Close()
}

// Cancel asks the target, on a connection of its own, to end what this connection runs.
func (c *Conn) Cancel(ctx context.Context) error {
	cancelConn := &Conn{address: c.address}
	netConn, err := c.address.connect(ctx)
	if err != nil {
		return fmt.Errorf("dial to cancel: %w", err)
	}
	cancelConn.netConn = netConn
	defer cancelConn.Close()
	defer cancelConn.BindContext(ctx)()
	if c.address.TLS != nil {
		if err := cancelConn.startTLS(ctx); err != nil {
			return err
		}
	}
	return cancelConn.sendCancel(c.cancelKey)
}

func (c *Conn) sendCancel(key pgproto3.BackendKeyData) error {
	msg, err := (&pgproto3.CancelRequest{ProcessID: key.ProcessID, SecretKey: key.SecretKey}).Encode(nil)
	if err != nil {
		return fmt.Errorf("encode cancel: %w", err)
	}
	if _, err := c.netConn.Write(msg); err != nil {
		return fmt.Errorf("send cancel: %w", err)
	}
	// The target closes the connection once the cancel was passed on.
	_, _ = c.netConn.Read(make([]byte, 1))
	return nil
}

// encodedMessages is a message that was encoded before.
type encodedMessages struct{ b []byte }

// Frontend marks messages that go to a target.
func (*encodedMessages) Frontend() {}

// Decode takes data as it is.
func (e *encodedMessages) Decode(data []byte) error {
	e.b = data
	return nil
}

// Encode appends the message to dst.
func (e *encodedMessages) Encode(dst []byte) ([]byte, error) { return append(dst, e.b...), nil }

// SendEncoded buffers messages that were encoded before, to be answered by that many ReadyForQuery messages.
func (c *Conn) SendEncoded(b []byte, replies int) {
	c.pendingReady += replies
	c.encoded.b = b
	c.frontend.Send(&c.encoded)
}
