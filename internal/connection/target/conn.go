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

// Address holds the network address of a database server and the proxy's login there.
type Address struct {
	// HostPort is the server's address as host:port.
	HostPort string
	User     string
	Database string
	// Password is used for SCRAM or cleartext authentication; it may be empty.
	Password string
	// TLS configures encryption; nil means plain TCP.
	TLS *tls.Config
	// Dial opens the connection to HostPort; nil means a TCP dialer.
	Dial func(ctx context.Context, hostPort string) (net.Conn, error)
}

// connect opens a network connection without TLS or login.
func (a Address) connect(ctx context.Context) (net.Conn, error) {
	if a.Dial != nil {
		return a.Dial(ctx, a.HostPort)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", a.HostPort)
}

// maxMessageBytes is the longest message that is accepted from a target.
const maxMessageBytes = 64 << 20

// ErrBroken means that the connection was closed or marked broken and must not be used again.
var ErrBroken = errors.New("target connection is broken")

// Conn is one connection to a database server. Only Cancel and Close are safe for concurrent use.
type Conn struct {
	address    Address
	netConn    net.Conn
	frontend   *pgproto3.Frontend
	parameters map[string]string
	cancelKey  pgproto3.BackendKeyData
	prepared   preparedStatements
	settings   string
	txStatus   byte
	// pendingReady is the number of ReadyForQuery messages that the target still has to send.
	pendingReady int
	// encoded is reused by SendEncoded to avoid an allocation.
	encoded encodedMessages
	broken  atomic.Bool
}

// Dial opens a connection and logs in; it fails once ctx ends.
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
		return fmt.Errorf("encode TLS request: %w", err)
	}
	if _, err := c.netConn.Write(msg); err != nil {
		return fmt.Errorf("send TLS request: %w", err)
	}
	reply := make([]byte, 1)
	if _, err := c.netConn.Read(reply); err != nil {
		return fmt.Errorf("read reply to TLS request: %w", err)
	}
	if reply[0] != 'S' {
		return errors.New("target does not support TLS")
	}
	tlsConn := tls.Client(c.netConn, c.address.TLS)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return fmt.Errorf("TLS handshake with target: %w", err)
	}
	c.netConn = tlsConn
	return nil
}

// BindContext makes reads and writes fail once ctx ends, until the returned function is called; a connection interrupted in this way is broken.
func (c *Conn) BindContext(ctx context.Context) func() {
	if ctx.Done() == nil {
		return func() {}
	}
	if ctx.Err() != nil {
		// AfterFunc runs in its own goroutine, so that the exchange could still succeed before it.
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

// Send buffers a message; Flush writes it to the target.
func (c *Conn) Send(msg pgproto3.FrontendMessage) {
	switch msg.(type) {
	case *pgproto3.Query, *pgproto3.Sync:
		c.pendingReady++
	}
	c.frontend.Send(msg)
}

// Flush writes the buffered messages; after an error the connection is broken.
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

// Receive returns the next message, which is valid until the next call; after an error the connection is broken.
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

// Parameters returns the values of the ParameterStatus messages from the target, by parameter name.
func (c *Conn) Parameters() map[string]string { return c.parameters }

// Reusable reports whether the connection is outside a transaction and expects no further reply, so that another session may use it.
func (c *Conn) Reusable() bool {
	return !c.Broken() && c.txStatus == 'I' && c.pendingReady == 0 && c.frontend.ReadBufferLen() == 0
}

// TxStatus returns the status byte of the last ReadyForQuery: I (idle), T (in a transaction) or E (in a failed transaction).
func (c *Conn) TxStatus() byte { return c.txStatus }

// Broken reports whether the connection must not be used again.
func (c *Conn) Broken() bool { return c.broken.Load() }

// MarkBroken marks the connection as broken, since an exchange on it did not complete; the pool closes it instead of reusing it.
func (c *Conn) MarkBroken() { c.broken.Store(true) }

// Settings returns the parameter state that SetSettings recorded; empty means the state after login.
func (c *Conn) Settings() string { return c.settings }

// SetSettings records the state of the session parameters that are set on the connection.
func (c *Conn) SetSettings(s string) { c.settings = s }

// Close closes the network connection without a Terminate message.
func (c *Conn) Close() {
	c.broken.Store(true)
	_ = c.netConn.Close()
}

// Cancel sends a cancel request for the statement that runs on this connection, over a separate connection as the protocol demands.
func (c *Conn) Cancel(ctx context.Context) error {
	cancelConn := &Conn{address: c.address}
	netConn, err := c.address.connect(ctx)
	if err != nil {
		return fmt.Errorf("dial target for cancel request: %w", err)
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
		return fmt.Errorf("encode cancel request: %w", err)
	}
	if _, err := c.netConn.Write(msg); err != nil {
		return fmt.Errorf("send cancel request: %w", err)
	}
	// The target closes the connection once it has processed the request.
	_, _ = c.netConn.Read(make([]byte, 1))
	return nil
}

// encodedMessages holds messages in wire format, to be written as they are.
type encodedMessages struct{ b []byte }

// Frontend marks encodedMessages as a pgproto3.FrontendMessage.
func (*encodedMessages) Frontend() {}

// Decode stores data without parsing it.
func (e *encodedMessages) Decode(data []byte) error {
	e.b = data
	return nil
}

// Encode appends the messages to dst.
func (e *encodedMessages) Encode(dst []byte) ([]byte, error) { return append(dst, e.b...), nil }

// SendEncoded buffers messages in wire format, to which the target replies with the given number of ReadyForQuery messages.
func (c *Conn) SendEncoded(b []byte, replies int) {
	c.pendingReady += replies
	c.encoded.b = b
	c.frontend.Send(&c.encoded)
}
