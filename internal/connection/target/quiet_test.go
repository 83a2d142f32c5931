package target

import (
	"net"
	"runtime"
	"testing"

	"github.com/cactusfork/cactusfork/internal/connection/socket"
)

// TestQuietDetectsClosedAndUnreadInput finds out before a connection is lent that the target has ended it or sent what nobody asked for.
func TestQuietDetectsClosedAndUnreadInput(t *testing.T) {
	tests := map[string]func(remote net.Conn) error{
		"closed":       func(remote net.Conn) error { return remote.Close() },
		"reset":        func(remote net.Conn) error { remote.(*net.TCPConn).SetLinger(0); return remote.Close() },
		"unasked data": func(remote net.Conn) error { _, err := remote.Write([]byte("Z")); return err },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			local, remote := tcpPair(t)
			if !socket.Quiet(local) {
				t.Fatal("got something to read on a quiet connection, want nothing")
			}
			if err := disturb(remote); err != nil {
				t.Fatal(err)
			}
			// Loopback delivers in its own time; the test's time limit ends the wait.
			for socket.Quiet(local) {
				runtime.Gosched()
			}
		})
	}
}

func tcpPair(t *testing.T) (*net.TCPConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	local, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	remote, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		local.Close()
		remote.Close()
	})
	return local.(*net.TCPConn), remote
}
