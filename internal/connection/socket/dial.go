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

// Limits say when a connection whose peer is silent is given up.
type Limits struct {
	// Connect bounds the opening of a connection.
	Connect clock.Millis
	// Unacknowledged is how long sent bytes may stay without a word from the peer's host.
	Unacknowledged clock.Millis
	// KeepAlive is the time between probes on a connection that rests; the third that fails ends it.
	KeepAlive clock.Millis
}

const keepAliveProbes = 2

// Dialer returns a dialer that gives up silent peers within the limits.
func Dialer(l Limits) *net.Dialer {
	return &net.Dialer{
		Timeout:         l.Connect.Duration(),
		KeepAliveConfig: keepAlive(l.KeepAlive),
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			return control(raw, l.Unacknowledged)
		},
	}
}

// ListenConfig returns what makes accepted connections give up silent peers within the limits.
func ListenConfig(l Limits) *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(l.KeepAlive)}
}

func keepAlive(d clock.Millis) net.KeepAliveConfig {
	every := max(d.Duration(), time.Second)
	return net.KeepAliveConfig{Enable: d > 0, Idle: every, Interval: every, Count: keepAliveProbes}
}

func control(raw syscall.RawConn, unacknowledged clock.Millis) error {
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
