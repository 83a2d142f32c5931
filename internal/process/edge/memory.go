package edge

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/link"
	"github.com/cactusfork/cactusfork/internal/connection/memory"
	"github.com/cactusfork/cactusfork/internal/connection/relay"
	"github.com/cactusfork/cactusfork/internal/connection/socket"
	"github.com/cactusfork/cactusfork/pkg/clock"
	"github.com/cactusfork/cactusfork/platform"
)

const (
	kibibyte = 1 << 10
	// rejectionLogInterval is the least time between two log lines of rejections of one kind.
	rejectionLogInterval = clock.Second
	// requestTimeout, responseTimeout and idleTimeout bound a request over HTTP, its response and the pause between two. A response of the
	// mirror may wait 10 s for a change, during which its request counts as being read.
	requestTimeout  = 15 * time.Second
	responseTimeout = 20 * time.Second
	idleTimeout     = 30 * time.Second
	// maxRequestBytes bounds the body of a request over HTTP. Requests to the mirror have about 100 bytes.
	maxRequestBytes = 16 * kibibyte
	// reservedMirrorConnections is the part of the reserved descriptors for connections to the mirror address. Each of 60 daemons of a data
	// centre has up to three.
	reservedMirrorConnections = 256
)

// bounds holds what limits the memory and the descriptors that callers make the daemon retain.
type bounds struct {
	account *memory.Account
	// limits are the settings with their defaults.
	limits LimitSettings
	// mirror is the listener of the mirror address; nil before it listens.
	mirror atomic.Pointer[socket.LimitedListener]
	// homes is the number of connections to home daemons. They take descriptors as sessions do.
	homes atomic.Int64
	// logged holds when a rejection was last logged, by kind, and how many were not logged since; mu guards both.
	mu      sync.Mutex
	logged  map[string]clock.Millis
	skipped map[string]int
}

func (d *Daemon) newBounds(set *Settings) *bounds {
	l := memory.LimitsFor(set.Limits.Memory)
	b := &bounds{limits: set.Limits.withDefaults(), logged: make(map[string]clock.Millis), skipped: make(map[string]int)}
	l.Stall, l.Wait = b.limits.Stall, b.limits.MemoryWait
	if b.limits.MirrorConnections == 0 {
		b.limits.MirrorConnections = max(reservedMirrorConnections, set.Limits.Descriptors/4)
	}
	if b.limits.Sessions == 0 {
		b.limits.Sessions = max(1, min(set.Limits.Descriptors-reservedDescriptors, l.MaxSessions()))
	}
	b.account = memory.NewAccount(l, d.clk, func(r memory.Reason, bytes int64) {
		d.reportRejection("memory-"+string(r), bytes)
	})
	d.Gauge("memory-account-bytes", b.account.Used)
	d.Gauge("memory-account-limit", b.account.Limit)
	d.Gauge("sessions", func() int64 { return int64(d.server.Len()) })
	d.Gauge("sessions-limit", func() int64 { return int64(b.limits.Sessions) })
	return b
}

// relayConfig returns the limits of the sessions.
func (d *Daemon) relayConfig() relay.Config {
	l := &d.bounds.limits
	return relay.Config{
		MaxSessions:     l.Sessions,
		StartupTimeout:  startupTimeout,
		WriteTimeout:    l.WriteTimeout,
		MaxSetupBytes:   l.SessionState * kibibyte,
		Others:          d.bounds.others,
		SessionRejected: func() { d.reportRejection("sessions", 0) },
	}
}

// callerLimits returns the limits of the messages of callers.
func (b *bounds) callerLimits() platform.CallerLimits {
	return platform.CallerLimits{Startup: b.limits.Startup * kibibyte, Message: b.limits.Message * kibibyte}
}

// reportRejection counts a rejection and logs at most one of its kind in each interval. It is called with the account locked and does
// not block.
func (d *Daemon) reportRejection(kind string, bytes int64) {
	d.count("rejected-" + kind)
	b := d.bounds
	b.mu.Lock()
	defer b.mu.Unlock()
	now := d.clk.Now()
	if last, ok := b.logged[kind]; ok && now < last+rejectionLogInterval {
		b.skipped[kind]++
		return
	}
	d.log.Warn("caller rejected", zap.String("kind", kind), zap.Int64("bytes", bytes), zap.Int("not-logged", b.skipped[kind]),
		zap.Int64("account-bytes", b.account.Used()), zap.Int64("account-limit", b.account.Limit()))
	b.logged[kind], b.skipped[kind] = now, 0
}

// countHome counts the connection to a home daemon until it is closed.
func (d *Daemon) countHome(w *link.Wire) {
	d.bounds.homes.Add(1)
	var once sync.Once
	closeWire := w.Close
	w.Close = func() error {
		once.Do(func() { d.bounds.homes.Add(-1) })
		return closeWire()
	}
}

// others returns the number of connections that take descriptors of sessions: those to home daemons, and those to the mirror address
// beyond the reserved ones.
func (b *bounds) others() int {
	n := int(b.homes.Load())
	if l := b.mirror.Load(); l != nil {
		n += max(0, l.Len()-reservedMirrorConnections)
	}
	return n
}

// hasRoomForHome reports whether the descriptors allow a connection to a home daemon.
func (d *Daemon) hasRoomForHome() bool {
	return d.server.Len()+d.bounds.others() < d.bounds.limits.Sessions
}

// limitListener limits the connections of an HTTP address to n.
func (d *Daemon) limitListener(l net.Listener, n int) *socket.LimitedListener {
	return socket.LimitListener(l, n, func() { d.reportRejection("http", 0) })
}

// newHTTPServer returns a server with the limits of requests.
func (d *Daemon) newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: http.MaxBytesHandler(h, maxRequestBytes), MaxHeaderBytes: d.bounds.limits.HTTPHeader * kibibyte,
		ReadHeaderTimeout: requestHeaderTimeout, ReadTimeout: requestTimeout, WriteTimeout: responseTimeout, IdleTimeout: idleTimeout,
		ErrorLog: zap.NewStdLog(d.log),
	}
}
