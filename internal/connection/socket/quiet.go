package socket

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"
)

// IsIdle reports whether a connection is open and its peer has sent nothing that is still unread. It does not read from the
// socket. A connection that is not TCP always counts as quiet.
func IsIdle(conn net.Conn) bool {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && open
}

// IsTimeout reports whether err is a time-out, as opposed to a refusal or the end of a connection.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
