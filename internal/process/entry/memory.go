package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/memory"
	"github.com/cactusfork/cactusfork/internal/connection/socket"
	"github.com/cactusfork/cactusfork/internal/process/settings"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	kibibyte = 1 << 10
	// rejectionLogInterval is the least time between two log lines of rejections.
	rejectionLogInterval = clock.Second
	// httpShare is the share of the callers' connections that each HTTP address may have by default, and minHTTPConnections the least.
	httpShare          = 15
	minHTTPConnections = 16
	// readTimeout and idleTimeout bound a request over HTTP and the pause between two.
	readTimeout = 30 * time.Second
	idleTimeout = 60 * time.Second
	// exchangeShare and messageShare are the largest shares of the account that an exchange and a message may take. A message is in memory
	// four times, and an eighth of the account is reserved for ordinary callers.
	exchangeShare = 4
	messageShare  = 5
)

// MemoryConfig bounds what others can make a daemon retain. Its zero value is a daemon without an account.
type MemoryConfig struct {
	Limits memory.Limits
	// HTTPConnections bounds the connections of each HTTP address, and HTTPHeaderBytes the headers of a request; 0 means no limit.
	HTTPConnections, HTTPHeaderBytes int
}

// memoryFromSettings sets the limits of the settings.
func memoryFromSettings(cfg *Config, s *settings.Settings) {
	l := memory.LimitsFor(s.Limits.Memory)
	l.Stall, l.Wait = s.Limits.Stall, s.Limits.MemoryWait
	cfg.Memory.Limits = l
	cfg.Memory.HTTPConnections = s.Limits.HTTPConnections
	if cfg.Memory.HTTPConnections == 0 {
		cfg.Memory.HTTPConnections = max(minHTTPConnections, s.Callers.MaxConnections/httpShare)
	}
	cfg.Memory.HTTPHeaderBytes = s.Limits.HTTPHeader * kibibyte
	cfg.Callers.MaxMessageBytes = min(s.Limits.Message*kibibyte, int(l.Bytes/messageShare))
	cfg.Callers.MaxExchangeBytes = min(s.Limits.Exchange*kibibyte, int(l.Bytes/exchangeShare))
	cfg.Callers.MaxStateBytes = s.Limits.SessionState * kibibyte
	cfg.Callers.WriteTimeout = s.Limits.WriteTimeout
}

// MaxStoreResponse returns the largest response of the platform that the settings allow, in bytes. By default it is an eighth of the
// memory, as a response and its decoded objects are in memory three to four times, and at most 64 MiB.
func MaxStoreResponse(s *settings.Settings) int64 {
	mb := s.Limits.StoreResponse
	if mb == 0 {
		mb = min(64, s.Limits.Memory/8)
	}
	return int64(mb) << 20
}

// rejections counts and logs rejected callers.
type rejections struct {
	d  *Daemon
	mu sync.Mutex
	// logged is when a rejection was last logged, and skipped how many were not logged since.
	logged  clock.Millis
	skipped int
}

// report counts a rejection and logs at most one in each interval.
func (r *rejections) report(kind string, bytes int64) {
	metrics.GetOrRegisterCounter("rejected-"+kind, r.d.meter.registry).Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.d.deps.Clock.Now()
	if r.logged != 0 && now < r.logged+rejectionLogInterval {
		r.skipped++
		return
	}
	// The log may block, and the account is locked here.
	go r.d.deps.Log.Warn("caller rejected", zap.String("kind", kind), zap.Int64("bytes", bytes), zap.Int("not-logged", r.skipped))
	r.logged, r.skipped = now, 0
}

// newAccount returns the account of the daemon with its gauges; nil without a limit.
func (d *Daemon) newAccount() *memory.Account {
	d.rejections = &rejections{d: d}
	if d.cfg.Memory.Limits.Bytes == 0 {
		return nil
	}
	a := memory.NewAccount(d.cfg.Memory.Limits, d.deps.Clock, func(r memory.Reason, bytes int64) { d.rejections.report("memory-"+string(r), bytes) })
	metrics.NewRegisteredFunctionalGauge("memory-account-bytes", d.meter.registry, a.Used)
	metrics.NewRegisteredFunctionalGauge("memory-account-limit", d.meter.registry, a.Limit)
	return a
}

const (
	// bodyCopies is how many copies of a request's body are in memory at once: its encoding and the message.
	bodyCopies = 2
	// maxBodyBytes is the largest body, which is that of the largest message of peers with room for its encoding. It is drawn for a body
	// whose length is not known beforehand or which is compressed.
	maxBodyBytes = 4 << 20
)

// holdBody draws the bodies of requests from the account, and refuses those for which it has no room. The calls of peers state the
// length of their body.
func (d *Daemon) holdBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := r.ContentLength
		if size < 0 || r.Header.Get("Content-Encoding") != "" {
			size = maxBodyBytes
		}
		if size > maxBodyBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if size > 0 {
			// A request whose body does not come holds bytes without progress.
			holder := d.account.Open(0, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) })
			defer holder.Close()
			if holder.Draw(int(bodyCopies*size)) != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// limitHTTP returns the listener and the server of one HTTP address, with their limits.
func (d *Daemon) limitHTTP(l net.Listener, h http.Handler, tlsCfg tlsConfig) (net.Listener, *http.Server) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, TLSConfig: tlsCfg, ErrorLog: zap.NewStdLog(d.deps.Log)}
	if n := d.cfg.Memory.HTTPConnections; n > 0 {
		l = socket.LimitListener(l, n, func() { d.rejections.report("http", 0) })
		s.Handler = d.holdBody(h)
		s.MaxHeaderBytes, s.ReadTimeout, s.IdleTimeout = d.cfg.Memory.HTTPHeaderBytes, readTimeout, idleTimeout
	}
	return l, s
}
