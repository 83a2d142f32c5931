package socket

import (
	"net"
	"testing"
	"time"
)

// Guards against connections without a request that use up all descriptors, or that keep new ones out.
func TestLimitListenerClosesTheOldest(t *testing.T) {
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := 0
	l := LimitListener(inner, 2, func() { closed++ })
	defer func() { _ = l.Close() }()
	var clients []net.Conn
	for range 3 {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		clients = append(clients, c)
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = accepted.Close() }()
	}
	if closed != 1 {
		t.Errorf("got %d connections closed, want 1", closed)
	}
	_ = clients[0].SetReadDeadline(time.Now().Add(10 * time.Second)) // a closed connection fails below
	if _, err := clients[0].Read(make([]byte, 1)); err == nil || IsTimeout(err) {
		t.Errorf("got %v from the oldest connection, want its end", err)
	}
	_ = clients[2].SetReadDeadline(time.Now().Add(20 * time.Millisecond)) // as above
	if _, err := clients[2].Read(make([]byte, 1)); !IsTimeout(err) {
		t.Errorf("got %v from the newest connection, want a time-out", err)
	}
}
