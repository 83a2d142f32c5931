package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/connection/relay"
	store "github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/request/statement"
	"github.com/cactusfork/cactusfork/internal/version/group"
)

const (
	// requestHeaderTimeout bounds how long an HTTP client may take to send its request headers.
	requestHeaderTimeout = 5 * time.Second
	// histogramSize is how many values a latency histogram keeps.
	histogramSize = 512
)

// meter holds the daemon's metrics.
type meter struct{ registry metrics.Registry }

func newMeter() *meter { return &meter{registry: metrics.NewRegistry()} }

// count increments a counter.
func (d *Daemon) count(name string) {
	metrics.GetOrRegisterCounter(name, d.meter.registry).Inc(1)
}

// Gauge registers a metric whose value f returns.
func (d *Daemon) Gauge(name string, f func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, d.meter.registry, f)
}

// observe adds a value to a histogram, in milliseconds.
func (d *Daemon) observe(name string, ms int64) {
	h, ok := d.meter.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSize))
	}).(metrics.Histogram)
	if ok {
		h.Update(ms)
	}
}

// reportStatement counts and logs the outcome of one statement.
func (d *Daemon) reportStatement(o *relay.Outcome) {
	took := o.Finished - o.Arrived
	name := "statements-read"
	if o.Writes || o.Verb == statement.Commit {
		name = "statements-write"
	}
	d.count(name + "-" + o.Code.String())
	d.observe(name+"-ms", int64(took))
	if o.Latency > 0 && o.Code == statement.OK && o.Verb != statement.Commit && o.Route != nil {
		if t := d.view.Load().findTarget(o.Route.Group, o.Target); t != nil {
			d.costs.Observe(o.Route.Name, float64(o.Latency), t.meanLatency())
		}
	}
	if o.Target != "" && o.Code == statement.OK && !o.Primary {
		d.count("statements-by-replica")
	}
	if e := d.log.Check(zap.InfoLevel, "statement"); e != nil {
		ws := zap.Skip()
		if o.Workspace != "" {
			ws = zap.String("workspace", string(o.Workspace))
		}
		route := ""
		if o.Route != nil {
			route = o.Route.Name
		}
		e.Write(zap.Uint64("session", uint64(o.Session)), zap.String("request", string(o.ID)), zap.String("database", string(o.Database)), ws, zap.String("route", route),
			zap.Stringer("verb", o.Verb), zap.Bool("writes", o.Writes), zap.String("home", string(o.Home)), zap.String("target", string(o.Target)), zap.Bool("primary", o.Primary),
			zap.Stringer("floor", o.Floor), zap.Int("attempts", o.Attempts), zap.String("cause", o.Cause),
			zap.Stringer("outcome", o.Code), zap.Int64("arrived", int64(o.Arrived)), zap.Int64("took-ms", int64(took)))
	}
}

// gaugeStoreCalls registers metrics of the calls to a store, by kind.
func (d *Daemon) gaugeStoreCalls(name string, calls *store.Calls) {
	for kind, n := range map[string]*atomic.Uint64{"get": &calls.Gets, "put": &calls.Puts, "list": &calls.Lists, "watch": &calls.Watches} {
		d.Gauge(name+"-"+kind, func() int64 { return int64(n.Load()) })
	}
}

// warn counts and logs a warning.
func (d *Daemon) warn(msg string, err error) {
	d.count("warnings")
	d.log.Warn(msg, zap.Error(err))
}

func (d *Daemon) warnTarget(msg string, g group.ID, t group.TargetID, err error) {
	d.count("warnings")
	d.log.Warn(msg, zap.String("group", string(g)), zap.String("target", string(t)), zap.Error(err))
}

func (d *Daemon) serveMetrics(ctx context.Context) {
	l, err := net.Listen("tcp", d.set.Daemon.MetricsAddress)
	if err != nil {
		d.warn("listening for metrics clients failed", err)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", d.writeMetrics)
	mux.HandleFunc("GET /workspaces", d.writeWorkspaces)
	d.serveHTTP(ctx, d.limitListener(l, d.bounds.limits.HTTPConnections), mux)
}

// writeMetrics writes all metrics as lines of a name and a value; histograms give count and percentiles.
func (d *Daemon) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	d.meter.registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Count()) // a write error means that the client has disconnected
		case metrics.Gauge:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Value())
		case metrics.Histogram:
			p := m.Snapshot().Percentiles([]float64{0.5, 0.95, 0.99})
			_, _ = fmt.Fprintf(w, "%s{count} %d\n%s{p50} %.0f\n%s{p95} %.0f\n%s{p99} %.0f\n", name, m.Count(), name, p[0], name, p[1], name, p[2])
		}
	})
}

func (d *Daemon) serveHTTP(ctx context.Context, l net.Listener, h http.Handler) {
	s := d.newHTTPServer(h)
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.warn("HTTP server stopped with an error", err)
	}
}
