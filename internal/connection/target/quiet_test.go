package target

import (
	"net"
	"runtime"
	"testing"

	"github.com/cactusfork/cactusfork/internal/connection/socket"
)

// TestNothingToRead finds out before a connection is lent that the target has ended it or sent what nobody asked for.
func TestNothingToRead(t *testing.T) {
	tests := map[string]func(far net.Conn) error{
		"closed":       func(far net.Conn) error { return far.Close() },
		"reset":        func(far net.Conn) error { far.(*net.TCPConn).SetLinger(0); return far.Close() },
		"unasked data": func(far net.Conn) error { _, err := far.Write([]byte("Z")); return err },
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			if !socket.Quiet(near) {
				t.Fatal("got something to read on a quiet connection, want nothing")
			}
			if err := spoil(far); err != nil {
				t.Fatal(err)
			}
			// Loopback delivers in its own time; the test's time limit ends the wait.
			for socket.Quiet(near) {
				runtime.Gosched()
			}
		})
	}
}

func pair(t *testing.T) (*net.TCPConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near.(*net.TCPConn), far
}
