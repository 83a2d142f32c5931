package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/edge"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform/standin"
)

const (
	// Settings of the daemons.
	drainTime                = 7 * clock.Second
	graceTime                = 4 * clock.Second
	noticeTime  clock.Millis = 50
	callTimeout clock.Millis = 1500
	// firstHost is the last byte of the first daemon's address.
	firstHost = 10
	// addressPoll is the time between two attempts to listen, in milliseconds.
	addressPoll clock.Millis = 20
	// askTimeout bounds one request of a caller, in milliseconds.
	askTimeout clock.Millis = 4000
)

// daemon is a daemon that is started again whenever it stops.
type daemon struct {
	s   *soak
	id  string
	set *edge.Settings
	// stop receives a value for each restart.
	stop chan struct{}
	// startedAt is when the daemon last started; 0 while it stops.
	startedAt atomic.Int64
}

// runs counts the runs of this process.
var runs atomic.Uint32

// maxOctet bounds a part of an address.
const maxOctet = 250

func newDaemon(ctx context.Context, s *soak, n int) (*daemon, error) {
	id := fmt.Sprint("edge-", n)
	var addresses [4]string
	for i := range addresses {
		// Outgoing connections leave from 127.0.0.1, and other runs have other addresses, so nothing takes a port of a daemon that starts again.
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%maxOctet, s.run%maxOctet, firstHost+n))
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer func() { _ = l.Close() }() // it was only opened for its port
		addresses[i] = l.Addr().String()
	}
	return &daemon{s: s, id: id, stop: make(chan struct{}), set: &edge.Settings{
		Daemon: edge.DaemonSettings{
			ID: id, DataCentre: "here", CallerAddress: addresses[0], HealthAddress: addresses[1], PeerAddress: addresses[2], MirrorAddress: addresses[3],
			Notice: noticeTime, Drain: drainTime, Grace: graceTime,
		},
		Platform: edge.PlatformSettings{StoreAddress: s.store.Address(), DutyAddress: s.store.Address(), Timeout: callTimeout, ConfigApply: applyLimit},
		Limits:   edge.LimitSettings{Memory: 1024, Descriptors: 4096},
		Failover: edge.FailoverSettings{Refusing: 300, Silent: 700, Missing: 800},
	}}, nil
}

// run keeps the daemon running until ctx ends.
func (d *daemon) run(ctx context.Context) {
	for d.awaitAddresses(ctx) == nil {
		inner, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		log := d.s.cfg.Log.With(zap.String("daemon", d.id))
		go func() { ended <- edge.New("", d.set, d.s.clk, log).Run(inner) }()
		d.startedAt.Store(int64(d.s.clk.Now()))
		var err error
		select {
		case <-d.stop:
			d.startedAt.Store(0)
			stop()
			err = <-ended
		case err = <-ended:
		}
		stop()
		if err != nil && ctx.Err() == nil {
			d.s.report("%s: stopped with %v", d.id, err)
		}
	}
}

// awaitAddresses waits until the listeners of the daemon that ran before are closed, which ends with its process elsewhere.
func (d *daemon) awaitAddresses(ctx context.Context) error {
	for _, address := range []string{d.set.Daemon.CallerAddress, d.set.Daemon.HealthAddress, d.set.Daemon.PeerAddress, d.set.Daemon.MirrorAddress} {
		for {
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
			if err == nil {
				if err := l.Close(); err != nil {
					return fmt.Errorf("close %s: %w", address, err)
				}
				break
			}
			if err := d.s.clk.Sleep(ctx, addressPoll); err != nil {
				return err
			}
		}
	}
	return nil
}

// restart tells the daemon to stop; it starts again by itself.
func (d *daemon) restart(ctx context.Context) {
	select {
	case d.stop <- struct{}{}:
	case <-ctx.Done():
	}
}

// connect opens a session and returns it, or nil and the reply to its startup.
func (d *daemon) connect(ctx context.Context, database string) (*standin.Caller, string) {
	return standin.Connect(ctx, d.set.Daemon.CallerAddress, database, askTimeout.Duration())
}

// ask runs one statement in a session of its own.
func (d *daemon) ask(ctx context.Context, database, text string) string {
	c, reply := d.connect(ctx, database)
	if c == nil {
		return reply
	}
	defer c.Close()
	return c.Query(text)
}
