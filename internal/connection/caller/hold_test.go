package caller

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cactusfork/cactusfork/internal/connection/memory"
	"github.com/cactusfork/cactusfork/internal/connection/session"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// encodeMessages returns messages in wire format.
func encodeMessages(t *testing.T, messages ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var b []byte
	for _, m := range messages {
		var err error
		if b, err = m.Encode(b); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// Guards against a meter that loses the boundaries of messages, so that large ones draw nothing or small ones draw much.
func TestMeterFollowsMessages(t *testing.T) {
	large := &pgproto3.Query{String: strings.Repeat("x", 100_000)}
	stream := encodeMessages(t,
		&pgproto3.SSLRequest{},
		&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "a"}},
		&pgproto3.Query{String: "SELECT 1"}, large, &pgproto3.Sync{}, large, &pgproto3.Query{String: "SELECT 2"},
	)
	for name, r := range map[string]io.Reader{
		"whole": bytes.NewReader(stream), "byte by byte": iotest.OneByteReader(bytes.NewReader(stream)), "halves": iotest.HalfReader(bytes.NewReader(stream)),
	} {
		a := memory.NewAccount(memory.Limits{Bytes: 64 << 20, Stall: clock.Second, Wait: 50}, clock.System(), nil)
		m := newMessageMeter(r, a.Open(0, func() {}))
		got, err := io.ReadAll(m)
		if err != nil || !bytes.Equal(got, stream) {
			t.Errorf("%s: got %d bytes, %v, want the %d of the stream", name, len(got), err, len(stream))
		}
		if want := 2 * messageCopies * (len(large.String) + 5); m.drawn != want || int(a.Used()) != want {
			t.Errorf("%s: got %d bytes drawn, want %d", name, m.drawn, want)
		}
	}
}

// Guards against a message that is read although the account has no room for it.
func TestMeterRefusesALargeMessage(t *testing.T) {
	a := memory.NewAccount(memory.Limits{Bytes: 256 << 10, Stall: clock.Second, Wait: 50}, clock.System(), nil)
	m := newMessageMeter(bytes.NewReader(encodeMessages(t, &pgproto3.Query{String: strings.Repeat("x", 1<<20)})), a.Open(0, func() {}))
	m.typed = true
	if n, err := io.Copy(io.Discard, m); err == nil || n > largeMessage {
		t.Errorf("got %d bytes, %v, want the header refused", n, err)
	}
}

// Guards against a connection that keeps the buffers of a large exchange while it is idle, or that loses messages when it drops them.
func TestLargeExchangeIsReleased(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	a := memory.NewAccount(memory.Limits{Bytes: 64 << 20, Stall: clock.Second, Wait: 50}, clock.System(), nil)
	s := New(Config{Account: a}, Dependencies{})
	c := s.newConn(near)
	defer c.shutdown()
	c.meter.typed = true
	c.backend.SetMaxBodyLen(s.cfg.MaxMessageBytes)
	c.session = session.New("g", nil)
	large, small := &pgproto3.Query{String: "SELECT 1 /*" + strings.Repeat("x", 300_000) + "*/"}, &pgproto3.Query{String: "SELECT 2"}
	stream := encodeMessages(t, small, large, small, small)
	go func() { _, _ = far.Write(stream) }() // a reader that gives up fails below
	for i, want := range []string{small.String, large.String, small.String, small.String} {
		if err := c.readExchange(); err != nil {
			t.Fatalf("message %d: %v", i, err)
		}
		if c.exchange.sql != want {
			t.Errorf("message %d: got %d bytes, want %d", i, len(c.exchange.sql), len(want))
		}
		if used := a.Used(); want == large.String && used < 4*300_000 {
			t.Errorf("message %d: got %d bytes in use for a large one, want at least %d", i, used, 4*300_000)
		}
	}
	if used := a.Used(); used != sessionBytes {
		t.Errorf("got %d bytes in use behind the large message, want %d", used, sessionBytes)
	}
	if c.meter.sawLarge {
		t.Error("got the buffers of the large message kept, want them dropped")
	}
}
