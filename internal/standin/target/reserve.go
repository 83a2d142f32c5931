package target

import (
	"fmt"
	"net/netip"
	"syscall"
)

// reserve binds the port of a closed listener without listening: no other process gets the port, and connections to it are refused.
// For addresses other than IPv4 it does nothing.
func reserve(address string) (release func(), err error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().Is4() {
		return func() {}, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return func() {}, fmt.Errorf("open socket: %w", err)
	}
	release = func() { _ = syscall.Close(fd) }
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		release()
		return func() {}, fmt.Errorf("set SO_REUSEADDR: %w", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		release()
		return func() {}, fmt.Errorf("bind port: %w", err)
	}
	return release, nil
}
