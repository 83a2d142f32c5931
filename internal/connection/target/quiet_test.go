package target

import (
	"net"
	"runtime"
	"testing"

	"github.com/cactusfork/cactusfork/internal/connection/socket"
)

// TestIsIdleDetectsClosedAndUnreadInput checks that a connection is recognised as closed, or as holding unsolicited input, before it is reused.
func TestIsIdleDetectsClosedAndUnreadInput(t *testing.T) {
	tests := map[string]func(remote net.Conn) error{
		"closed":           func(remote net.Conn) error { return remote.Close() },
		"reset":            func(remote net.Conn) error { remote.(*net.TCPConn).SetLinger(0); return remote.Close() },
		"unsolicited data": func(remote net.Conn) error { _, err := remote.Write([]byte("Z")); return err },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			local, remote := tcpPair(t)
			if !socket.IsIdle(local) {
				t.Fatal("got a new connection reported as closed or with unread input")
			}
			if err := disturb(remote); err != nil {
				t.Fatal(err)
			}
			// Delivery over loopback is asynchronous; only the test's time limit ends the wait.
			for socket.IsIdle(local) {
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
