package socket

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Limits are the times after which a connection to a silent peer is closed.
type Limits struct {
	// Connect bounds the time to open a connection.
	Connect clock.Millis
	// Unacknowledged is how long sent bytes may stay unacknowledged by the peer's host.
	Unacknowledged clock.Millis
	// KeepAlive is the interval between keep-alive probes on an idle connection. The connection is closed when the third probe
	// is due and the earlier ones got no reply; 0 leaves the defaults of package net.
	KeepAlive clock.Millis
}

// keepAliveProbes is the number of unanswered probes after which a connection is closed at the next interval.
const keepAliveProbes = 2

// Dialer returns a dialer whose connections are closed according to the limits if the peer is silent.
func Dialer(l Limits) *net.Dialer {
	return &net.Dialer{
		Timeout:         l.Connect.Duration(),
		KeepAliveConfig: keepAliveConfig(l.KeepAlive),
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, l.Unacknowledged)
		},
	}
}

// ListenConfig returns a listener configuration whose accepted connections are closed according to the limits if the peer is
// silent. It uses only the limit KeepAlive.
func ListenConfig(l Limits) *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig(l.KeepAlive)}
}

// keepAliveConfig returns the keep-alive settings for an interval of d, which is at least one second. A d of zero leaves the
// defaults of package net in force.
func keepAliveConfig(d clock.Millis) net.KeepAliveConfig {
	interval := max(d.Duration(), time.Second)
	return net.KeepAliveConfig{Enable: d > 0, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, unacknowledged clock.Millis) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged))
	}); e != nil {
		return fmt.Errorf("reach socket: %w", e)
	}
	if err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}
