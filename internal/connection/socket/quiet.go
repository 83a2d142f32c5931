package socket

import (
	"crypto/tls"
	"errors"
	"net"
	"syscall"
)

// Quiet reports whether a connection is open and its peer has sent nothing that was not read; it takes nothing from the socket.
func Quiet(wire net.Conn) bool {
	if t, ok := wire.(*tls.Conn); ok {
		wire = t.NetConn()
	}
	tcp, ok := wire.(*net.TCPConn)
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

// IsTimeout reports whether an error means that nothing was heard in time, as opposed to a refusal or an end.
func IsTimeout(err error) bool {
	var late net.Error
	return errors.As(err, &late) && late.Timeout()
}
