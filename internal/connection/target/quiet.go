package target

import (
	"crypto/tls"
	"net"
	"syscall"
)

// quiet reports whether an idle connection is still open and the target has sent nothing on it: what comes unasked, or late, must not be taken for the answer to the next exchange.
func (c *Conn) quiet() bool {
	if !c.Settled() {
		return false
	}
	wire := c.wire
	if t, ok := wire.(*tls.Conn); ok {
		wire = t.NetConn()
	}
	tcp, ok := wire.(*net.TCPConn)
	if !ok {
		return true
	}
	return nothingToRead(tcp)
}

// nothingToRead looks at the socket without waiting and without taking anything from it.
func nothingToRead(tcp *net.TCPConn) bool {
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
